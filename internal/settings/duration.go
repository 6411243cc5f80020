package settings

import (
	"strconv"
	"time"
)

// TimeUnit is the unit of time of the settings, as of the decision engine.
const TimeUnit = 100 * time.Microsecond

// unitsPerMs is how many units of time a millisecond has.
const unitsPerMs = float64(time.Millisecond / TimeUnit)

// Duration is a setting that is a time, parsed once from a number of time units. The zero Duration is a setting that is
// not given, and reads as 0. As with Number, each reading has a method of its own.
type Duration struct{ units Number }

// ParseDuration parses the text of a setting that is a time: a number of time units.
func ParseDuration(text string) Duration { return Duration{ParseNumber(text)} }

// Milliseconds returns a setting with a time of ms milliseconds.
func Milliseconds(ms float64) Duration { return Duration{FloatNumber(ms * unitsPerMs)} }

// Units returns a setting with a time of n time units.
func Units(n int) Duration { return ParseDuration(strconv.Itoa(n)) }

// String returns the text that was parsed.
func (d Duration) String() string { return d.units.String() }

// FractionalUnits returns the time in time units; 0 where the text is no number or out of float64's range.
func (d Duration) FractionalUnits() float64 { return d.units.Float() }

// TruncatedUnits returns FractionalUnits without the fraction.
func (d Duration) TruncatedUnits() int64 { return int64(d.units.Float()) }

// Truncated returns the time of TruncatedUnits.
func (d Duration) Truncated() time.Duration { return time.Duration(d.TruncatedUnits()) * TimeUnit }

// Whole returns the time where the text is a decimal integer. Any other text, "1.0" too, is 0; an integer out of range
// is taken for the nearest int.
func (d Duration) Whole() time.Duration { return time.Duration(d.units.whole) * TimeUnit }
