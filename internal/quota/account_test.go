package quota

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// The forecast is an exponentially weighted mean of the demand in the windows that have ended.
func TestDemandForecast(t *testing.T) {
	d := demand{forecastUnits: 10}
	for _, c := range []struct {
		inWindow float64
		windows  WindowNumber
		want     float64
	}{
		{20, 1, 15},
		{15, 0, 15}, // the same window again, after a reset
		{15, 1, 15},
		{0, 1, 7.5},
		{10.5, 3, 2.25}, // 9, then two windows without demand
		{0, 1000, 2.25 / (1 << 20)},
	} {
		d.currentUnits = c.inWindow
		d.endWindows(c.windows)
		if d.forecastUnits != c.want || d.currentUnits != 0 {
			t.Errorf("%v in the window, %d windows: %+v, want %v", c.inWindow, c.windows, d, c.want)
		}
	}
}

// A window begins with a slice as the cap. The state of the former window is gone, but for the forecast.
func TestWindowBeginsWithASlice(t *testing.T) {
	l := New(Config{Nodes: 4}, 0)
	a := l.account(Customer{Key: 1, Rate: 10, Burst: 40, Spread: 4})
	if a.windowNumber != 0 || a.allowance != 20 || a.cap != 5 || a.storedCap != 5 || a.demand.forecastUnits != 5 {
		t.Errorf("%+v", a)
	}
	a.demand.currentUnits = 9
	a.used, a.lastSequence, a.storedSequence, a.borrowPausedUntil, a.cap = 4, 3, 2, time.Hour, 1
	a.otherCommitments[2] = Commitment{Node: 2, Sequence: 1, Cap: 1}
	l.advance(1999 * time.Millisecond)
	l.enterWindow(a)
	if a.windowNumber != 0 || a.used != 4 {
		t.Errorf("the window was reset before its end: %+v", a)
	}
	l.advance(2 * time.Second)
	l.enterWindow(a)
	if late := a.nextExchangeAt - l.now; late < 0 || late > 100*time.Millisecond { // a twentieth of a window
		t.Errorf("first exchange %v after the begin of the window", late)
	}
	if a.demand.forecastUnits != 7 || a.windowBegin() != 2*time.Second || len(a.otherCommitments) != 0 {
		t.Errorf("forecast %v, begin %v, others %v", a.demand.forecastUnits, a.windowBegin(), a.otherCommitments)
	}
	a.otherCommitments = nil
	want := window{windowNumber: 1, allowance: 20, cap: 5, storedCap: 5}
	if got := a.window; !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// The wanted cap covers the use, and with a margin the larger of the forecast and the demand so far.
func TestWantedCapCoversDemandAndUse(t *testing.T) {
	for _, c := range []struct {
		forecast, inWindow, used, want float64
	}{
		{0, 0, 0, 0.5}, // a tenth of a slice of 5
		{4, 0, 0, 5.5},
		{4, 8, 0, 10.5},
		{0, 0, 7, 7},
	} {
		a := newAccount(Customer{Spread: 4})
		a.allowance, a.used = 20, c.used
		a.demand = demand{forecastUnits: c.forecast, currentUnits: c.inWindow}
		if got := a.wantedCap(); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
