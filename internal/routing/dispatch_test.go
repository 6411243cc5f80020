package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/settings"
)

// carryOut calls Router.carryOut under the lock.
func carryOut(r *Router, d decision.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(d)
}

// Decisions reach the Request, with the engine's durations as time.Duration.
func TestDecisionsReachTheirRequest(t *testing.T) {
	r, _, _ := startRouter(t, settings.RetrySafe, 1)
	server := r.Servers()[0]
	for _, c := range []struct {
		name     string
		decision decision.Decision // without its Request
		want     Decision
		gone     bool
	}{
		{
			name:     "forward",
			decision: decision.Decision{Action: decision.Forward, Server: decision.ServerID(server.Number()), Duration: 12345},
			want:     Decision{Action: Forward, Attempt: 0, Server: server, Timeout: 1234500 * time.Microsecond},
		},
		{
			name:     "forward to a server that is gone",
			decision: decision.Decision{Action: decision.Forward, Server: 1, Duration: 1},
			want:     Decision{Action: Forward, Attempt: 0, Timeout: 100 * time.Microsecond},
			gone:     true,
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
			if c.gone { // an unknown server, which is not in service
				if got.Server == nil || got.Server.Number() != ServerNumber(c.decision.Server) || r.InService(got.Server) {
					t.Errorf("server %+v", got.Server)
				}
				got.Server = nil
			}
			if got != c.want || !ok {
				t.Errorf("decided on %+v, not on %+v", got, c.want)
			}
		})
	}
}

// Decisions without a request set the timer, poll for endpoints, or go to the outbox.
func TestDecisionsWithoutARequest(t *testing.T) {
	var timer time.Duration
	polls := 0
	r := newRouter(t, Config{
		Settings:      settings.Parse(settingsOf(settings.RetrySafe)),
		SetTimer:      func(after time.Duration) { timer = after },
		PollEndpoints: func() { polls++ },
	})
	carryOut(r, decision.Decision{Action: decision.SetTimer, Duration: 3})
	if timer != 300*time.Microsecond {
		t.Errorf("the timer is set to %v", timer)
	}
	if carryOut(r, decision.Decision{Action: decision.PollEndpoints}); polls != 1 {
		t.Errorf("%d polls", polls)
	}
	carryOut(r, decision.Decision{Action: decision.SendPeerMessage, Peer: 4, Payload: []byte("m")})
	carryOut(r, decision.Decision{Action: decision.LogSummary, Payload: []byte("s")})
	messages, summary := r.outbox.takeAll()
	if len(messages) != 1 || messages[0].peer != 4 || string(messages[0].payload) != "m" || string(summary) != "s" {
		t.Errorf("messages %v and summary %q", messages, summary)
	}
}

// A decision on a closed request must not reach the next request of its slot.
func TestDecisionsOnClosedRequestsAreDropped(t *testing.T) {
	for _, action := range []decision.Action{decision.Forward, decision.Reject, decision.Fail, decision.CancelAttempt} {
		r, req, canceller := startRouter(t, settings.RetrySafe, 1)
		closed := req.number
		req.number = req.number.next()
		carryOut(r, decision.Decision{Action: action, Request: decision.RequestID(closed), Attempt: req.attempt})
		if d, ok := req.TryNext(); ok || len(canceller.cancelled) > 0 {
			t.Errorf("action %d: decided on %+v, cancelled %v", action, d, canceller.cancelled)
		}
	}
}

// At most the last attempt is in flight, so that only it is cancelled.
func TestOnlyTheLastAttemptIsCancelled(t *testing.T) {
	r, req, canceller := startRouter(t, settings.RetrySafe, 1)
	req.attempt = 2
	for attempt := range 4 {
		carryOut(r, decision.Decision{Action: decision.CancelAttempt, Request: decision.RequestID(req.number), Attempt: attempt})
	}
	if !slices.Equal(canceller.cancelled, []int{2}) {
		t.Errorf("cancelled %v", canceller.cancelled)
	}
}

func TestUnknownActionPanics(t *testing.T) {
	for _, action := range []decision.Action{0, decision.HealthCheck, 255} {
		r, _, _ := startRouter(t, settings.RetrySafe, 1)
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("action %d: no panic", action)
				}
			}()
			carryOut(r, decision.Decision{Action: action})
		}()
	}
}
