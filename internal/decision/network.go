package decision

// network is a two-layer perceptron with rectified linear units over four features.
type network struct {
	hidden [4][5]float64 // weights of each hidden unit: one for each feature, then the bias
	out    [5]float64    // weights of the output: one for each hidden unit, then the bias
}

// evaluate returns the network's output for the features.
func (n *network) evaluate(features [4]float64) float64 {
	output := n.out[4]
	for j, weights := range n.hidden {
		unit := weights[4]
		for k, feature := range features {
			unit += weights[k] * feature
		}
		output += n.out[j] * max(0, unit)
	}
	return output
}
