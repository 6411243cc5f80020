package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// A shadow evaluation changes no decision, and counts those that its settings would make otherwise.
func TestShadowChangesNoDecision(t *testing.T) {
	play := func(shadow *settings.Settings) (answers []Decision, r *Router) {
		now := time.Unix(1000, 0)
		r = newRouter(t, Config{Settings: settings.Parse(settingsOf(settings.RetrySafe)), Shadow: shadow, Clock: func() time.Time { return now }})
		r.UpdateEndpoints(listOf(4, protocol.InService), FromCache)
		req := r.NewRequest(&cancelRecorder{})
		for i := range 60 {
			now = now.Add(20 * time.Millisecond)
			req.Start(&seatRequest, 2*time.Second)
			for d := req.Next(); ; d = req.Next() {
				answers = append(answers, Decision{Action: d.Action, Attempt: d.Attempt, Timeout: d.Timeout, RetryAfter: d.RetryAfter})
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
		return answers, r
	}
	want, r := play(nil)
	if compared, differing := r.ShadowCounts(); compared != 0 || differing != nil {
		t.Error("counted without a shadow")
	}
	got, r := play(settings.Parse(settingsOf(settings.RetryUnsafe)))
	if compared, differing := r.ShadowCounts(); !slices.Equal(got, want) || compared < 60 || differing["forward_would_fail"] < 10 {
		t.Errorf("%d answers of %d the same; of %d decisions %v", len(got), len(want), compared, differing)
	}
	if got, r = play(settings.Parse(settingsOf(settings.RetrySafe))); !slices.Equal(got, want) {
		t.Error("equal settings changed an answer")
	} else if _, differing := r.ShadowCounts(); len(differing) > 0 {
		t.Errorf("equal settings differ: %v", differing)
	}
}
