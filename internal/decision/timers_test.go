package decision

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"

	"cherrygap/internal/settings"
)

// Nodes whose polls fail together must not poll again together. Each waits at least 1 s, and at most the settings' limit
// and 1 s more.
func TestFailedPollsSpread(t *testing.T) {
	pollWithin := 10 * Second
	var secondPolls []Time
	rng := rand.New(rand.NewSource(1))
	values := Settings{
		settings.Nodes: "80", settings.Tick: "10", settings.ClassCount: "1",
		settings.ClassKey(0, settings.ClassLatencyObjective): "6000", settings.EndpointList: settings.EndpointListPoll,
		settings.PlanCount: "1", settings.PollWithin: strconv.Itoa(int(pollWithin)),
	}
	for range 80 {
		engine := New(rng.Uint64(), values.parse(), Second)
		for k, now := 0, Second; k < 6; k++ {
			startedAt := now
			for !pollsDiscovery(engine) {
				now += Second / 50
				engine.SetTime(now)
			}
			if wait := now - startedAt; k > 0 && (wait < Second || wait > pollWithin+Second) {
				t.Fatalf("poll %d came %d units of 0.1 ms after a failed one, want %d to %d", k, wait, Second, pollWithin+Second)
			}
			if k == 1 {
				secondPolls = append(secondPolls, now)
			}
			engine.UpdateEndpoints(PollFailed, nil)
		}
	}
	slices.Sort(secondPolls)
	for i := range len(secondPolls) - 20 {
		if secondPolls[i+20]-secondPolls[i] < Second/4 {
			t.Fatalf("21 of 80 nodes poll again within %d units of 0.1 ms, want at least %d", secondPolls[i+20]-secondPolls[i], Second/4)
		}
	}
}

// A node must know a change 6 s after discovery is reachable again, however many polls have failed. A failing poll may
// take 2 s and the next response 1 s, so that the next poll must come within 3 s. It must not come before 1 s, and 200
// nodes must not poll in step.
func TestDiscoveryIsPolledAgainWithinThreeSeconds(t *testing.T) {
	const tick, nodes = Second / 50, 200
	for seed := range 1000 {
		values := Settings{
			settings.Nodes: "200", settings.Tick: "10", settings.ClassCount: "1",
			settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
			settings.EndpointList:                                settings.EndpointListPoll, settings.PlanCount: "1",
			settings.PollWithin: []string{"100000", "600000", "30000"}[seed%3],
		}
		engine, now := New(uint64(seed)*7919, values.parse(), Second), Second
		for k := range 15 {
			startedAt := now
			for !pollsDiscovery(engine) {
				now += tick
				engine.SetTime(now)
			}
			if wait := now - startedAt; k > 0 && (wait < Second || wait > 3*Second+tick) {
				t.Fatalf("seed %d: the poll after failure %d came after %d units of 0.1 ms, want %d to %d", seed, k, wait, Second, 3*Second+tick)
			}
			for range 1 + seed%2 { // a failure reported twice counts once
				engine.UpdateEndpoints(PollFailed, nil)
			}
		}
	}
	for seed := range 20 {
		var nextPolls []Time
		for i := range nodes {
			engine := New(uint64(seed*nodes+i)*7919+1, Settings{
				settings.Nodes: "200", settings.ClassCount: "1",
				settings.ClassKey(0, settings.ClassLatencyObjective): "6000",
				settings.EndpointList:                                settings.EndpointListPoll,
				settings.PlanCount:                                   "1", settings.PollWithin: "100000",
			}.parse(), Second)
			now := Second
			pollsDiscovery(engine)
			for engine.UpdateEndpoints(PollFailed, nil); !pollsDiscovery(engine); now += tick {
				engine.SetTime(now)
			}
			nextPolls = append(nextPolls, now)
		}
		slices.Sort(nextPolls)
		for i := range nodes - 50 { // an even spread has 25 polls in a quarter of a second, with a standard deviation of 5
			if nextPolls[i+50]-nextPolls[i] < Second/4 {
				t.Fatalf("seed %d: 51 of 200 nodes poll again within %d units of 0.1 ms, want at least %d", seed, nextPolls[i+50]-nextPolls[i], Second/4)
			}
		}
	}
}

// pollsDiscovery calls Next until it returns false, and reports whether a decision was to poll discovery.
func pollsDiscovery(engine *Engine) (polls bool) {
	for d, ok := engine.Next(); ok; d, ok = engine.Next() {
		polls = polls || d.Action == PollEndpoints
	}
	return polls
}

// Reports to all peers are due three times a second: more would exceed the peer message rate. Reports to owners are due
// whenever time has passed, since owners have no other information on the use.
func TestReportTimes(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*config)
		wantDue []Time
	}{
		{"all report to all", func(*config) {}, []Time{3333, 6666, 9999}},
		{"owners", func(c *config) { c.usesOwners = true }, []Time{1111, 2222, 3333, 4444, 5555, 6666, 7777, 8888, 9999}},
		{"one node", func(c *config) { c.nodes = 1 }, nil},
		{"no peers", func(c *config) { c.peersEnabled = false }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg, timers, due := testConfig(), newTimers(0, &config{}), []Time(nil)
			c.change(cfg)
			for now := Time(1111); now <= 9999; now += 1111 {
				for timers.startReportIfDue(now, cfg) {
					due = append(due, now)
				}
			}
			if !slices.Equal(due, c.wantDue) {
				t.Errorf("reports are due at %v, want %v", due, c.wantDue)
			}
		})
	}
}

// Attempt checks take place 30 times in the shortest objective, but not more often than the tick or the time unit. Otherwise
// Next would begin checks without end.
func TestCheckTimes(t *testing.T) {
	for _, c := range []struct{ tick, objective, want Time }{{10, 6000, 200}, {500, 6000, 500}, {0, 10, 1}, {-5, 0, 1}} {
		timers := newTimers(Second, &config{})
		if due := timers.startCheckIfDue(Second, &config{tick: c.tick, shortestObjective: c.objective}); !due || timers.checkAt != Second+c.want {
			t.Errorf("tick %d, objective %d: startCheckIfDue() = %v with the next check after %d, want true and %d (units of 0.1 ms)",
				c.tick, c.objective, due, timers.checkAt-Second, c.want)
		}
		if after, ok := timers.nextHostTimer(Second); !ok || after != c.want {
			t.Errorf("tick %d, objective %d: nextHostTimer() = %d, %v, want %d, true", c.tick, c.objective, after, ok, c.want)
		}
		if _, ok := timers.nextHostTimer(Second); ok {
			t.Errorf("tick %d, objective %d: the second call of nextHostTimer() sets the timer again, want no timer", c.tick, c.objective)
		}
	}
}

// No second poll begins before the first one fails, and a failure counts once. A failure that counted twice would delay
// the next poll. Without the setting, discovery is not polled.
func TestPolls(t *testing.T) {
	rng := newRandom(1)
	pushed, timers := newTimers(Second, &config{}), newTimers(Second, &config{pollEndpoints: true})
	if pushed.startPollIfDue(99 * Second) {
		t.Error("startPollIfDue() = true where discovery pushes its lists, want false")
	}
	if !timers.startPollIfDue(Second) {
		t.Error("startPollIfDue() of a new node = false, want true")
	} else if timers.startPollIfDue(99 * Second) {
		t.Error("startPollIfDue() = true while the first poll is in flight, want false")
	}
	timers.pollFailed(2*Second, 99999, &rng)
	next := timers.pollAt
	timers.pollFailed(3*Second, 99999, &rng)
	if timers.pollAt != next || next < 3*Second || next > 5*Second || timers.startPollIfDue(next-1) || !timers.startPollIfDue(next) {
		t.Errorf("next poll is due %d after the first report of a failure and %d after the second, want the same time, %d to %d (units of 0.1 ms), "+
			"no poll before it, and one poll then",
			next-2*Second, timers.pollAt-2*Second, Second, 3*Second)
	}
}
