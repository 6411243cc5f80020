// Package operatorfile reads the operator file, in TOML. The file holds the settings that the platform's JSON configuration
// does not carry, and may override settings of the platform.
//
// A file is accepted whole or not at all. Unknown keys, values out of range and a key given under two names are errors. Each
// error names its key and, where known, its line. A misspelt key is therefore an error and never silently means the default. A
// deprecated key is accepted, with a notice that names the standard key (Deprecation).
//
// docs/configuration.md documents every key. deploy/operator.toml is an annotated example.
package operatorfile
