// Package settings names the settings that a node is decided by, and reads them from the platform's configuration.
//
// In the program they are a map of text by the keys of this package (Node, MaxAttempts, ClassKey and so on), which are
// its own: neither those of the wire nor those of the operator file. FromText and FromJSON read the simulator's text and
// the platform's JSON, both by the platform's names, into such a map. No key and no word of the map stands in any other
// package.
//
// Values stay text. Times come in microseconds and are given in tenths of a millisecond, rounded towards 0; words that
// name a choice are translated, and become empty where they are not known. Whatever can't be read is handed on as it is:
// the decision engine reads it as 0, as it does a setting that is not given.
package settings
