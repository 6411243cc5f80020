package settings

import (
	"strconv"
	"time"

	"cherrygap/internal/numeric"
)

// TimeUnit is the unit of time in the settings. The decision engine uses the same unit.
const TimeUnit = 100 * time.Microsecond

// unitsPerMs is the number of time units in a millisecond.
const unitsPerMs = float64(time.Millisecond / TimeUnit)

// Duration is a time setting: a number of time units, parsed once. The zero Duration is a setting that is not given, and
// reads as 0. Its methods interpret a text as the methods of Number do.
type Duration struct{ units Number }

// ParseDuration parses the text of a time setting, which is a number of time units.
func ParseDuration(text string) Duration { return Duration{ParseNumber(text)} }

// Milliseconds returns a time setting of ms milliseconds.
func Milliseconds(ms float64) Duration { return Duration{FloatNumber(ms * unitsPerMs)} }

// Units returns a time setting of n time units.
func Units(n int) Duration { return ParseDuration(strconv.Itoa(n)) }

// DurationOf returns a time setting of d, rounded towards 0 to whole time units.
func DurationOf(d time.Duration) Duration { return Units(int(d / TimeUnit)) }

// String returns the text that was parsed.
func (d Duration) String() string { return d.units.String() }

// FractionalUnits returns the time in time units. It is 0 if the text is not a number or is out of float64's range.
func (d Duration) FractionalUnits() float64 { return d.units.Float() }

// TruncatedUnits returns the time in time units, rounded towards 0.
func (d Duration) TruncatedUnits() int64 { return numeric.Truncate[int64](d.units.Float()) }

// Truncated returns the time, rounded towards 0 to whole time units.
func (d Duration) Truncated() time.Duration { return time.Duration(d.TruncatedUnits()) * TimeUnit }

// Whole returns the time if the text is a decimal integer. It returns 0 for any other text, such as "1.0". An integer out
// of int's range becomes the nearest int.
func (d Duration) Whole() time.Duration { return time.Duration(d.units.whole) * TimeUnit }
