package soak

import "math"

// coldBound is how many requests a cold server bears where the settings allow it n.
func coldBound(n float64) float64 {
	const few = 30 // under which chance weighs more
	if n < few {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
