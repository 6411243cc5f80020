package settings

import "strconv"

// Number is a numeric setting, parsed once. The zero Number is a setting that is not given, and reads as 0.
//
// No text is refused. The parts of the node read odd texts differently: "1.5" is 1.5 to the decision engine, and 0 to the
// leasing of quotas. Each reading has a method of its own.
type Number struct {
	text       string
	float      float64 // infinite where the text is out of float64's range
	outOfRange bool    // the text is out of float64's range
	whole      int     // the nearest int where the text is out of int's range
	isWhole    bool    // whole is exactly the text's number
}

// ParseNumber parses the text of a setting.
func ParseNumber(text string) Number {
	n := Number{text: text}
	var err error
	n.float, err = strconv.ParseFloat(text, 64)
	n.outOfRange = err != nil
	n.whole, err = strconv.Atoi(text)
	n.isWhole = err == nil
	return n
}

// IntNumber returns a setting with the value i.
func IntNumber(i int) Number { return ParseNumber(strconv.Itoa(i)) }

// FloatNumber returns a setting with the value f.
func FloatNumber(f float64) Number { return ParseNumber(strconv.FormatFloat(f, 'f', -1, 64)) }

// String returns the text that was parsed.
func (n Number) String() string { return n.text }

// Float returns the number; 0 where the text is no number or out of float64's range. "NaN" and "Inf" are numbers.
func (n Number) Float() float64 {
	if n.outOfRange {
		return 0
	}
	return n.float
}

// FloatOrInf is Float, except that a text out of float64's range is an infinity of its sign.
func (n Number) FloatOrInf() float64 { return n.float }

// Truncated returns Float without its fraction.
func (n Number) Truncated() int { return int(n.Float()) }

// Whole returns the number where the text is a decimal integer, and whether it fits an int. Any other text, "1.0" too,
// is 0; an integer out of range is the nearest int.
func (n Number) Whole() (value int, ok bool) { return n.whole, n.isWhole }
