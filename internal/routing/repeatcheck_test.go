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

// repeatCases are a class's rule, the outcome of a first attempt at firstServer, and a second attempt after that with the
// violation that it is.
var repeatCases = []struct {
	name    string
	rule    repeatRule
	outcome protocol.Outcome
	to      *Server
	after   time.Duration
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
	{"a class that is not known", repeatRule{}, protocol.ConnectionReset, firstServer, 0, RepeatViolationUnsafe},
	{"keyed, in its window", keyedRule, protocol.ConnectionReset, &Server{zone: "b"}, time.Second - 1, RepeatViolationNone},
	{"keyed, past it", keyedRule, protocol.ConnectionReset, firstServer, time.Second, RepeatViolationWindow},
	{"keyed, past it, proven", keyedRule, protocol.Overloaded, firstServer, time.Hour, RepeatViolationNone},
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

// The check withholds whatever would run a request twice, independent of the engine.
func TestRepeatCheckWithholdsRepeats(t *testing.T) {
	begun, first, keyed := time.Unix(1_800_000_000, 0), firstServer, keyedRule
	for _, c := range repeatCases {
		check := repeatCheck{mayHaveRun: []pastAttempt{{at: begun}}, inFlight: true} // of the request before
		check.reset(c.rule)
		if violation := check.checkAttempt(first, begun); violation != RepeatViolationNone {
			t.Errorf("%s: %q of the first attempt", c.name, violation)
		}
		check.begin(first, begun)
		if violation := check.checkAttempt(first, begun); violation != RepeatViolationInFlight {
			t.Errorf("%s: %q while an attempt is in flight", c.name, violation)
		}
		check.end(c.outcome)
		if violation := check.checkAttempt(c.to, begun.Add(c.after)); violation != c.want {
			t.Errorf("%s: %q, not %q", c.name, violation, c.want)
		}
	}
	check := repeatCheck{}
	check.reset(keyed)
	if check.begin(first, begun); !check.finishBy().IsZero() {
		t.Error("a first attempt has to finish by a time")
	}
	check.end(protocol.TimedOut)
	check.begin(first, begun.Add(time.Second/2))
	check.end(protocol.TimedOut)
	if by := check.finishBy(); !by.Equal(begun.Add(time.Second)) {
		t.Errorf("has to finish by %v", by)
	}
}

// A withheld attempt reaches no caller: the engine receives the result that it was not sent, and decides anew.
func TestWithheldAttemptsAreDecidedAnew(t *testing.T) {
	var violations []RepeatViolation
	r := newRouter(t, Config{
		Settings: settings.Parse(settingsOf(settings.RetrySafe)),
		OnRepeatViolation: func(violation RepeatViolation, _ decision.ClassID, _ int) {
			violations = append(violations, violation)
		},
	})
	r.settings.repeats[0].safety = settings.RetryUnsafe // only the check's rule: the engine takes the class for safe
	r.UpdateEndpoints(listOf(2, protocol.InService), FromDiscovery)
	req := r.NewRequest(&cancelRecorder{})
	for range 10 { // earns a retry
		req.Start(&seatRequest, time.Second)
		if d := req.Next(); d.Action != Forward {
			t.Fatalf("%+v", d)
		}
		req.Report(AttemptResult{Outcome: protocol.Completed})
	}
	req.Start(&seatRequest, time.Second)
	if d := req.Next(); d.Action != Forward {
		t.Fatalf("%+v", d)
	}
	req.Report(AttemptResult{Outcome: protocol.ConnectionReset})
	if d := req.Next(); d.Action == Forward || len(violations) == 0 || slices.ContainsFunc(violations, func(f RepeatViolation) bool {
		return f != RepeatViolationUnsafe && f != RepeatViolationRejection
	}) || d.Action != Fail {
		t.Errorf("%+v, violations %v", d, violations)
	}
}
