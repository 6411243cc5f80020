package routing

import (
	"sync"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

func TestRequestGoesThroughItsAttempts(t *testing.T) {
	r, req, _ := startRouter(t, settings.RetrySafe, 3)
	for range 50 {
		req.Start(&seatRequest, 2*time.Second)
		d := req.Next()
		if d.Action != Forward || d.Attempt != 0 || d.Timeout <= 0 || d.Timeout > 2*time.Second || !r.InService(d.Server) {
			t.Fatalf("first %+v", d)
		}
		req.Report(AttemptResult{Outcome: protocol.Completed, Duration: 30 * time.Millisecond})
	}
	req.Start(&seatRequest, 2*time.Second)
	first := req.Next()
	req.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
	if d := req.Next(); d.Action != Forward || d.Attempt != 1 || d.Server == first.Server {
		t.Errorf("overloaded, then %+v", d)
	}
	req.Report(AttemptResult{Outcome: protocol.Completed})
}

// An unsafe request that may have run fails. One that never ran is rejected, so that the client may retry it.
func TestUnsafeRequestThatMayHaveRunFails(t *testing.T) {
	for outcome, want := range map[protocol.Outcome]Action{
		protocol.Errored:           Fail,
		protocol.ConnectionReset:   Fail,
		protocol.TimedOut:          Fail,
		protocol.MalformedResponse: Fail,
		protocol.Cancelled:         Fail,
		protocol.NotSent:           Reject,
		protocol.ConnectFailed:     Reject,
		protocol.Overloaded:        Reject,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			_, req, _ := startRouter(t, settings.RetryUnsafe, 2)
			req.Start(&seatRequest, 2*time.Second)
			d := req.Next()
			for d.Action == Forward && d.Attempt < 3 {
				req.Report(AttemptResult{Outcome: outcome, Duration: time.Millisecond})
				d = req.Next()
			}
			if d.Action != want {
				t.Errorf("%v: %+v", outcome, d)
			}
		})
	}
}

func TestDisconnectedClientIsAbandoned(t *testing.T) {
	_, req, canceller := startRouter(t, settings.RetrySafe, 2)
	req.Start(&seatRequest, 2*time.Second)
	req.Next()
	req.ClientGone()
	req.Report(AttemptResult{Outcome: protocol.Cancelled, Duration: time.Millisecond})
	if d := req.Next(); d.Action != Abandon || len(canceller.cancelled) != 1 || canceller.cancelled[0] != 0 {
		t.Errorf("%+v, cancelled %v", d, canceller.cancelled)
	}
	req.Start(&seatRequest, 2*time.Second) // the slot serves the next request
	checkForwarded(t, req.Next(), 0)
	req.Report(AttemptResult{Outcome: protocol.Completed})
}

// A client that disconnects before its first attempt must not leave an attempt in flight.
func TestClientThatDisconnectsAtOnceLeavesNothingInFlight(t *testing.T) {
	_, req, _ := startRouter(t, settings.RetrySafe, 2)
	for range 200 {
		req.Start(&seatRequest, 2*time.Second)
		req.ClientGone()
		if d := req.Next(); d.Action != Abandon {
			t.Fatalf("%+v", d)
		}
	}
	req.Start(&seatRequest, 2*time.Second)
	if d := req.Next(); d.Action != Forward {
		t.Errorf("then %+v", d)
	}
}

func TestTryNextDoesNotWait(t *testing.T) {
	_, req, _ := startRouter(t, settings.RetrySafe, 2)
	if d, ok := req.TryNext(); ok {
		t.Errorf("decided on %+v before the start", d)
	}
	for range 50 { // earn the budget for a retry
		req.Start(&seatRequest, 2*time.Second)
		req.Next()
		req.Report(AttemptResult{Outcome: protocol.Completed, Duration: 30 * time.Millisecond})
	}
	req.Start(&seatRequest, 2*time.Second)
	d, ok := req.TryNext()
	if !ok {
		t.Fatal("nothing decided at the start")
	}
	checkForwarded(t, d, 0)
	if d, ok := req.TryNext(); ok {
		t.Errorf("decided on %+v with an attempt in flight", d)
	}
	req.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
	if d, ok = req.TryNext(); !ok {
		t.Fatal("nothing decided on after the attempt's result")
	}
	checkForwarded(t, d, 1)
}

// OnDecision is called once for each decision, within the call of the Router that caused it.
func TestOnDecision(t *testing.T) {
	var decided []*Request
	r := newRouter(t, Config{
		Settings:   settings.Parse(settingsOf(settings.RetrySafe)),
		OnDecision: func(req *Request) { decided = append(decided, req) },
	})
	r.UpdateEndpoints(listOf(2, protocol.InService), FromCache)
	one, other := r.NewRequest(&cancelRecorder{}), r.NewRequest(&cancelRecorder{})
	for i, step := range []struct {
		do   func()
		want *Request
	}{
		{func() { one.Start(&seatRequest, time.Second) }, one},
		{func() { other.Start(&seatRequest, time.Second) }, other},
		{func() { other.TryNext(); other.Report(AttemptResult{Outcome: protocol.Overloaded}) }, other},
		{func() { one.TryNext(); one.Report(AttemptResult{Outcome: protocol.Completed}) }, nil},
		{func() { one.Start(&seatRequest, time.Second) }, one},
		{func() { other.ClientGone() }, nil}, // its last decision is not taken
	} {
		decided = nil
		step.do()
		if step.want == nil && len(decided) > 0 || step.want != nil && (len(decided) != 1 || decided[0] != step.want) {
			t.Errorf("step %d: %d decisions", i, len(decided))
		}
	}
}

// Each of many concurrent requests gets one final decision, whatever the outcomes of its attempts.
func TestConcurrentRequestsEachGetOneFinalDecision(t *testing.T) {
	r, _, _ := startRouter(t, settings.RetrySafe, 4)
	var clients sync.WaitGroup
	for client := range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			req := r.NewRequest(&cancelRecorder{})
			defer req.Release()
			for i := range 100 {
				req.Start(&seatRequest, time.Second)
				if (i+client)%7 == 0 {
					req.ClientGone()
				}
				attempts := 0
				for d := req.Next(); d.Action == Forward; d = req.Next() {
					if attempts++; attempts > 3 {
						t.Error("more attempts than allowed")
					}
					outcome := protocol.Outcome((i + client + attempts) % int(protocol.OutcomeCount))
					req.Report(AttemptResult{Outcome: outcome, Duration: time.Millisecond})
					if outcome == protocol.Completed {
						break
					}
				}
			}
		}()
	}
	clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests.free) != len(r.requests.bySlot)-1 { // the first was never released
		t.Errorf("%d of %d slots given back", len(r.requests.free), len(r.requests.bySlot))
	}
}
