package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
)

// carryOut calls Router.carryOut with the lock held.
func carryOut(r *Router, d decision.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(d)
}

// TestDecisionsReachTheirRequest checks that each decision of the engine reaches its Request, with the engine's durations
// converted to time.Duration.
func TestDecisionsReachTheirRequest(t *testing.T) {
	r, _, _ := startRouter(t, settings.RetrySafe, 1)
	server := r.Servers()[0]
	for _, c := range []struct {
		name     string
		decision decision.Decision // decision without its Request
		want     Decision
		unlisted bool // whether the endpoint list does not have the server
	}{
		{
			name:     "forward",
			decision: decision.Decision{Action: decision.Forward, Server: decision.ServerID(server.Number()), Duration: 12345},
			want:     Decision{Action: Forward, Attempt: 0, Server: server, Timeout: 1234500 * time.Microsecond},
		},
		{
			name:     "forward to an unlisted server",
			decision: decision.Decision{Action: decision.Forward, Server: 1, Duration: 1},
			want:     Decision{Action: Forward, Attempt: 0, Timeout: 100 * time.Microsecond},
			unlisted: true,
		},
		{
			name:     "reject",
			decision: decision.Decision{Action: decision.Reject, Duration: 7},
			want:     Decision{Action: Reject, RetryAfter: 700 * time.Microsecond},
		},
		{
			name:     "fail",
			decision: decision.Decision{Action: decision.Fail, Duration: 7},
			want:     Decision{Action: Fail},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := r.NewRequest(&cancelRecorder{})
			req.attempt = -1
			c.decision.Request = decision.RequestID(req.number)
			carryOut(r, c.decision)
			got, ok := req.TryNext()
			if c.unlisted { // The Request gets a Server that is not in service.
				if got.Server == nil || got.Server.Number() != ServerNumber(c.decision.Server) || r.InService(got.Server) {
					t.Errorf("TryNext() has the server %+v, want a server with number %d that is not in service", got.Server, c.decision.Server)
				}
				got.Server = nil
			}
			if got != c.want || !ok {
				t.Errorf("TryNext() = %+v, %t, want %+v, true", got, ok, c.want)
			}
		})
	}
}

// TestDecisionsWithoutARequest checks the decisions that belong to no request: they set the timer, poll for endpoints, or go
// to the outbox.
func TestDecisionsWithoutARequest(t *testing.T) {
	var timer time.Duration
	polls := 0
	r := newRouter(t, Config{
		Settings:      settings.Parse(oneClassSettings(settings.RetrySafe)),
		SetTimer:      func(after time.Duration) { timer = after },
		PollEndpoints: func() { polls++ },
	})
	carryOut(r, decision.Decision{Action: decision.SetTimer, Duration: 3})
	if timer != 300*time.Microsecond {
		t.Errorf("SetTimer got %v, want 300µs", timer)
	}
	if carryOut(r, decision.Decision{Action: decision.PollEndpoints}); polls != 1 {
		t.Errorf("PollEndpoints was called %d times, want 1", polls)
	}
	carryOut(r, decision.Decision{Action: decision.SendPeerMessage, Peer: 4, Payload: []byte("m")})
	carryOut(r, decision.Decision{Action: decision.LogSummary, Payload: []byte("s")})
	messages, summary := r.outbox.takeAll()
	if len(messages) != 1 || messages[0].peer != 4 || string(messages[0].payload) != "m" || string(summary) != "s" {
		t.Errorf("outbox holds messages %+v and summary %q, want one message to peer 4 with payload %v (\"m\") and summary \"s\"",
			messages, summary, []byte("m"))
	}
}

// TestDecisionsOnClosedRequestsAreDropped guards against a late decision on a closed request that reaches the next request
// of the same slot.
func TestDecisionsOnClosedRequestsAreDropped(t *testing.T) {
	for _, action := range []decision.Action{decision.Forward, decision.Reject, decision.Fail, decision.CancelAttempt} {
		r, req, canceller := startRouter(t, settings.RetrySafe, 1)
		closed := req.number
		req.number = req.number.next()
		carryOut(r, decision.Decision{Action: action, Request: decision.RequestID(closed), Attempt: req.attempt})
		if d, ok := req.TryNext(); ok || len(canceller.cancelled) > 0 {
			t.Errorf("action %d (%d is Forward, %d Reject, %d Fail, %d CancelAttempt) on a closed request: TryNext() = %+v, %t, cancelled attempts %v; want no decision, false, none",
				action, decision.Forward, decision.Reject, decision.Fail, decision.CancelAttempt, d, ok, canceller.cancelled)
		}
	}
}

// TestOnlyTheLastAttemptIsCancelled guards against the cancellation of an attempt other than the last: only that one may be
// in flight.
func TestOnlyTheLastAttemptIsCancelled(t *testing.T) {
	r, req, canceller := startRouter(t, settings.RetrySafe, 1)
	req.attempt = 2
	for attempt := range 4 {
		carryOut(r, decision.Decision{Action: decision.CancelAttempt, Request: decision.RequestID(req.number), Attempt: attempt})
	}
	if !slices.Equal(canceller.cancelled, []int{2}) {
		t.Errorf("cancelled attempts = %v, want [2]", canceller.cancelled)
	}
}

// TestUnknownActionPanics guards against an action of the engine that has no effect, although the engine waits for it.
func TestUnknownActionPanics(t *testing.T) {
	for _, action := range []decision.Action{0, decision.HealthCheck, 255} {
		r, _, _ := startRouter(t, settings.RetrySafe, 1)
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("carryOut with action %d did not panic, want a panic", action)
				}
			}()
			carryOut(r, decision.Decision{Action: action})
		}()
	}
}
