package decision

// network is a two-layer map: weights of hidden units over a state, bias last, and of the output.
type network struct {
	hidden [4][5]float64
	out    [5]float64
}

// evaluate is the two-layer network's output for a state.
func (p network) evaluate(x [4]float64) float64 {
	y := p.out[4]
	for j, w := range p.hidden {
		h := w[4]
		for k, v := range x {
			h += w[k] * v
		}
		y += p.out[j] * max(0, h)
	}
	return y
}
