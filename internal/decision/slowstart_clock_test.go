package decision

import (
	"testing"

	"cherrygap/internal/settings"
)

// newSlowStartEngine returns an engine with one warm server, server 1, and the time by this node's clock. That clock is
// ahead of the servers' clock by the given time.
func newSlowStartEngine(ahead Time) (engine *Engine, now Time) {
	now = 10_000*Second + ahead
	engine = New(1, Settings{
		settings.Nodes: "4", settings.Tick: "40", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
		settings.ClassKey(0, settings.ClassRetrySafety):      settings.RetrySafe, settings.PlanCount: "1",
		settings.SlowStartSpan: "180000", settings.SlowStartShare: "0.25", settings.OverloadMultiple: "4",
		settings.OverloadSpan: "20000",
	}.parse(), now)
	engine.UpdateEndpoints(FullList, []Endpoint{{Server: 1, State: Ready, Weight: 1}})
	return engine, now
}

// weightOf returns a server's slow-start weight now.
func (e *Engine) weightOf(id ServerID) float64 {
	return e.slowStart.weight(&e.endpoints.servers[e.endpoints.slots.find(id)], e.now)
}

// A server that starts while this node receives lists is cold, and is warm after the slow-start span. An error of this node's
// clock must not change that: the node would overload the cold server, or send a warm one too few attempts.
func TestWarmingByAClockThatIsWrong(t *testing.T) {
	for _, ahead := range []Time{0, 3600 * Second, -3600 * Second, 5 * Second, -5 * Second} {
		engine, now := newSlowStartEngine(ahead)
		engine.SetTime(now + Second)
		engine.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 2, State: Ready, Weight: 1, Started: engine.now - ahead - Second/10}})
		if weight := engine.weightOf(2); weight < 0.25 || weight > 0.26 {
			t.Errorf("clock ahead by %d s: weight of server 2 right after its start = %v, want 0.25 to 0.26", ahead/Second, weight)
		}
		if weight := engine.weightOf(1); weight != 1 {
			t.Errorf("clock ahead by %d s: weight of server 1, which started long ago, = %v, want 1", ahead/Second, weight)
		}
		engine.SetTime(now + Second + 90000)
		if weight := engine.weightOf(2); weight < 0.6 || weight > 0.65 {
			t.Errorf("clock ahead by %d s: weight of server 2 after half the span = %v, want 0.6 to 0.65", ahead/Second, weight)
		}
		engine.SetTime(now + Second + 180000)
		if weight := engine.weightOf(2); weight != 1 {
			t.Errorf("clock ahead by %d s: weight of server 2 after the span = %v, want 1", ahead/Second, weight)
		}
	}
}

// A node that starts with a wrong clock uses the observed servers' clock to determine which servers are cold. Otherwise the
// node would overload servers that have just started.
func TestWarmingByDiscoverysClock(t *testing.T) {
	for _, ahead := range []Time{0, 3600 * Second, -3600 * Second} {
		engine, now := newSlowStartEngine(ahead)
		engine.ObserveServerClock(now - ahead - Second/2)
		engine.UpdateEndpoints(FullList, []Endpoint{
			{Server: 1, State: Ready, Weight: 1, Started: now - ahead - 400*Second},
			{Server: 2, State: Ready, Weight: 1, Started: now - ahead - 2*Second},
		})
		if weight := engine.weightOf(2); weight < 0.25 || weight > 0.34 {
			t.Errorf("clock ahead by %d s: weight of server 2, which started 2 s ago, = %v, want 0.25 to 0.34", ahead/Second, weight)
		}
		if weight := engine.weightOf(1); ahead >= 0 && weight != 1 {
			t.Errorf("clock ahead by %d s: weight of server 1, which started 400 s ago, = %v, want 1", ahead/Second, weight)
		}
	}
}

// A list's delay of up to an overload span must not count as a clock difference. Server 3 is listed 9 s after its start
// and is half warm. Entries without a start time, or of a draining server, must not change its weight.
func TestLateListsAreNoWrongClock(t *testing.T) {
	engine, now := newSlowStartEngine(0)
	engine.SetTime(now + 60*Second)
	engine.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 2, State: Ready, Weight: 1, Started: engine.now - 2*Second}})
	engine.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 3, State: Ready, Weight: 1, Started: engine.now - 9*Second}})
	if weight, want := engine.weightOf(3), 0.25+0.75/2; !nearlyEqual(weight, want) {
		t.Errorf("weight of server 3, which started 9 s ago, = %v, want %v", weight, want)
	}
	engine.UpdateEndpoints(ListUpdate, []Endpoint{{Server: 4, State: Ready, Weight: 1}, {Server: 5, State: Draining, Started: engine.now}})
	if weight, want := engine.weightOf(3), 0.25+0.75/2; !nearlyEqual(weight, want) {
		t.Errorf("weight of server 3 after entries without a usable start time = %v, want %v", weight, want)
	}
}
