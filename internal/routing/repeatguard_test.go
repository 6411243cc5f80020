package routing

import (
	"slices"
	"testing"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

var (
	firstServer = &Server{zone: "a", cell: 1}
	keyedRule   = repeatRule{settings.RetryKeyed, settings.GroupAll, time.Second}
)

// repeatCases are a class's rule, how its first attempt at firstServer ended, and what a second one so much later meets.
var repeatCases = []struct {
	name    string
	rule    repeatRule
	outcome protocol.Outcome
	to      *Server
	after   time.Duration
	want    RepeatFault
}{
	{"safe", repeatRule{safety: settings.RetrySafe}, protocol.ConnectionReset, firstServer, time.Hour, RepeatFaultNone},
	{"unsafe, reset", repeatRule{safety: settings.RetryUnsafe}, protocol.ConnectionReset, firstServer, 0, RepeatFaultUnsafe},
	{"unsafe, timed out", repeatRule{safety: settings.RetryUnsafe}, protocol.TimedOut, firstServer, 0, RepeatFaultUnsafe},
	{"unsafe, cancelled", repeatRule{safety: settings.RetryUnsafe}, protocol.Cancelled, firstServer, 0, RepeatFaultUnsafe},
	{"unsafe, malformed", repeatRule{safety: settings.RetryUnsafe}, protocol.MalformedResponse, firstServer, 0, RepeatFaultUnsafe},
	{"unsafe, rejected", repeatRule{safety: settings.RetryUnsafe}, protocol.Overloaded, firstServer, time.Hour, RepeatFaultNone},
	{"unsafe, not connected", repeatRule{safety: settings.RetryUnsafe}, protocol.ConnectFailed, firstServer, 0, RepeatFaultNone},
	{"unsafe, not sent", repeatRule{safety: settings.RetryUnsafe}, protocol.NotSent, firstServer, 0, RepeatFaultNone},
	{"a class that is not known", repeatRule{}, protocol.ConnectionReset, firstServer, 0, RepeatFaultUnsafe},
	{"keyed, in its window", keyedRule, protocol.ConnectionReset, &Server{zone: "b"}, time.Second - 1, RepeatFaultNone},
	{"keyed, past it", keyedRule, protocol.ConnectionReset, firstServer, time.Second, RepeatFaultWindow},
	{"keyed, past it, proven", keyedRule, protocol.Overloaded, firstServer, time.Hour, RepeatFaultNone},
	{
		"keyed, another zone",
		repeatRule{settings.RetryKeyed, settings.GroupZone, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "b", cell: 1}, 0, RepeatFaultGroup,
	},
	{
		"keyed, another cell",
		repeatRule{settings.RetryKeyed, settings.GroupCell, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "a", cell: 2}, 0, RepeatFaultGroup,
	},
	{
		"keyed, the same cell",
		repeatRule{settings.RetryKeyed, settings.GroupCell, time.Second},
		protocol.ConnectionReset,
		&Server{zone: "b", cell: 1}, 0, RepeatFaultNone,
	},
}

// The guard holds back what would run a request twice, whatever the engine decides.
func TestRepeatGuard(t *testing.T) {
	begun, first, keyed := time.Unix(1_800_000_000, 0), firstServer, keyedRule
	for _, c := range repeatCases {
		g := repeatGuard{ran: []ranAttempt{{at: begun}}, out: true} // of the request before
		g.reset(c.rule)
		if fault := g.check(first, begun); fault != RepeatFaultNone {
			t.Errorf("%s: %q of the first attempt", c.name, fault)
		}
		g.begin(first, begun)
		if fault := g.check(first, begun); fault != RepeatFaultTogether {
			t.Errorf("%s: %q while one is out", c.name, fault)
		}
		g.end(c.outcome)
		if fault := g.check(c.to, begun.Add(c.after)); fault != c.want {
			t.Errorf("%s: %q, not %q", c.name, fault, c.want)
		}
	}
	g := repeatGuard{}
	g.reset(keyed)
	if g.begin(first, begun); !g.finishBy().IsZero() {
		t.Error("a first attempt has a bound")
	}
	g.end(protocol.TimedOut)
	g.begin(first, begun.Add(time.Second/2))
	g.end(protocol.TimedOut)
	if by := g.finishBy(); !by.Equal(begun.Add(time.Second)) {
		t.Errorf("bound %v", by)
	}
}

// An attempt that the guard holds back reaches nobody: the engine hears that it was not sent, and decides anew.
func TestWithheldAttemptsAreDecidedAnew(t *testing.T) {
	var faults []RepeatFault
	r := newRouter(t, Config{
		Settings:      settings.Parse(settingsOf(settings.RetrySafe)),
		OnRepeatFault: func(fault RepeatFault, _, _ int) { faults = append(faults, fault) },
	})
	r.settings.repeats[0].safety = settings.RetryUnsafe // the guard's rule alone: the engine takes the class for safe
	r.UpdateEndpoints(listOf(2, protocol.InService), false)
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
	if d := req.Next(); d.Action == Forward || len(faults) == 0 || slices.ContainsFunc(faults, func(f RepeatFault) bool {
		return f != RepeatFaultUnsafe && f != RepeatFaultRefusal
	}) || d.Action != Fail {
		t.Errorf("%+v, faults %v", d, faults)
	}
}
