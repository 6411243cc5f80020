// Package settings turns the names of an instance's settings, as the simulator's text and the platform's JSON
// configuration give them, into the names that the decision module reads them by. Both forms hold the same names, which
// are the platform's.
//
// Values stay text. Times come in microseconds and are given in tenths of a millisecond, rounded towards 0; words that
// name a choice are translated, and become empty where they are not known. Whatever can't be read is handed on as it is:
// the decision module reads it as 0, as it does a setting that is not given.
package settings
