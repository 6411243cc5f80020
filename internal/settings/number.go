package settings

import (
	"strconv"

	"cherrygap/internal/numeric"
)

// Number is a numeric setting, parsed once. The zero Number is a setting that is not given, and reads as 0.
//
// All texts are accepted. The methods Float, FloatOrInf, Truncated and Whole differ in how they interpret a text that is not
// a plain integer: "1.5" is 1.5, 1.5, 1 and 0. Different users of a setting may call different methods.
type Number struct {
	text       string
	float      float64 // value of the text; infinite if out of float64's range, 0 if the text is not a number
	notFloat64 bool    // whether the text is not a number or is out of float64's range
	whole      int     // nearest int if the text is a decimal integer, else 0
	isWhole    bool    // whether the text is a decimal integer within int's range
}

// ParseNumber parses the text of a numeric setting.
func ParseNumber(text string) Number {
	n := Number{text: text}
	var err error
	n.float, err = strconv.ParseFloat(text, 64)
	n.notFloat64 = err != nil
	n.whole, err = strconv.Atoi(text)
	n.isWhole = err == nil
	return n
}

// IntNumber returns a numeric setting with the value i.
func IntNumber(i int) Number { return ParseNumber(strconv.Itoa(i)) }

// FloatNumber returns a numeric setting with the value f.
func FloatNumber(f float64) Number { return ParseNumber(strconv.FormatFloat(f, 'f', -1, 64)) }

// String returns the text that was parsed.
func (n Number) String() string { return n.text }

// Float returns the number. It is 0 if the text is not a number or is out of float64's range. "NaN" and "Inf" are numbers.
func (n Number) Float() float64 {
	if n.notFloat64 {
		return 0
	}
	return n.float
}

// FloatOrInf is like Float, but returns an infinity for a number out of float64's range.
func (n Number) FloatOrInf() float64 { return n.float }

// Truncated returns the result of Float, rounded towards 0.
func (n Number) Truncated() int { return numeric.Truncate[int](n.Float()) }

// Whole returns the number if the text is a decimal integer, and 0 for any other text, such as "1.0". An integer out of
// int's range becomes the nearest int. ok reports whether the text is a decimal integer within int's range.
func (n Number) Whole() (value int, ok bool) { return n.whole, n.isWhole }
