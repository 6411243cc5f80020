// Package operatorfile reads the operators' own file: everything that the platform's JSON configuration does not carry, in
// TOML. Keys that nobody reads, values out of range and a key given under two names are refused, each with its key and
// line, so that a typo never passes as a default. A key's earlier name is still read, with a notice of what to write
// (Deprecation). Every key is documented in docs/configuration.md; deploy/operator.toml is a commented example that passes
// the check.
package operatorfile
