package decision

// neuralNetwork has four inputs, one hidden layer of four rectified linear units, and one linear output.
type neuralNetwork struct {
	hidden [4][5]float64 // weights of each hidden unit, one for each feature, followed by the bias
	output [5]float64    // weights of the output, one for each hidden unit, followed by the bias
}

// evaluate returns the network's output for the features.
func (n *neuralNetwork) evaluate(features [4]float64) float64 {
	output := n.output[4]
	for j, weights := range n.hidden {
		unit := weights[4]
		for k, feature := range features {
			unit += weights[k] * feature
		}
		output += n.output[j] * max(0, unit)
	}
	return output
}
