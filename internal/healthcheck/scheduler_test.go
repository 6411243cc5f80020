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

// fleet is a simulated network without delay.
type fleet struct {
	nodes []*Scheduler // nil for one that is down
	now   time.Duration
	ran   map[Check][]run // all runs of each check
}

// run is one run of a check.
type run struct {
	by NodeID
	at time.Duration
}

var checks = []Check{{CheckServer, 1}, {CheckServer, 2}, {CheckServer, 99}, {CheckList, 1}, {CheckCounter, 7}}

func newFleet(nodes int) *fleet {
	f := &fleet{ran: map[Check][]run{}, nodes: make([]*Scheduler, nodes)}
	for i := range nodes {
		f.start(NodeID(i), 5)
	}
	return f
}

func (f *fleet) start(id NodeID, seed uint64) {
	cfg := Config{Self: id, Nodes: len(f.nodes), Seed: seed, ReceiveRate: 40, Interval: 5 * time.Second}
	f.nodes[id] = New(cfg, f.now)
	f.nodes[id].SetChecks(f.now, checks)
}

func (f *fleet) play(t *testing.T, until time.Duration) {
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

func (f *fleet) carryOut(t *testing.T, id NodeID, step Step) {
	t.Helper()
	switch step.Kind {
	case Send:
		if to := f.nodes[step.To]; to != nil {
			if err := to.ReceivePeerMessage(f.now, id, slices.Clone(step.Payload)); err != nil {
				t.Fatal(err)
			}
		}
	case Run:
		f.ran[step.Check] = append(f.ran[step.Check], run{id, f.now})
		f.nodes[id].CheckEnded(f.now, step.Check, true)
	case Ended:
		if runs := f.ran[step.Check]; len(runs) == 0 || runs[len(runs)-1].by == id || !step.OK {
			t.Errorf("%d was given %+v after %v", id, step, runs)
		}
	}
}

// last returns the last run of a check.
func (f *fleet) last(c Check) run { return f.ran[c][len(f.ran[c])-1] }

// checkOneOwnerEach fails the test unless every check was run three to six times, always by the same node.
func (f *fleet) checkOneOwnerEach(t *testing.T) {
	t.Helper()
	if len(f.ran) != len(checks) {
		t.Errorf("%d of %d checks were run", len(f.ran), len(checks))
	}
	for check, runs := range f.ran {
		if len(runs) < 3 || len(runs) > 6 {
			t.Errorf("%v was run %v", check, runs)
		}
		for _, r := range runs {
			if r.by != runs[0].by {
				t.Errorf("%v was run %v", check, runs)
			}
		}
	}
}

// Without faults each check has one owner. Another node replaces a dead owner, and stays backup owner for the handover time
// after the former owner's restart.
func TestAnotherNodeReplacesDeadOwner(t *testing.T) {
	f := newFleet(9)
	f.play(t, 40*time.Second)
	f.checkOneOwnerEach(t)
	check := checks[0]
	former := f.ran[check][0].by
	f.nodes[former] = nil
	f.play(t, 80*time.Second)
	next := f.last(check).by
	if next == former || f.now-f.last(check).at > 2*f.nodes[next].Interval() {
		t.Fatalf("%v was run %v", check, f.ran[check])
	}
	f.start(former, 6)
	f.play(t, f.now+3*time.Second)
	if got := f.nodes[next].Ownership(f.now, check); got != BackupOwner {
		t.Errorf("node %d during the handover: ownership %d, want %d", next, got, BackupOwner)
	}
	if got := f.nodes[former].Ownership(f.now, check); got != PrimaryOwner {
		t.Errorf("restarted node %d: ownership %d, want %d", former, got, PrimaryOwner)
	}
	f.play(t, f.now+60*time.Second)
	if got := f.nodes[next].Ownership(f.now, check); got != NotOwner || f.last(check).by != former {
		t.Errorf("node %d after the handover: ownership %d, %v was run %v", next, got, check, f.ran[check])
	}
	if got := f.nodes[former].Ownership(f.now, Check{CheckServer, 12345}); got != NotOwner {
		t.Errorf("an unknown check has ownership %d", got)
	}
}

// After many messages with random bytes a node still runs checks, and it reports malformed ones as ErrMalformed.
func TestNodeSurvivesRandomMessages(t *testing.T) {
	const ack = "d00203fa2da101" + "0300031000" + "00" + "011e05" + "0203010a" // a bitmap, an update and the end of a run
	good, err := hex.DecodeString(ack)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	node := New(Config{Nodes: 20, Seed: 5, ReceiveRate: 40, Interval: 5 * time.Second}, 0)
	node.SetChecks(0, checks)
	now := time.Duration(0)
	for range 20000 {
		mutated := slices.Clone(good)
		for range 1 + random.IntN(4) {
			mutated[1+random.IntN(len(mutated)-1)] = byte(random.IntN(256))
		}
		if err := node.ReceivePeerMessage(now, NodeID(1+random.IntN(19)), mutated); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		for pulled := true; pulled; {
			_, pulled = node.Next(now)
		}
		now += time.Millisecond
	}
	if err := node.ReceivePeerMessage(now, 1, good); err != nil || node.Wake(now) <= 0 {
		t.Errorf("a valid message: %v, wake after %v", err, node.Wake(now))
	}
	if c := node.Counters(); c.Malformed < 1000 || c.Received < 1000 || c.Checks == 0 {
		t.Errorf("%+v", c)
	}
}

// single returns the only node of a fleet. It owns all checks.
func single(interval time.Duration) *Scheduler { return New(Config{Nodes: 1, Interval: interval}, 0) }

// First runs of new checks are spread over a quarter of an interval. After that each check is run once per interval.
func TestFirstRunsAreSpreadOverAQuarterOfTheInterval(t *testing.T) {
	s := single(4 * time.Second)
	many := make([]Check, 200)
	for i := range many {
		many[i] = Check{CheckServer, CheckID(i)}
	}
	s.SetChecks(0, many)
	first, places := map[Check]time.Duration{}, map[time.Duration]int{}
	for now := time.Duration(0); now < 9*time.Second; now += time.Millisecond {
		for step, ok := s.Next(now); ok; step, ok = s.Next(now) {
			at, again := first[step.Check]
			if !again {
				first[step.Check] = now
				places[now/(100*time.Millisecond)]++
			} else if gap := now - at; gap%(4*time.Second) > 2*time.Millisecond {
				t.Errorf("%v was run %v after its first run", step.Check, gap)
			}
			s.CheckEnded(now, step.Check, true)
		}
	}
	for _, check := range many {
		if at, ok := first[check]; !ok || at > time.Second {
			t.Errorf("%v was run first at %v", check, at)
		}
	}
	for place := range time.Duration(10) {
		if places[place] < 8 || places[place] > 40 {
			t.Errorf("%d of 200 first runs in the tenth %d of a second", places[place], place)
		}
	}
}

// A check that is running is not run again. A check that is no longer listed is forgotten.
func TestSetChecksReplacesTheSet(t *testing.T) {
	s := single(time.Second)
	s.SetChecks(0, []Check{{CheckServer, 1}, {CheckServer, 2}})
	pull := func(now time.Duration) (got []CheckID) {
		for step, ok := s.Next(now); ok; step, ok = s.Next(now) {
			got = append(got, step.Check.ID)
		}
		slices.Sort(got)
		return got
	}
	if got := pull(time.Second); !slices.Equal(got, []CheckID{1, 2}) || s.OwnedCount(time.Second) != 2 {
		t.Errorf("%v", got)
	}
	s.CheckEnded(time.Second, Check{CheckServer, 2}, false)
	s.SetChecks(time.Second, []Check{{CheckServer, 2}, {CheckServer, 3}})
	s.CheckEnded(time.Second, Check{CheckServer, 1}, true) // the run ends after the check was removed
	if got := pull(2 * time.Second); !slices.Equal(got, []CheckID{2, 3}) || s.OwnedCount(2*time.Second) != 2 {
		t.Errorf("%v", got)
	}
	if got := pull(9 * time.Second); len(got) > 0 { // both are running
		t.Errorf("%v", got)
	}
	if wake := s.Wake(9 * time.Second); wake > time.Second {
		t.Errorf("wake after %v", wake)
	}
}

// A run at another node is reported once, and delays this node's next run.
func TestRunAtAnotherNodeDelaysTheNext(t *testing.T) {
	s := New(Config{Nodes: 3, Seed: 1, ReceiveRate: 4000, Interval: 10 * time.Second}, 0)
	check := Check{CheckServer, 5}
	s.SetChecks(0, []Check{check})
	end, _ := hex.DecodeString("d00200db052768" + "0202" + "05" + "0a") // a failed run, 10 ms ago
	for range 2 {
		if err := s.ReceivePeerMessage(9*time.Second, 1, end); err != nil {
			t.Fatal(err)
		}
	}
	if step, ok := s.Next(9 * time.Second); !ok || step.Kind != Ended || step.Check != check || step.OK {
		t.Errorf("%+v, %v", step, ok)
	}
	if step, _ := s.Next(9 * time.Second); step.Kind == Ended || step.Kind == Run {
		t.Errorf("%+v after it", step)
	}
	state := &s.checks[0]
	state.ownership = PrimaryOwner
	if at := s.dueAt(state); at != 19*time.Second-10*time.Millisecond {
		t.Errorf("due at %v", at)
	}
	state.ownership = BackupOwner
	if at := s.dueAt(state); at != 21500*time.Millisecond-10*time.Millisecond {
		t.Errorf("due at %v for the backup owner", at)
	}
}

// Two reports within an eighth of a ping period are about the same run.
func TestReportsOfOneRunAreMerged(t *testing.T) {
	s := New(Config{Nodes: 3, Seed: 1, ReceiveRate: 4000, Interval: 10 * time.Second}, 0) // a ping period of 100 ms
	s.SetChecks(0, []Check{{CheckServer, 5}})
	for _, report := range []struct {
		at    time.Duration
		ageMs byte
		isNew bool
	}{
		{9 * time.Second, 10, true},                       // a run at 8.990 s
		{9010 * time.Millisecond, 8, false},               // 12 ms later
		{9010 * time.Millisecond, 7, true},                // 13 ms later
		{9010 * time.Millisecond, 30, false},              // earlier than the last known run
		{9010*time.Millisecond + s.Period()/8, 7, false},  // 12.5 ms after the last one
		{9010*time.Millisecond + 10*s.Period(), 10, true}, // another run
	} {
		age := time.Duration(report.ageMs) * time.Millisecond
		e := membership.Event{Kind: uint8(CheckServer), ID: 5, At: report.at - age}
		s.advance(report.at)
		if isNew := s.receiveEvent(e); isNew != report.isNew {
			t.Errorf("%v, %d ms ago: new %v", report.at, report.ageMs, isNew)
		}
	}
}

// The interval is at least minIntervalPeriodsPerRound ping periods per gossip round.
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
			t.Errorf("%d nodes, %v messages a second: %v, want %v", c.nodes, c.rate, got, c.want)
		}
	}
}
