// Package operatorfile reads the operators' file, in TOML. It holds everything that the platform's JSON configuration does
// not carry.
//
// A file is accepted whole or not at all. Unknown keys, values out of range and a key given under two names are errors. Each
// error names its key and line. A misspelt key therefore never passes as a default. A deprecated key is accepted with a
// notice of the standard key (Deprecation).
//
// docs/configuration.md documents every key. deploy/operator.toml is an annotated example.
package operatorfile
