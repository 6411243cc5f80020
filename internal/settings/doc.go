// Package settings parses the settings of a node into the struct Settings. Each setting is parsed once.
//
// The settings come from the platform: as nested JSON in the node's configuration (FromJSON), or as lines of name=value from
// the simulator (FromText). Both forms use the platform's names and values, which only platform.go contains. FromJSON and
// FromText translate them into Values, a map from the keys of this package to texts. Parse turns Values into Settings. Code
// outside this package reads Settings. Tests build them from Values.
//
// All texts are accepted. A missing or malformed number reads as 0, and such a boolean as false. An enumerated setting may
// have an unknown or empty text, which its users treat as none of the known values. The platform gives times in
// microseconds. Values have them in time units of 100 µs, rounded towards 0.
package settings
