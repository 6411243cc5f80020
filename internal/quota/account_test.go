package quota

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// TestDemandForecast guards against a wrong demand forecast. The forecast is an exponentially weighted mean of the demand in
// the windows that have ended.
func TestDemandForecast(t *testing.T) {
	d := demand{forecastUnits: 10}
	for _, c := range []struct {
		currentUnits float64
		windows      WindowNumber
		want         float64
	}{
		{20, 1, 15},
		{15, 0, 15}, // same window again, after a reset of the account
		{15, 1, 15},
		{0, 1, 7.5},
		{10.5, 3, 2.25}, // 9, then two windows without demand
		{0, 1000, 2.25 / (1 << 20)},
	} {
		d.currentUnits = c.currentUnits
		d.endWindows(c.windows)
		if d.forecastUnits != c.want || d.currentUnits != 0 {
			t.Errorf("endWindows(%d) with %v units in the current window: demand = %+v, want forecastUnits %v and currentUnits 0",
				c.windows, c.currentUnits, d, c.want)
		}
	}
}

// TestWindowBeginsWithAnEqualShare guards against state that outlives its window. A new window begins with an equal share as
// the cap, and keeps only the forecast of the former window.
func TestWindowBeginsWithAnEqualShare(t *testing.T) {
	l := New(Config{Nodes: 4}, 0)
	a := l.account(Customer{Key: 1, Rate: 10, Burst: 40, Spread: 4})
	if a.windowNumber != 0 || a.allowance != 20 || a.cap != 5 || a.storedCap != 5 || a.demand.forecastUnits != 5 {
		t.Errorf("account in its first window = %+v, want windowNumber 0, allowance 20, cap 5, storedCap 5 and forecastUnits 5", a)
	}
	a.demand.currentUnits = 9
	a.used, a.lastSequence, a.storedSequence, a.borrowPausedUntil, a.cap = 4, 3, 2, time.Hour, 1
	a.otherCommitments[2] = Commitment{Node: 2, Sequence: 1, Cap: 1}
	l.advance(1999 * time.Millisecond)
	l.enterWindow(a)
	if a.windowNumber != 0 || a.used != 4 {
		t.Errorf("account before the end of window 0 = %+v, want windowNumber 0 and used 4", a)
	}
	l.advance(2 * time.Second)
	l.enterWindow(a)
	if delay := a.nextExchangeAt - l.now; delay < 0 || delay > 100*time.Millisecond { // a twentieth of the 2 s window
		t.Errorf("first exchange is due %v after the window begins, want 0 to 100ms", delay)
	}
	if a.demand.forecastUnits != 7 || a.windowBegin() != 2*time.Second || len(a.otherCommitments) != 0 {
		t.Errorf("second window: forecastUnits %v, begin %v, otherCommitments %v; want 7, 2s and none",
			a.demand.forecastUnits, a.windowBegin(), a.otherCommitments)
	}
	a.otherCommitments = nil
	want := window{windowNumber: 1, allowance: 20, cap: 5, storedCap: 5}
	if got := a.window; !reflect.DeepEqual(got, want) {
		t.Errorf("window after its reset = %+v, want %+v", got, want)
	}
}

// TestWantedCapCoversDemandAndUse guards against a cap that is too low. The wanted cap covers the use so far. With a margin
// it also covers the larger of the forecast and the demand so far.
func TestWantedCapCoversDemandAndUse(t *testing.T) {
	for _, c := range []struct {
		forecastUnits, currentUnits, used, want float64
	}{
		{0, 0, 0, 0.5}, // margin: a tenth of an equal share of 5
		{4, 0, 0, 5.5},
		{4, 8, 0, 10.5},
		{0, 0, 7, 7},
	} {
		a := newAccount(Customer{Spread: 4})
		a.allowance, a.used = 20, c.used
		a.demand = demand{forecastUnits: c.forecastUnits, currentUnits: c.currentUnits}
		if got := a.wantedCap(); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("wantedCap() with forecast %v, current demand %v and use %v = %v, want %v", c.forecastUnits, c.currentUnits, c.used, got, c.want)
		}
	}
}
