package decision

// network is a two-layer perceptron of rectified linear units: the weights of hidden units over four features, bias
// last, and those of the output over the units, bias last.
type network struct {
	hidden [4][5]float64
	out    [5]float64
}

// evaluate is the network's output for some features.
func (n *network) evaluate(features [4]float64) float64 {
	y := n.out[4]
	for j, w := range n.hidden {
		h := w[4]
		for k, v := range features {
			h += w[k] * v
		}
		y += n.out[j] * max(0, h)
	}
	return y
}
