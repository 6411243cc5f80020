package routing

import (
	"sync"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// TestRequestGoesThroughItsAttempts checks that a request is forwarded, and that an overloaded server is followed by a second
// attempt at another one.
func TestRequestGoesThroughItsAttempts(t *testing.T) {
	r, req, _ := startRouter(t, settings.RetrySafe, 3)
	for range 50 {
		req.Start(&seatRequest, 2*time.Second)
		d := req.Next()
		if d.Action != Forward || d.Attempt != 0 || d.Timeout <= 0 || d.Timeout > 2*time.Second || !r.InService(d.Server) {
			t.Fatalf("Next() of a new request = %+v, want Action %d (Forward), Attempt 0, a Server in service and a Timeout above 0 and up to 2s",
				d, Forward)
		}
		req.Report(AttemptResult{Outcome: protocol.Completed, Duration: 30 * time.Millisecond})
	}
	req.Start(&seatRequest, 2*time.Second)
	first := req.Next()
	req.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
	if d := req.Next(); d.Action != Forward || d.Attempt != 1 || d.Server == first.Server {
		t.Errorf("Next() after Overloaded = %+v, want Action %d (Forward), Attempt 1 and a Server other than %p", d, Forward, first.Server)
	}
	req.Report(AttemptResult{Outcome: protocol.Completed})
}

// TestUnsafeRequestThatMayHaveRunFails guards against a rejection of an unsafe request that may have run: the client's retry
// would run it twice. A request that never ran is rejected, so that the client may retry it.
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
				t.Errorf("decision after %v = %+v, want Action %d (%d is Reject, %d Fail)", outcome, d, want, Reject, Fail)
			}
		})
	}
}

// TestDisconnectedClientIsAbandoned checks that a disconnect cancels the attempt in flight and abandons the request, and that
// the Request serves the next request.
func TestDisconnectedClientIsAbandoned(t *testing.T) {
	_, req, canceller := startRouter(t, settings.RetrySafe, 2)
	req.Start(&seatRequest, 2*time.Second)
	req.Next()
	req.ClientGone()
	req.Report(AttemptResult{Outcome: protocol.Cancelled, Duration: time.Millisecond})
	if d := req.Next(); d.Action != Abandon || len(canceller.cancelled) != 1 || canceller.cancelled[0] != 0 {
		t.Errorf("Next() after ClientGone = %+v, cancelled attempts %v; want Action %d (Abandon), [0]", d, canceller.cancelled, Abandon)
	}
	req.Start(&seatRequest, 2*time.Second) // The next request uses the same slot.
	checkForwarded(t, req.Next(), 0)
	req.Report(AttemptResult{Outcome: protocol.Completed})
}

// TestClientThatDisconnectsAtOnceLeavesNothingInFlight guards against an attempt that the engine takes to be in flight for
// ever, because the client disconnected before the attempt started.
func TestClientThatDisconnectsAtOnceLeavesNothingInFlight(t *testing.T) {
	_, req, _ := startRouter(t, settings.RetrySafe, 2)
	for range 200 {
		req.Start(&seatRequest, 2*time.Second)
		req.ClientGone()
		if d := req.Next(); d.Action != Abandon {
			t.Fatalf("Next() after ClientGone = %+v, want Action %d (Abandon)", d, Abandon)
		}
	}
	req.Start(&seatRequest, 2*time.Second)
	if d := req.Next(); d.Action != Forward {
		t.Errorf("Next() of the next request = %+v, want Action %d (Forward)", d, Forward)
	}
}

// TestTryNextDoesNotWait checks that TryNext returns a decision as soon as the engine has made it, and else returns false.
func TestTryNextDoesNotWait(t *testing.T) {
	_, req, _ := startRouter(t, settings.RetrySafe, 2)
	if d, ok := req.TryNext(); ok {
		t.Errorf("TryNext() before Start = %+v, true, want no decision", d)
	}
	for range 50 { // Completed requests earn the budget for a retry.
		req.Start(&seatRequest, 2*time.Second)
		req.Next()
		req.Report(AttemptResult{Outcome: protocol.Completed, Duration: 30 * time.Millisecond})
	}
	req.Start(&seatRequest, 2*time.Second)
	d, ok := req.TryNext()
	if !ok {
		t.Fatal("TryNext() after Start has no decision, want one")
	}
	checkForwarded(t, d, 0)
	if d, ok := req.TryNext(); ok {
		t.Errorf("TryNext() with an attempt in flight = %+v, true, want no decision", d)
	}
	req.Report(AttemptResult{Outcome: protocol.Overloaded, Duration: time.Millisecond})
	if d, ok = req.TryNext(); !ok {
		t.Fatal("TryNext() after the result of the attempt has no decision, want one")
	}
	checkForwarded(t, d, 1)
}

// TestOnDecision checks that OnDecision is called once for each decision, during the call of the Router that caused it. A
// decision that replaces one that has not been taken causes no call.
func TestOnDecision(t *testing.T) {
	var decided []*Request
	r := newRouter(t, Config{
		Settings:   settings.Parse(oneClassSettings(settings.RetrySafe)),
		OnDecision: func(req *Request) { decided = append(decided, req) },
	})
	r.UpdateEndpoints(serverList(2, protocol.InService), FromCache)
	first, second := r.NewRequest(&cancelRecorder{}), r.NewRequest(&cancelRecorder{})
	for i, step := range []struct {
		call func()
		want *Request
	}{
		{func() { first.Start(&seatRequest, time.Second) }, first},
		{func() { second.Start(&seatRequest, time.Second) }, second},
		{func() { second.TryNext(); second.Report(AttemptResult{Outcome: protocol.Overloaded}) }, second},
		{func() { first.TryNext(); first.Report(AttemptResult{Outcome: protocol.Completed}) }, nil},
		{func() { first.Start(&seatRequest, time.Second) }, first},
		{func() { second.ClientGone() }, nil}, // Its last decision has not been taken.
	} {
		decided = nil
		step.call()
		if step.want == nil && len(decided) > 0 || step.want != nil && (len(decided) != 1 || decided[0] != step.want) {
			t.Errorf("step %d: OnDecision got the Requests %v, want only %p (0x0: none); the first is %p, the second %p", i, decided, step.want,
				first, second)
		}
	}
}

// TestConcurrentRequestsEachGetOneFinalDecision guards against concurrent requests that get no final decision, or more
// attempts than allowed, for any outcomes of their attempts.
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
						t.Errorf("client %d, request %d: attempt number %d was forwarded, want at most 3 attempts", client, i, attempts)
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
	if len(r.requests.free) != len(r.requests.bySlot)-1 { // The Request of startRouter is not released.
		t.Errorf("free slots = %d of %d, want %d", len(r.requests.free), len(r.requests.bySlot), len(r.requests.bySlot)-1)
	}
}
