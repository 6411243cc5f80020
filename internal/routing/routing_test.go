package routing

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/quota"
)

// hand is a worker that notes what was withdrawn.
type hand struct {
	mu     sync.Mutex
	called []int
}

func (h *hand) Cancel(nth int) {
	h.mu.Lock()
	h.called = append(h.called, nth)
	h.mu.Unlock()
}

func settingsOf(repeats string) map[string]string {
	return map[string]string{
		"band.count": "1", "band.0.name": "seats", "band.0.contract": "5000", "band.0.repeats": repeats,
		"plan.count": "1", "plan.0.name": "team", "nodes": "1", "tick": "20", "executions": "3", "withdraw": "true",
	}
}

func listOf(n int, state protocol.EndpointState) *protocol.EndpointList {
	l := &protocol.EndpointList{Revision: 1, Full: true}
	for i := range n {
		l.Endpoints = append(l.Endpoints, protocol.Endpoint{
			UID: "s" + strconv.Itoa(i), State: state, Weight: 1,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	return l
}

func startRouter(t *testing.T, repeats string, servers int) (*Router, *Request, *hand) {
	r := New(Config{
		Seed: 7, Settings: settingsOf(repeats), SetTimer: func(time.Duration) {}, SendToPeer: func(int, []byte) {},
		PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	if servers > 0 {
		r.UpdateEndpoints(listOf(servers, protocol.InService), true)
	}
	h := &hand{}
	return r, r.NewRequest(h), h
}

var request = protocol.Request{Class: "seats", Plan: "team", Customer: 5, Units: 1, Spread: 1}

func TestTicketGoesThroughItsExecutions(t *testing.T) {
	r, ticket, _ := startRouter(t, "replayable", 3)
	for range 50 {
		ticket.Start(&request, 2*time.Second)
		c := ticket.Next()
		if c.Action != Forward || c.Attempt != 0 || c.Timeout <= 0 || c.Timeout > 2*time.Second || !r.InService(c.Server) {
			t.Fatalf("first %+v", c)
		}
		ticket.Report(AttemptResult{Outcome: protocol.Completed, Duration: 30 * time.Millisecond})
	}
	ticket.Start(&request, 2*time.Second)
	first := ticket.Next()
	ticket.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
	if c := ticket.Next(); c.Action != Forward || c.Attempt != 1 || c.Server == first.Server {
		t.Errorf("turned away, then %+v", c)
	}
	ticket.Report(AttemptResult{Outcome: protocol.Completed})
}

func TestSingleUseThatMayHaveRunIsBrokenOff(t *testing.T) {
	for outcome, want := range map[protocol.Outcome]Action{
		protocol.Errored: Fail, protocol.ConnectionReset: Fail,
		protocol.TimedOut: Fail, protocol.MalformedResponse: Fail, protocol.Cancelled: Fail, protocol.NotSent: Reject, protocol.ConnectFailed: Reject,
		protocol.Overloaded: Reject,
	} {
		_, ticket, _ := startRouter(t, "single-use", 2)
		ticket.Start(&request, 2*time.Second)
		for c := ticket.Next(); ; c = ticket.Next() {
			if c.Action == Forward && c.Attempt < 3 {
				ticket.Report(AttemptResult{Outcome: outcome, Duration: time.Millisecond})
				continue
			}
			if c.Action != want {
				t.Errorf("%v: %+v", outcome, c)
			}
			break
		}
	}
}

func TestClientThatLeavesIsOwedNothing(t *testing.T) {
	_, ticket, h := startRouter(t, "replayable", 2)
	ticket.Start(&request, 2*time.Second)
	ticket.Next()
	ticket.ClientGone()
	ticket.Report(AttemptResult{Outcome: protocol.Cancelled, Duration: time.Millisecond})
	if c := ticket.Next(); c.Action != Abandon || len(h.called) != 1 || h.called[0] != 0 {
		t.Errorf("%+v, withdrawn %v", c, h.called)
	}
	ticket.Start(&request, 2*time.Second) // the same room serves the next one
	if c := ticket.Next(); c.Action != Forward || c.Attempt != 0 {
		t.Errorf("next %+v", c)
	}
	ticket.Report(AttemptResult{Outcome: protocol.Completed})
}

// A client that leaves before its first execution begins must not count as one that is out for ever.
func TestClientThatLeavesAtOnceLeavesNothingOut(t *testing.T) {
	_, ticket, _ := startRouter(t, "replayable", 2)
	for range 200 {
		ticket.Start(&request, 2*time.Second)
		ticket.ClientGone()
		if c := ticket.Next(); c.Action != Abandon {
			t.Fatalf("%+v", c)
		}
	}
	ticket.Start(&request, 2*time.Second)
	if c := ticket.Next(); c.Action != Forward {
		t.Errorf("then %+v", c)
	}
}

func TestNothingStartsAtServersThatDrain(t *testing.T) {
	r, ticket, _ := startRouter(t, "replayable", 1)
	ticket.Start(&request, 2*time.Second)
	c := ticket.Next()
	r.UpdateEndpoints(listOf(1, protocol.Terminating), false)
	if r.InService(c.Server) {
		t.Error("a draining server may start an execution")
	}
	ticket.Report(AttemptResult{Outcome: protocol.NotSent})
	if c := ticket.Next(); c.Action != Reject {
		t.Errorf("%+v", c)
	}
	r.UpdateEndpoints(listOf(1, protocol.InService), false)
	moved := listOf(1, protocol.InService)
	moved.Full = false
	moved.Endpoints[0].Addr = netip.MustParseAddrPort("127.0.0.1:9555")
	r.UpdateEndpoints(moved, false)
	ticket.Start(&request, 2*time.Second)
	if next := ticket.Next(); r.InService(c.Server) || next.Server.Addr != moved.Endpoints[0].Addr {
		t.Error("a server that moved is still at its old address")
	}
}

func TestServersAreNumberedAlikeEverywhere(t *testing.T) {
	a, b := newEndpointTable(), newEndpointTable()
	l := listOf(40, protocol.InService)
	one := a.take(l)
	for i, j := 0, len(l.Endpoints)-1; i < j; i, j = i+1, j-1 {
		l.Endpoints[i], l.Endpoints[j] = l.Endpoints[j], l.Endpoints[i]
	}
	for i, x := range b.take(l) {
		if x.Server != one[len(one)-1-i].Server {
			t.Fatalf("%s is %d here and %d there", l.Endpoints[i].UID, x.Server, one[len(one)-1-i].Server)
		}
	}
	a.taken[1], a.taken[2] = "x", "y"
	if a.taken[a.id("s0")] != "s0" {
		t.Error("two servers share a number")
	}
}

// New servers replace old ones all day, some at the address of one that has gone: they are others to the node.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	f := newEndpointTable()
	l := listOf(3, protocol.InService)
	f.take(l)
	old := f.servers[f.id("s0")]
	for i := range 200 {
		next := protocol.EndpointList{Endpoints: []protocol.Endpoint{l.Endpoints[i%3], l.Endpoints[i%3]}}
		next.Endpoints[0].State = protocol.Terminated
		next.Endpoints[1].UID = "t" + strconv.Itoa(i)
		f.take(&next)
		l.Endpoints[i%3] = next.Endpoints[1]
	}
	if s := f.servers[f.id("t198")]; len(f.servers) != 3 || len(f.ids) != 3 || len(f.taken) != 3 || s == old || s.Addr != old.Addr {
		t.Errorf("%d servers, %d ids, %d numbers", len(f.servers), len(f.ids), len(f.taken))
	}
	f.take(&protocol.EndpointList{Full: true})
	if len(f.servers)+len(f.ids)+len(f.taken) != 0 {
		t.Error("a whole list that is empty leaves servers")
	}
}

// Tickets come and go on many connections at once, with ends of all kinds; each gets one last word.
func TestManyTicketsAtOnce(t *testing.T) {
	r, _, _ := startRouter(t, "replayable", 4)
	var all sync.WaitGroup
	for k := range 16 {
		all.Add(1)
		go func() {
			defer all.Done()
			ticket := r.NewRequest(&hand{})
			defer ticket.Release()
			for i := range 100 {
				ticket.Start(&request, time.Second)
				if (i+k)%7 == 0 {
					ticket.ClientGone()
				}
				runs := 0
				for c := ticket.Next(); c.Action == Forward; c = ticket.Next() {
					if runs++; runs > 3 {
						t.Error("more executions than allowed")
					}
					end := protocol.Outcome((i + k + runs) % int(protocol.OutcomeCount))
					ticket.Report(AttemptResult{Outcome: end, Duration: time.Millisecond})
					if end == protocol.Completed {
						break
					}
				}
			}
		}()
	}
	all.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.free) != len(r.requests)-1 { // the first was never freed
		t.Errorf("%d of %d rooms given back", len(r.free), len(r.requests))
	}
}

// With other settings watched, clients get the same answers, and what would have been otherwise is counted.
func TestWatchedSettingsChangeNoAnswer(t *testing.T) {
	play := func(compare map[string]string) (answers []Decision, r *Router) {
		now := time.Unix(1000, 0)
		r = New(Config{
			Seed: 7, Settings: settingsOf("replayable"), Shadow: compare, Clock: func() time.Time { return now },
			SetTimer: func(time.Duration) {}, SendToPeer: func(int, []byte) {}, PollEndpoints: func() {}, LogSummary: func([]byte) {},
		})
		r.UpdateEndpoints(listOf(4, protocol.InService), true)
		ticket := r.NewRequest(&hand{})
		for k := range 60 {
			now = now.Add(20 * time.Millisecond)
			ticket.Start(&request, 2*time.Second)
			for c := ticket.Next(); ; c = ticket.Next() {
				if answers = append(answers, Decision{Action: c.Action, Attempt: c.Attempt, Timeout: c.Timeout, RetryAfter: c.RetryAfter}); c.Action != Forward {
					break
				}
				if k%5 == 0 && c.Attempt == 0 {
					ticket.Report(AttemptResult{Outcome: protocol.Errored, Duration: time.Millisecond})
					continue
				}
				ticket.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
				break
			}
		}
		return answers, r
	}
	want, r := play(nil)
	if seen, differs := r.ShadowCounts(); seen != 0 || differs != nil {
		t.Error("counted with nothing watched")
	}
	other := settingsOf("single-use")
	got, r := play(other)
	if seen, differs := r.ShadowCounts(); !slices.Equal(got, want) || seen < 60 || differs["send_would_break_off"] < 10 {
		t.Errorf("%d answers of %d the same; of %d decisions %v", len(got), len(want), seen, differs)
	}
	if got, r = play(settingsOf("replayable")); !slices.Equal(got, want) {
		t.Error("equal settings changed an answer")
	} else if _, differs := r.ShadowCounts(); len(differs) > 0 {
		t.Errorf("equal settings differ: %v", differs)
	}
}

// While a message to peers can't be sent, tickets go on: one that waits for the peers' socket holds no lock.
func TestBlockedMessagesHoldUpNoTicket(t *testing.T) {
	set := settingsOf("replayable")
	set["nodes"], set["peers"], set["peers.take"] = "3", "true", "40"
	now := time.Unix(1000, 0)
	block, told := make(chan struct{}), atomic.Int64{}
	r := New(Config{
		Seed: 7, Settings: set, SetTimer: func(time.Duration) {}, PollEndpoints: func() {}, LogSummary: func([]byte) {},
		SendToPeer: func(int, []byte) { told.Add(1); <-block }, Clock: func() time.Time { return now },
	})
	r.UpdateEndpoints(listOf(3, protocol.InService), true)
	all := make(chan struct{})
	go func() {
		defer close(all)
		now = now.Add(time.Second)
		var ticks sync.WaitGroup
		ticks.Add(1)
		go func() { defer ticks.Done(); r.Tick() }() // its messages are stuck
		for told.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		now = now.Add(time.Second)
		r.Tick() // and so are these, behind them
		now = now.Add(20 * time.Millisecond)
		ticket := r.NewRequest(&hand{})
		for range 5 {
			ticket.Start(&request, 2*time.Second)
			if c := ticket.Next(); c.Action != Forward {
				t.Errorf("%+v", c)
				break
			}
			ticket.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
		}
		close(block)
		ticks.Wait()
	}()
	select {
	case <-all:
	case <-time.After(5 * time.Second):
		t.Fatal("tickets wait for a message to peers")
	}
	if told.Load() < 2 {
		t.Error("the messages behind a stuck one were lost")
	}
}

// While a message to peers can't be sent, the word to ask discovery again passes it: a change is to be told within its term.
func TestBlockedMessagesHoldUpNoCallToDiscovery(t *testing.T) {
	set := settingsOf("replayable")
	set["nodes"], set["peers"], set["peers.take"], set["roster"], set["ask.within"] = "3", "true", "40", "ask", "100000"
	now := time.Unix(1000, 0)
	block, told, asked := make(chan struct{}), atomic.Int64{}, make(chan struct{}, 99)
	r := New(Config{
		Seed: 7, Settings: set, SetTimer: func(time.Duration) {}, PollEndpoints: func() { asked <- struct{}{} },
		LogSummary: func([]byte) {}, SendToPeer: func(int, []byte) { told.Add(1); <-block }, Clock: func() time.Time { return now },
	})
	now = now.Add(time.Second)
	var tick sync.WaitGroup
	tick.Add(1)
	go func() { defer tick.Done(); r.Tick() }() // its messages are stuck
	for end := time.Now().Add(5 * time.Second); told.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if len(asked) != 1 {
		t.Errorf("%d words at the start", len(asked))
	}
	r.PollFailed()
	now = now.Add(3 * time.Second)
	r.Tick()
	if len(asked) != 2 {
		t.Errorf("%d words after a call that failed", len(asked))
	}
	close(block)
	tick.Wait()
}

// lease is a quota that has so much left.
type lease struct{ left, asked float64 }

func (l *lease) RecordDemand(_ quota.Customer, units float64) { l.asked += units }
func (l *lease) Available(quota.Customer) float64             { return l.left }
func (l *lease) RecordUse(c quota.Customer, units float64)    { l.left -= units }

// Where quotas are leased the module lets pass what the lease allows: no less for this node's part, no more for its own
// bucket's depth, and further executions of a ticket take nothing.
func TestTheModuleDecidesByTheLease(t *testing.T) {
	set := settingsOf("replayable")
	set["nodes"], set["plan.0.rate"], set["plan.0.depth"] = "3", "100", "100"
	l := &lease{left: 3}
	r := New(Config{
		Seed: 7, Settings: set, Quota: l, SetTimer: func(time.Duration) {}, SendToPeer: func(int, []byte) {},
		PollEndpoints: func() {}, LogSummary: func([]byte) {},
	})
	r.UpdateEndpoints(listOf(3, protocol.InService), true)
	ticket, q, passed := r.NewRequest(&hand{}), request, 0
	q.Spread = 3
	for k := range 20 {
		if k == 10 {
			l.left = 2
		}
		ticket.Start(&q, 2*time.Second)
		c := ticket.Next()
		if c.Action != Forward {
			continue
		}
		passed++
		ticket.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
		if c = ticket.Next(); c.Action == Forward {
			ticket.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
		}
	}
	if passed != 5 || l.left != 0 || l.asked != 20 {
		t.Errorf("%d passed, %v left, %v asked", passed, l.left, l.asked)
	}
}
