package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// TestShadowChangesNoDecision guards against a shadow evaluation that changes a decision, or miscounts the decisions that
// differ under its settings.
func TestShadowChangesNoDecision(t *testing.T) {
	runRequests := func(shadow *settings.Settings) (decisions []Decision, r *Router) {
		now := time.Unix(1000, 0)
		r = newRouter(t, Config{Settings: settings.Parse(oneClassSettings(settings.RetrySafe)), Shadow: shadow, Clock: func() time.Time { return now }})
		r.UpdateEndpoints(serverList(4, protocol.InService), FromCache)
		req := r.NewRequest(&cancelRecorder{})
		for i := range 60 {
			now = now.Add(20 * time.Millisecond)
			req.Start(&seatRequest, 2*time.Second)
			for d := req.Next(); ; d = req.Next() {
				decisions = append(decisions, Decision{Action: d.Action, Attempt: d.Attempt, Timeout: d.Timeout, RetryAfter: d.RetryAfter})
				if d.Action != Forward {
					break
				}
				if i%5 == 0 && d.Attempt == 0 {
					req.Report(AttemptResult{Outcome: protocol.Errored, Duration: time.Millisecond})
					continue
				}
				req.Report(AttemptResult{Outcome: protocol.Completed, Duration: time.Millisecond})
				break
			}
		}
		return decisions, r
	}
	want, r := runRequests(nil)
	if compared, differing := r.ShadowCounts(); compared != 0 || differing != nil {
		t.Errorf("ShadowCounts() without a shadow = %d, %v, want 0, nil", compared, differing)
	}
	got, r := runRequests(settings.Parse(oneClassSettings(settings.RetryUnsafe)))
	if compared, differing := r.ShadowCounts(); !slices.Equal(got, want) || compared < 60 || differing["forward_would_fail"] < 10 {
		t.Errorf("with a shadow: decisions unchanged = %t, want true; ShadowCounts() = %d, %v, want at least 60, and at least 10 forward_would_fail",
			slices.Equal(got, want), compared, differing)
	}
	if got, r = runRequests(settings.Parse(oneClassSettings(settings.RetrySafe))); !slices.Equal(got, want) {
		t.Errorf("a shadow with equal settings changed a decision: %d decisions, want the same %d", len(got), len(want))
	} else if _, differing := r.ShadowCounts(); len(differing) > 0 {
		t.Errorf("ShadowCounts() with an equal shadow has the differences %v, want none", differing)
	}
}
