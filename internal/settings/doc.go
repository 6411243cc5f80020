// Package settings reads the settings of a node, once, into the struct Settings.
//
// The settings come from the platform: as nested JSON in the node's configuration (FromJSON), or as lines of name=value from
// the simulator (FromText). Both have the platform's names and words, which stand in platform.go alone. They are translated
// into Values, a map of texts by the keys of this package, and Parse turns Values into Settings. Code outside this package
// reads Settings; tests build them from Values.
//
// Nothing is refused. A number that is missing or unreadable is 0, a switch is off, and a choice is a text of no meaning.
// Times come in microseconds, and become time units of 100 µs, rounded towards 0.
package settings
