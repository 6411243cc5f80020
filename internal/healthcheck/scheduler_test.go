package healthcheck

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cherrygap/internal/membership"
)

// fleet is a simulated fleet. Its network delivers each message at once.
type fleet struct {
	nodes []*Scheduler // schedulers by node number; nil for a node that is down
	now   time.Duration
	runs  map[Check][]run // all runs of each check, in the order of time
}

// run is one run of a check.
type run struct {
	by NodeID
	at time.Duration
}

// checks are the checks of the simulated fleets.
var checks = []Check{{CheckServer, 1}, {CheckServer, 2}, {CheckServer, 99}, {CheckList, 1}, {CheckCounter, 7}}

// newFleet starts a fleet of the given number of nodes.
func newFleet(nodes int) *fleet {
	f := &fleet{runs: map[Check][]run{}, nodes: make([]*Scheduler, nodes)}
	for i := range nodes {
		f.startNode(NodeID(i), 5)
	}
	return f
}

// startNode starts a node, or replaces it as after a restart.
func (f *fleet) startNode(id NodeID, seed uint64) {
	cfg := Config{Self: id, Nodes: len(f.nodes), Seed: seed, ReceiveRate: 40, Interval: 5 * time.Second}
	f.nodes[id] = New(cfg, f.now)
	f.nodes[id].SetChecks(f.now, checks)
}

// runUntil runs the simulation until a time, in steps of 50 ms.
func (f *fleet) runUntil(t *testing.T, until time.Duration) {
	t.Helper()
	for ; f.now < until; f.now += 50 * time.Millisecond {
		for i, node := range f.nodes {
			if node == nil {
				continue
			}
			for step, ok := node.Next(f.now); ok; step, ok = node.Next(f.now) {
				f.carryOut(t, NodeID(i), step)
			}
		}
	}
}

// carryOut carries out a step of a node. A run ends at once, with the result OK.
func (f *fleet) carryOut(t *testing.T, id NodeID, step Step) {
	t.Helper()
	switch step.Kind {
	case Send:
		if to := f.nodes[step.To]; to != nil {
			if err := to.ReceivePeerMessage(f.now, id, slices.Clone(step.Payload)); err != nil {
				t.Fatalf("node %d received %x from node %d: %v, want no error", step.To, step.Payload, id, err)
			}
		}
	case Run:
		f.runs[step.Check] = append(f.runs[step.Check], run{id, f.now})
		f.nodes[id].CheckEnded(f.now, step.Check, true)
	case Ended:
		if runs := f.runs[step.Check]; len(runs) == 0 || runs[len(runs)-1].by == id || !step.OK {
			t.Errorf("node %d was notified of %+v after the runs %+v (times in ns), want the last run, by another node, with the result OK",
				id, step, runs)
		}
	}
}

// lastRun returns the last run of a check.
func (f *fleet) lastRun(c Check) run { return f.runs[c][len(f.runs[c])-1] }

// checkOneOwnerEach fails the test unless each check was run three to six times, always by the same node.
func (f *fleet) checkOneOwnerEach(t *testing.T) {
	t.Helper()
	if len(f.runs) != len(checks) {
		t.Errorf("%d of %d checks were run, want all", len(f.runs), len(checks))
	}
	for check, runs := range f.runs {
		if len(runs) < 3 || len(runs) > 6 {
			t.Errorf("runs of check %+v = %+v (times in ns), want 3 to 6 runs", check, runs)
		}
		for _, r := range runs {
			if r.by != runs[0].by {
				t.Errorf("runs of check %+v = %+v (times in ns), want all by the same node", check, runs)
			}
		}
	}
}

// TestAnotherNodeReplacesDeadOwner checks that without faults each check has one owner. Another node takes over the checks
// of a dead owner, and is their backup owner for the handover time after the former owner's restart. Otherwise a check
// would not run during an owner's failure.
func TestAnotherNodeReplacesDeadOwner(t *testing.T) {
	f := newFleet(9)
	f.runUntil(t, 40*time.Second)
	f.checkOneOwnerEach(t)
	check := checks[0]
	former := f.runs[check][0].by
	f.nodes[former] = nil
	f.runUntil(t, 80*time.Second)
	next := f.lastRun(check).by
	if next == former || f.now-f.lastRun(check).at > 2*f.nodes[next].Interval() {
		t.Fatalf("after the death of node %d, runs of check %+v = %+v (times in ns), want the last one by another node, at most %v before %v",
			former, check, f.runs[check], 2*f.nodes[next].Interval(), f.now)
	}
	f.startNode(former, 6)
	f.runUntil(t, f.now+3*time.Second)
	if got := f.nodes[next].Ownership(f.now, check); got != BackupOwner {
		t.Errorf("during the handover, Ownership of node %d = %d, want %d (BackupOwner)", next, got, BackupOwner)
	}
	if got := f.nodes[former].Ownership(f.now, check); got != PrimaryOwner {
		t.Errorf("during the handover, Ownership of restarted node %d = %d, want %d (PrimaryOwner)", former, got, PrimaryOwner)
	}
	f.runUntil(t, f.now+60*time.Second)
	if got := f.nodes[next].Ownership(f.now, check); got != NotOwner || f.lastRun(check).by != former {
		t.Errorf("after the handover, Ownership of node %d = %d, runs of check %+v = %+v (times in ns); want ownership %d (NotOwner) and the last run by node %d",
			next, got, check, f.runs[check], NotOwner, former)
	}
	if got := f.nodes[former].Ownership(f.now, Check{CheckServer, 12345}); got != NotOwner {
		t.Errorf("Ownership of an unknown check = %d, want %d (NotOwner)", got, NotOwner)
	}
}

// TestNodeSurvivesRandomMessages checks that a node that has received many messages with random bytes still runs checks,
// and reports each malformed message as ErrMalformed. Otherwise a corrupt or hostile datagram could stop a node.
func TestNodeSurvivesRandomMessages(t *testing.T) {
	// The parts are a bitmap, an update and the end of a run.
	const ack = "d00203fa2da101" + "0300031000" + "00" + "011e05" + "0203010a"
	valid, err := hex.DecodeString(ack)
	if err != nil {
		t.Fatalf("decode the ack %q: %v", ack, err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	node := New(Config{Nodes: 20, Seed: 5, ReceiveRate: 40, Interval: 5 * time.Second}, 0)
	node.SetChecks(0, checks)
	now := time.Duration(0)
	for range 20000 {
		mutated := slices.Clone(valid)
		for range 1 + random.IntN(4) {
			mutated[1+random.IntN(len(mutated)-1)] = byte(random.IntN(256))
		}
		if err := node.ReceivePeerMessage(now, NodeID(1+random.IntN(19)), mutated); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("ReceivePeerMessage(%x) = %v, want no error or ErrMalformed", mutated, err)
		}
		for hasStep := true; hasStep; {
			_, hasStep = node.Next(now)
		}
		now += time.Millisecond
	}
	if err := node.ReceivePeerMessage(now, 1, valid); err != nil || node.WakeAfter(now) <= 0 {
		t.Errorf("ReceivePeerMessage of a valid message = %v, WakeAfter = %v; want no error and more than 0", err, node.WakeAfter(now))
	}
	if c := node.Counters(); c.Malformed < 1000 || c.Received < 1000 || c.Checks == 0 {
		t.Errorf("Counters() = %+v, want at least 1000 in Malformed and Received, and Checks above 0", c)
	}
}

// newSingleNode returns the scheduler of a fleet's only node, which owns all checks.
func newSingleNode(interval time.Duration) *Scheduler {
	return New(Config{Nodes: 1, Interval: interval}, 0)
}

// TestFirstRunsAreSpreadOverAQuarterOfTheInterval checks that the first runs of new checks are spread over a quarter of an
// interval. After that each check is run once per interval. Without the spread, many new servers would cause a burst of
// checks in each interval.
func TestFirstRunsAreSpreadOverAQuarterOfTheInterval(t *testing.T) {
	s := newSingleNode(4 * time.Second)
	manyChecks := make([]Check, 200)
	for i := range manyChecks {
		manyChecks[i] = Check{CheckServer, CheckID(i)}
	}
	s.SetChecks(0, manyChecks)
	firstRunAt, firstRunsPerTenth := map[Check]time.Duration{}, map[time.Duration]int{}
	for now := time.Duration(0); now < 9*time.Second; now += time.Millisecond {
		for step, ok := s.Next(now); ok; step, ok = s.Next(now) {
			at, repeated := firstRunAt[step.Check]
			if !repeated {
				firstRunAt[step.Check] = now
				firstRunsPerTenth[now/(100*time.Millisecond)]++
			} else if gap := now - at; gap%(4*time.Second) > 2*time.Millisecond {
				t.Errorf("check %+v was run %v after its first run, want a multiple of 4s, up to 2ms late", step.Check, gap)
			}
			s.CheckEnded(now, step.Check, true)
		}
	}
	for _, check := range manyChecks {
		if at, ok := firstRunAt[check]; !ok || at > time.Second {
			t.Errorf("first run of check %+v: at %v (found: %v), want within 1s", check, at, ok)
		}
	}
	for tenth := range time.Duration(10) {
		if firstRunsPerTenth[tenth] < 8 || firstRunsPerTenth[tenth] > 40 {
			t.Errorf("tenth %d of the first second has %d of 200 first runs, want 8 to 40", tenth, firstRunsPerTenth[tenth])
		}
	}
}

// TestSetChecksReplacesTheSet checks that SetChecks keeps the state of checks that stay, and discards the others. A running
// check is not started again. Otherwise a change of the set would cause duplicate runs, or runs for servers that no longer
// exist.
func TestSetChecksReplacesTheSet(t *testing.T) {
	s := newSingleNode(time.Second)
	s.SetChecks(0, []Check{{CheckServer, 1}, {CheckServer, 2}})
	startedRuns := func(now time.Duration) (got []CheckID) {
		for step, ok := s.Next(now); ok; step, ok = s.Next(now) {
			got = append(got, step.Check.ID)
		}
		slices.Sort(got)
		return got
	}
	if got := startedRuns(time.Second); !slices.Equal(got, []CheckID{1, 2}) || s.OwnedCount(time.Second) != 2 {
		t.Errorf("runs of the first set: %v, owned checks: %d; want [1 2] and 2", got, s.OwnedCount(time.Second))
	}
	s.CheckEnded(time.Second, Check{CheckServer, 2}, false)
	s.SetChecks(time.Second, []Check{{CheckServer, 2}, {CheckServer, 3}})
	s.CheckEnded(time.Second, Check{CheckServer, 1}, true) // The run ends after the check was removed.
	if got := startedRuns(2 * time.Second); !slices.Equal(got, []CheckID{2, 3}) || s.OwnedCount(2*time.Second) != 2 {
		t.Errorf("runs of the second set: %v, owned checks: %d; want [2 3] and 2", got, s.OwnedCount(2*time.Second))
	}
	if got := startedRuns(9 * time.Second); len(got) > 0 { // Both checks are running.
		t.Errorf("runs started while both checks are running: %v, want none", got)
	}
	if wake := s.WakeAfter(9 * time.Second); wake > time.Second {
		t.Errorf("WakeAfter while both checks are running = %v, want at most 1s", wake)
	}
}

// TestRunAtAnotherNodeDelaysTheNext checks that a run at another node is reported once, and delays this node's next run.
// Otherwise two owners would run a check at twice the rate.
func TestRunAtAnotherNodeDelaysTheNext(t *testing.T) {
	s := New(Config{Nodes: 3, Seed: 1, ReceiveRate: 4000, Interval: 10 * time.Second}, 0)
	check := Check{CheckServer, 5}
	s.SetChecks(0, []Check{check})
	end, _ := hex.DecodeString("d00200db052768" + "0202" + "05" + "0a") // The message reports a run that failed 10 ms ago.
	for range 2 {
		if err := s.ReceivePeerMessage(9*time.Second, 1, end); err != nil {
			t.Fatalf("ReceivePeerMessage(%x) failed: %v, want no error", end, err)
		}
	}
	if step, ok := s.Next(9 * time.Second); !ok || step.Kind != Ended || step.Check != check || step.OK {
		t.Errorf("first step = %+v, %v; want kind %d (Ended) for check %+v with OK false, and true", step, ok, Ended, check)
	}
	if step, _ := s.Next(9 * time.Second); step.Kind == Ended || step.Kind == Run {
		t.Errorf("second step = %+v, want neither kind %d (Ended) nor %d (Run)", step, Ended, Run)
	}
	state := &s.checks[0]
	state.ownership = PrimaryOwner
	if at := s.dueAt(state); at != 19*time.Second-10*time.Millisecond {
		t.Errorf("dueAt for the primary owner = %v, want 18.99s", at)
	}
	state.ownership = BackupOwner
	if at := s.dueAt(state); at != 21500*time.Millisecond-10*time.Millisecond {
		t.Errorf("dueAt for the backup owner = %v, want 21.49s", at)
	}
}

// TestReportsOfOneRunAreMerged checks that two reports whose run times differ by at most an eighth of a ping period are
// about the same run. Otherwise a run whose result arrives by way of several nodes would count as several runs.
func TestReportsOfOneRunAreMerged(t *testing.T) {
	s := New(Config{Nodes: 3, Seed: 1, ReceiveRate: 4000, Interval: 10 * time.Second}, 0) // The ping period is 100 ms.
	s.SetChecks(0, []Check{{CheckServer, 5}})
	for _, report := range []struct {
		at    time.Duration
		ageMs byte
		isNew bool
	}{
		{9 * time.Second, 10, true},                       // The run was at 8.990 s.
		{9010 * time.Millisecond, 8, false},               // The run was 12 ms later.
		{9010 * time.Millisecond, 7, true},                // The run was 13 ms later.
		{9010 * time.Millisecond, 30, false},              // The run was before the last known one.
		{9010*time.Millisecond + s.Period()/8, 7, false},  // The run was 12.5 ms after the last known one.
		{9010*time.Millisecond + 10*s.Period(), 10, true}, // This is another run.
	} {
		age := time.Duration(report.ageMs) * time.Millisecond
		e := membership.Event{Kind: uint8(CheckServer), ID: 5, At: report.at - age}
		s.advance(report.at)
		if isNew := s.receiveEvent(e); isNew != report.isNew {
			t.Errorf("receiveEvent of a run %d ms before %v = %v, want %v", report.ageMs, report.at, isNew, report.isNew)
		}
	}
}

// TestIntervalGrowsWithTheFleet checks that the interval is at least minIntervalPeriodsPerRound ping periods per gossip
// round. With a shorter interval in a large fleet, the checks of a dead member would miss several runs.
func TestIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		nodes int
		rate  float64
		want  time.Duration
	}{
		{1, 40, 5 * time.Second},
		{12, 40, 9600 * time.Millisecond},
		{80, 40, 16800 * time.Millisecond},
		{300, 40, 21600 * time.Millisecond},
		{300, 4000, 5 * time.Second},
		{300, 0, 5 * time.Second},
	} {
		if got := New(Config{Nodes: c.nodes, ReceiveRate: c.rate, Interval: 5 * time.Second}, 0).Interval(); got != c.want {
			t.Errorf("Interval() of %d nodes that receive %v messages per second = %v, want %v", c.nodes, c.rate, got, c.want)
		}
	}
}
