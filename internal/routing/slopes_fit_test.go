package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat"
)

// spreadOf is the least, middle and greatest of the plays' figures.
type spreadOf struct {
	Min float64 `json:"min"`
	Mid float64 `json:"median"`
	Max float64 `json:"max"`
}

// String is the median (least to greatest), or the one figure where all are the same.
func (s spreadOf) String() string {
	if s.Min == s.Max {
		return threeDigits(s.Mid)
	}
	return fmt.Sprintf("%s (%s to %s)", threeDigits(s.Mid), threeDigits(s.Min), threeDigits(s.Max))
}

func spreadOfPlays(v []float64) spreadOf {
	v = slices.Clone(v)
	slices.Sort(v)
	if len(v) == 0 {
		return spreadOf{}
	}
	return spreadOf{v[0], stat.Quantile(0.5, stat.Empirical, v, nil), v[len(v)-1]}
}

// fit is a least-squares fit a + b*x over all plays, how much of the variance it explains, the spread of each play's
// own b, and the exponent: the slope of log y over log x, with each play's own.
type fit struct {
	A        float64  `json:"a"`
	B        float64  `json:"b"`
	R2       float64  `json:"r2"`
	Exponent float64  `json:"exponent"`
	Bs       spreadOf `json:"b_plays"`
	Exps     spreadOf `json:"exponent_plays"`
}

// String is the fit as three cells of a table.
func (f fit) String() string {
	exponent := "none"
	if f.Exps != (spreadOf{}) {
		exponent = fmt.Sprintf("%.2f (%.2f to %.2f)", f.Exponent, f.Exps.Min, f.Exps.Max)
	}
	return fmt.Sprintf("%s + %s·x (%s to %s) | %.2f | %s",
		threeDigits(f.A), threeDigits(f.B), threeDigits(f.Bs.Min), threeDigits(f.Bs.Max), f.R2, exponent)
}

// fitPlays fits plays of y, each at all x. There is no exponent where any y is 0 or below.
func fitPlays(x []float64, plays [][]float64) fit {
	var allX, allY, bs, exps []float64
	for _, y := range plays {
		_, b := stat.LinearRegression(x, y, nil, false)
		bs = append(bs, b)
		if e, ok := exponent(x, y); ok {
			exps = append(exps, e)
		}
		allX, allY = append(allX, x...), append(allY, y...)
	}
	var f fit
	f.A, f.B = stat.LinearRegression(allX, allY, nil, false)
	if stat.Variance(allY, nil) > 0 {
		f.R2 = stat.RSquared(allX, allY, nil, f.A, f.B)
	}
	f.Bs = spreadOfPlays(bs)
	if len(exps) == len(plays) {
		f.Exponent, _ = exponent(allX, allY)
		f.Exps = spreadOfPlays(exps)
	}
	return f
}

// exponent is the slope of log y over log x, or false where any is 0 or below.
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

// threeDigits is a figure in three digits.
func threeDigits(v float64) string {
	if a := math.Abs(v); a >= 1000 || a == 0 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Fits of known lines and powers come out as they were made.
func TestFit(t *testing.T) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
	x := []float64{200, 500, 1000, 13000}
	line, power, none := []float64{}, []float64{}, []float64{0, 0, 0, 0}
	for _, v := range x {
		line, power = append(line, 3+0.5*v), append(power, 2*math.Pow(v, 1.5))
	}
	if f := fitPlays(x, [][]float64{line, line}); !near(f.A, 3) || !near(f.B, 0.5) || !near(f.R2, 1) || !near(f.Bs.Min, 0.5) {
		t.Errorf("line: %+v", f)
	}
	if f := fitPlays(x, [][]float64{power}); !near(f.Exponent, 1.5) || !near(f.Exps.Mid, 1.5) {
		t.Errorf("power: %+v", f)
	}
	if f := fitPlays(x, [][]float64{none}); f.B != 0 || f.Exponent != 0 || f.Exps != (spreadOf{}) {
		t.Errorf("nothing: %+v", f)
	}
	if f := fitPlays(x, [][]float64{power, none}); f.Exponent != 0 || f.Exps != (spreadOf{}) {
		t.Errorf("a play of nothing: %+v", f)
	}
	if s := spreadOfPlays([]float64{5, 1, 9}); s != (spreadOf{1, 5, 9}) {
		t.Errorf("spread %+v", s)
	}
}
