package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/decision"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

var (
	firstServer = &Server{zone: "a", cell: 1}
	keyedRule   = repeatRule{settings.RetryKeyed, settings.GroupAll, time.Second}
)

// repeatCases are the cases of TestRepeatCheckWithholdsRepeats. Each has a class's rule, the outcome of a first attempt at
// firstServer, a second attempt, and the violation by the second attempt.
var repeatCases = []struct {
	name    string
	rule    repeatRule
	outcome protocol.Outcome
	server  *Server       // server of the second attempt
	after   time.Duration // time between the decisions on the two attempts
	want    RepeatViolation
}{
	{"safe", repeatRule{safety: settings.RetrySafe}, protocol.ConnectionReset, firstServer, time.Hour, RepeatViolationNone},
	{"unsafe, reset", repeatRule{safety: settings.RetryUnsafe}, protocol.ConnectionReset, firstServer, 0, RepeatViolationUnsafe},
	{"unsafe, timed out", repeatRule{safety: settings.RetryUnsafe}, protocol.TimedOut, firstServer, 0, RepeatViolationUnsafe},
	{"unsafe, cancelled", repeatRule{safety: settings.RetryUnsafe}, protocol.Cancelled, firstServer, 0, RepeatViolationUnsafe},
	{"unsafe, malformed", repeatRule{safety: settings.RetryUnsafe}, protocol.MalformedResponse, firstServer, 0, RepeatViolationUnsafe},
	{"unsafe, rejected", repeatRule{safety: settings.RetryUnsafe}, protocol.Overloaded, firstServer, time.Hour, RepeatViolationNone},
	{"unsafe, not connected", repeatRule{safety: settings.RetryUnsafe}, protocol.ConnectFailed, firstServer, 0, RepeatViolationNone},
	{"unsafe, not sent", repeatRule{safety: settings.RetryUnsafe}, protocol.NotSent, firstServer, 0, RepeatViolationNone},
	{"class without a rule", repeatRule{}, protocol.ConnectionReset, firstServer, 0, RepeatViolationUnsafe},
	{"keyed, within its window", keyedRule, protocol.ConnectionReset, &Server{zone: "b"}, time.Second - 1, RepeatViolationNone},
	{"keyed, after its window", keyedRule, protocol.ConnectionReset, firstServer, time.Second, RepeatViolationWindow},
	{"keyed, after its window, rejected", keyedRule, protocol.Overloaded, firstServer, time.Hour, RepeatViolationNone},
	{
		"keyed, another zone",
		repeatRule{settings.RetryKeyed, settings.GroupZone, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "b", cell: 1}, 0, RepeatViolationGroup,
	},
	{
		"keyed, another cell",
		repeatRule{settings.RetryKeyed, settings.GroupCell, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "a", cell: 2}, 0, RepeatViolationGroup,
	},
	{
		"keyed, the same cell",
		repeatRule{settings.RetryKeyed, settings.GroupCell, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "b", cell: 1}, 0, RepeatViolationNone,
	},
}

// TestRepeatCheckWithholdsRepeats guards against a request that runs twice: the check forbids such attempts without help of
// the engine.
func TestRepeatCheckWithholdsRepeats(t *testing.T) {
	start, first, keyed := time.Unix(1_800_000_000, 0), firstServer, keyedRule
	for _, c := range repeatCases {
		check := repeatCheck{mayHaveRun: []attemptRecord{{decidedAt: start}}, inFlight: true} // state of the previous request
		check.reset(c.rule)
		if violation := check.checkAttempt(first, start); violation != RepeatViolationNone {
			t.Errorf("%s: violation of the first attempt = %q, want none", c.name, violation)
		}
		check.begin(first, start)
		if violation := check.checkAttempt(first, start); violation != RepeatViolationInFlight {
			t.Errorf("%s: violation with an attempt in flight = %q, want %q", c.name, violation, RepeatViolationInFlight)
		}
		check.end(c.outcome)
		if violation := check.checkAttempt(c.server, start.Add(c.after)); violation != c.want {
			t.Errorf("%s: violation of the second attempt = %q, want %q", c.name, violation, c.want)
		}
	}
	check := repeatCheck{}
	check.reset(keyed)
	if check.begin(first, start); !check.finishBy().IsZero() {
		t.Errorf("finishBy() of a first attempt = %v, want the zero Time", check.finishBy())
	}
	check.end(protocol.TimedOut)
	check.begin(first, start.Add(time.Second/2))
	check.end(protocol.TimedOut)
	if by := check.finishBy(); !by.Equal(start.Add(time.Second)) {
		t.Errorf("finishBy() after two attempts = %v, want %v", by, start.Add(time.Second))
	}
}

// TestWithheldAttemptsAreDecidedAnew guards against a withheld attempt that reaches a caller. The engine instead receives the
// result NotSent and decides again.
func TestWithheldAttemptsAreDecidedAnew(t *testing.T) {
	var violations []RepeatViolation
	r := newRouter(t, Config{
		Settings: settings.Parse(oneClassSettings(settings.RetrySafe)),
		OnRepeatViolation: func(violation RepeatViolation, _ decision.ClassID, _ int) {
			violations = append(violations, violation)
		},
	})
	r.settings.repeats[0].safety = settings.RetryUnsafe // Only the check's rule changes: to the engine, the class stays safe.
	r.UpdateEndpoints(serverList(2, protocol.InService), FromDiscovery)
	req := r.NewRequest(&cancelRecorder{})
	for range 10 { // Completed requests earn the budget for a retry.
		req.Start(&seatRequest, time.Second)
		if d := req.Next(); d.Action != Forward {
			t.Fatalf("Next() of a new request = %+v, want Action %d (Forward)", d, Forward)
		}
		req.Report(AttemptResult{Outcome: protocol.Completed})
	}
	req.Start(&seatRequest, time.Second)
	if d := req.Next(); d.Action != Forward {
		t.Fatalf("Next() of the last request = %+v, want Action %d (Forward)", d, Forward)
	}
	req.Report(AttemptResult{Outcome: protocol.ConnectionReset})
	if d := req.Next(); d.Action == Forward || len(violations) == 0 || slices.ContainsFunc(violations, func(f RepeatViolation) bool {
		return f != RepeatViolationUnsafe && f != RepeatViolationRejection
	}) || d.Action != Fail {
		t.Errorf("Next() after a connection reset = %+v with violations %q, want Action %d (Fail) with one or more violations, only %q or %q",
			d, violations, Fail, RepeatViolationUnsafe, RepeatViolationRejection)
	}
}
