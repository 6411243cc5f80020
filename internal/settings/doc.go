// Package settings reads the settings of a node, once, into the struct Settings.
//
// The settings come from the platform: as nested JSON in the node's configuration (FromJSON), or as lines of name=value from
// the simulator (FromText). Both have the platform's names and words, which only platform.go contains. FromJSON and FromText
// translate them into Values, a map of texts by the keys of this package. Parse turns Values into Settings. Code outside
// this package reads Settings; tests build them from Values.
//
// All texts are accepted. A number that is missing or malformed reads as 0, a switch as off. A choice keeps an unknown text,
// which its users treat as none of the choices. The platform gives times in microseconds. They become time units of 100 µs,
// rounded towards 0.
package settings
