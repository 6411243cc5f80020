//go:build !race

package routing

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
