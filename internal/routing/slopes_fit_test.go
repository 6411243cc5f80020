package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat"
)

// figureRange holds the minimum, the median and the maximum of a figure over all runs.
type figureRange struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// String returns the median with the minimum and the maximum, or the median alone if all figures are equal.
func (s figureRange) String() string {
	if s.Min == s.Max {
		return threeDigits(s.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", threeDigits(s.Median), threeDigits(s.Min), threeDigits(s.Max))
}

// rangeOfRuns returns the minimum, the median and the maximum of v, or zeros if v is empty.
func rangeOfRuns(v []float64) figureRange {
	v = slices.Clone(v)
	slices.Sort(v)
	if len(v) == 0 {
		return figureRange{}
	}
	return figureRange{v[0], stat.Quantile(0.5, stat.Empirical, v, nil), v[len(v)-1]}
}

// fit is the result of a regression over all runs. It has the least-squares fit A + B*x and the share R2 of the variance
// that the fit explains. Exponent is the slope of log y over log x. BRange and ExponentRange are the ranges of B and
// Exponent over single runs.
type fit struct {
	A             float64     `json:"a"`
	B             float64     `json:"b"`
	R2            float64     `json:"r2"`
	Exponent      float64     `json:"exponent"`
	BRange        figureRange `json:"b_plays"`
	ExponentRange figureRange `json:"exponent_plays"`
}

// String returns the fit as three cells of a Markdown table.
func (f fit) String() string {
	exponent := "none"
	if f.ExponentRange != (figureRange{}) {
		exponent = fmt.Sprintf("%.2f (%.2f to %.2f)", f.Exponent, f.ExponentRange.Min, f.ExponentRange.Max)
	}
	return fmt.Sprintf("%s + %s·x (%s to %s) | %.2f | %s",
		threeDigits(f.A), threeDigits(f.B), threeDigits(f.BRange.Min), threeDigits(f.BRange.Max), f.R2, exponent)
}

// fitRuns fits the values y of all runs, each with one value for each x. There is no exponent if any y is 0 or less.
func fitRuns(x []float64, runs [][]float64) fit {
	var allX, allY, slopes, exponents []float64
	for _, y := range runs {
		_, b := stat.LinearRegression(x, y, nil, false)
		slopes = append(slopes, b)
		if e, ok := exponent(x, y); ok {
			exponents = append(exponents, e)
		}
		allX, allY = append(allX, x...), append(allY, y...)
	}
	var f fit
	f.A, f.B = stat.LinearRegression(allX, allY, nil, false)
	if stat.Variance(allY, nil) > 0 {
		f.R2 = stat.RSquared(allX, allY, nil, f.A, f.B)
	}
	f.BRange = rangeOfRuns(slopes)
	if len(exponents) == len(runs) {
		f.Exponent, _ = exponent(allX, allY)
		f.ExponentRange = rangeOfRuns(exponents)
	}
	return f
}

// exponent returns the slope of log y over log x, or false if any value is 0 or less.
func exponent(x, y []float64) (float64, bool) {
	var logX, logY []float64
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			return 0, false
		}
		logX, logY = append(logX, math.Log(x[i])), append(logY, math.Log(y[i]))
	}
	_, e := stat.LinearRegression(logX, logY, nil, false)
	return e, true
}

// threeDigits formats a figure with three significant digits, or as a whole number from 1000 on.
func threeDigits(v float64) string {
	if a := math.Abs(v); a >= 1000 || a == 0 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// TestFit checks the fits of a line, a power function and zeros against their known parameters.
func TestFit(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
	x := []float64{200, 500, 1000, 13000}
	line, power, zeros := []float64{}, []float64{}, []float64{0, 0, 0, 0}
	for _, v := range x {
		line, power = append(line, 3+0.5*v), append(power, 2*math.Pow(v, 1.5))
	}
	if f := fitRuns(x, [][]float64{line, line}); !near(f.A, 3) || !near(f.B, 0.5) || !near(f.R2, 1) || !near(f.BRange.Min, 0.5) {
		t.Errorf("fitRuns(line): A %v, B %v, R2 %v, BRange.Min %v; want 3, 0.5, 1, 0.5", f.A, f.B, f.R2, f.BRange.Min)
	}
	if f := fitRuns(x, [][]float64{power}); !near(f.Exponent, 1.5) || !near(f.ExponentRange.Median, 1.5) {
		t.Errorf("fitRuns(power): Exponent %v, ExponentRange.Median %v; want 1.5, 1.5", f.Exponent, f.ExponentRange.Median)
	}
	if f := fitRuns(x, [][]float64{zeros}); f.B != 0 || f.Exponent != 0 || f.ExponentRange != (figureRange{}) {
		t.Errorf("fitRuns(zeros): B %v, Exponent %v, ExponentRange %v; want 0, 0, 0", f.B, f.Exponent, f.ExponentRange)
	}
	if f := fitRuns(x, [][]float64{power, zeros}); f.Exponent != 0 || f.ExponentRange != (figureRange{}) {
		t.Errorf("fitRuns(power, zeros): Exponent %v, ExponentRange %v; want 0, 0", f.Exponent, f.ExponentRange)
	}
	if s := rangeOfRuns([]float64{5, 1, 9}); s != (figureRange{1, 5, 9}) {
		t.Errorf("rangeOfRuns(5, 1, 9): Min %v, Median %v, Max %v; want 1, 5, 9", s.Min, s.Median, s.Max)
	}
}
