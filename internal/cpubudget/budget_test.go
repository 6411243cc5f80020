package cpubudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Protects against work that exceeds its share when many connections ask for all kinds of it.
func TestWorkOfAllKindsKeepsToItsShare(t *testing.T) {
	const span = 10 * time.Second
	const step = 100 * time.Microsecond
	for _, processors := range []float64{0.5, 1, 4} {
		rng := rand.New(rand.NewPCG(1, 2))
		b, used := New(processors, start), [kinds]time.Duration{}
		for range 100 {
			b.ObserveLag(start, 2*contendedLag)
		}
		for now := start; now.Before(start.Add(span)); now = now.Add(step) {
			for kind := range kinds {
				for b.Delay(now, kind) == 0 {
					cost := time.Duration(rng.IntN(int(time.Millisecond)))
					b.Charge(now, kind, Cost{Whole: cost})
					used[kind] += cost
				}
			}
		}
		checkShare(t, "accepting", used[Accept], acceptShare*processors*float64(span))
		checkShare(t, "rejecting and discarding", used[Reject]+used[Discard], rejectShare*processors*float64(span))
	}
}

// checkShare fails the test unless work took its share of the processor, with one burst and one piece of work more at most.
func checkShare(t *testing.T, work string, used time.Duration, share float64) {
	t.Helper()
	least := time.Duration(share)
	if most := least + burst + 2*time.Millisecond; used < least || used > most {
		t.Errorf("%s took %v, want %v to %v", work, used, least, most)
	}
}

// Protects against usual clients that wait in the listener's queue while the processor is idle.
func TestAcceptingHasMoreOfAnIdleProcessor(t *testing.T) {
	b := New(1, start)
	accepted := func(from time.Time, lag time.Duration, waited bool) (used time.Duration) {
		for now := from; now.Before(from.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
			b.ObserveLag(now, lag)
			b.ObserveSlots(now, waited && now.Equal(now.Truncate(fullTime/2)))
			for ; b.Delay(now, Accept) == 0; used += 100 * time.Microsecond {
				b.Charge(now, Accept, Cost{Whole: 100 * time.Microsecond})
			}
		}
		return used
	}
	idle := accepted(start, contendedLag/2, false)
	contended := accepted(start.Add(10*time.Second), 2*contendedLag, false)
	full := accepted(start.Add(20*time.Second), contendedLag/2, true)
	const most = 3600 * time.Millisecond
	if idle < 7*time.Second || contended > most || full > most {
		t.Errorf("accepting took %v of 10 s while idle, %v while contended and %v without free slots, want at least 7 s, and at most %v twice",
			idle, contended, full, most)
	}
}

func TestAcceptingDoesNotWaitForRejecting(t *testing.T) {
	b, now := New(1, start), start
	for b.Delay(now, Reject) == 0 {
		b.Charge(now, Reject, Cost{Whole: time.Millisecond})
	}
	if delay := b.Delay(now, Accept); delay > 0 {
		t.Errorf("Delay(Accept) = %v after rejections at full speed, want 0", delay)
	}
	if discard, reject := b.Delay(now, Discard), b.Delay(now, Reject); discard <= reject {
		t.Errorf("Delay(Discard) = %v, want longer than Delay(Reject) = %v", discard, reject)
	}
}

func TestDelayIsTheTimeUntilWorkMayBegin(t *testing.T) {
	for kind := range kinds {
		b, now := New(1, start), start
		for range 6 {
			b.Charge(now, kind, Cost{Whole: maxCharge})
		}
		delay := b.Delay(now, kind)
		if delay <= 0 || b.Delay(now.Add(delay-time.Microsecond), kind) == 0 || b.Delay(now.Add(delay), kind) > 0 {
			t.Errorf("kind %d: Delay = %v, want the time until Delay is 0", kind, delay)
		}
	}
}

// Protects against a process that accepts or rejects nothing for long because it did not run in the middle of a measured piece of work.
func TestLongMeasurementIsChargedInPart(t *testing.T) {
	b := New(1, start)
	b.Charge(start, Accept, Cost{Whole: time.Hour})
	b.Charge(start, Reject, Cost{SystemCalls: time.Hour})
	b.Settle(start, Close, Cost{Whole: time.Hour}, 0)
	if used := b.Used(); used != 3*maxCharge {
		t.Errorf("Used = %v after three measurements of an hour, want %v", used, 3*maxCharge)
	}
}

// Protects against malformed requests that are never answered because other clients flood the node with requests that it rejects at once.
func TestDebtIsBounded(t *testing.T) {
	for kind := range kinds {
		b := New(1, start)
		for range 1000 {
			b.Charge(start, kind, Cost{Whole: maxCharge})
		}
		if delay := b.Delay(start, kind); delay > time.Second {
			t.Errorf("kind %d: Delay = %v after much work, want at most a second", kind, delay)
		}
	}
}

func TestReservedCloseIsChargedOnce(t *testing.T) {
	b := New(1, start)
	for range 100 {
		b.Settle(start, Close, Cost{Whole: time.Millisecond}, 0)
	}
	before := b.Used()
	reserved := b.Reserve(start, Close)
	if reserved < 900*time.Microsecond || reserved > time.Millisecond {
		t.Errorf("Reserve = %v after closes of 1 ms, want about 1 ms", reserved)
	}
	b.Settle(start, Close, Cost{Whole: 3 * time.Millisecond}, reserved)
	if charged := b.Used() - before; charged != 3*time.Millisecond {
		t.Errorf("a reserved close of 3 ms was charged %v", charged)
	}
}

// Protects against many connections that are accepted before the cost of the first is known, as that of a long head is.
func TestAcceptingIsPacedByWhatEarlierConnectionsCost(t *testing.T) {
	b := New(1, start)
	for range 100 {
		b.Settle(start, Connection, Cost{Whole: time.Millisecond}, b.Reserve(start, Connection))
	}
	now, accepted := start.Add(time.Hour), 0
	for ; b.Delay(now, Accept) == 0; accepted++ {
		b.Reserve(now, Connection)
	}
	if most := int(burst/time.Millisecond) + 2; accepted > most {
		t.Errorf("%d connections accepted at once after connections of 1 ms, want at most %d", accepted, most)
	}
}

func TestReservedConnectionIsChargedOnce(t *testing.T) {
	b := New(1, start)
	forwarded := b.Reserve(start, Connection)
	b.Return(start, Connection, forwarded)
	if used := b.Used(); used != 0 {
		t.Errorf("a connection whose request was forwarded was charged %v, want 0", used)
	}
	b.Settle(start, Connection, Cost{Whole: 3 * time.Millisecond}, b.Reserve(start, Connection))
	if used := b.Used(); used != 3*time.Millisecond {
		t.Errorf("a connection of 3 ms was charged %v", used)
	}
}

func TestSystemCallsAreScaledToTheProcessorTimeOfTheProcess(t *testing.T) {
	const whole = time.Second
	for _, c := range []struct{ ratio, want float64 }{{3, 3}, {0.5, minScale}, {100, maxScale}} {
		b := New(1, start)
		b.Calibrate(time.Second, Cost{}) // nothing was measured
		for range 100 {
			b.Calibrate(whole+time.Duration(c.ratio*float64(time.Second)), Cost{Whole: whole, SystemCalls: time.Second})
		}
		b.Charge(start, Reject, Cost{Whole: time.Millisecond, SystemCalls: time.Millisecond})
		if got := b.Used().Seconds()/time.Millisecond.Seconds() - 1; got < 0.99*c.want || got > 1.01*c.want {
			t.Errorf("1 ms of system calls is charged %v ms where the process took %v times as much, want %v", got, c.ratio, c.want)
		}
	}
}

func TestQuietTimeAddsOneBurstAtMost(t *testing.T) {
	b, now := New(1, start), start.Add(time.Hour)
	used := time.Duration(0)
	for ; b.Delay(now, Reject) == 0; used += time.Millisecond {
		b.Charge(now, Reject, Cost{Whole: time.Millisecond})
	}
	if used > burst+time.Millisecond {
		t.Errorf("%v of work at once after an hour, want at most %v", used, burst)
	}
	if b.Delay(now.Add(-time.Minute), Reject) == 0 {
		t.Error("an earlier time added to the balance")
	}
}
