package decision

import (
	"testing"
)

// A request that hangs at a silent server is cancelled. It is sent to another server only after that attempt has ended.
func TestHungAttemptIsCancelledThenSentElsewhere(t *testing.T) {
	n := plain(4, nil)
	n.retries.left = 5
	n.classes[0].latency = decayingMean{sum: 30000, count: 100, at: Second}
	n.AddRequest(Request{ID: 1, Timeout: 2 * Second, Units: 1, Spread: 1})
	first := pull(n, Forward)
	n.SetTime(Second + 4000)
	if d := pull(n, CancelAttempt); len(d) != 1 || d[0].Request != 1 {
		t.Fatalf("not called back: %v", d)
	}
	n.SetTime(Second + 4010)
	n.AttemptEnded(AttemptResult{Request: 1, Server: first[0].Server, Outcome: Cancelled, Duration: 4010})
	again := pull(n, Forward)
	if len(again) != 1 || again[0].Server == first[0].Server {
		t.Fatalf("sent again to %v after %v", again, first)
	}
	if !n.outliers.ejected(&n.endpoints.servers[first[0].Server].byClass[0], 0, n.now) {
		t.Fatal("the silent server is not ejected")
	}
}

func TestRetryRules(t *testing.T) {
	const now = 100 * Second
	ran, notRun := attempt{sent: now - 3000, mayHaveRun: true}, attempt{sent: now - 3000}
	keyed := classConfig{retrySafety: retryKeyed, keyWindow: 4000, keyGroup: groupZone}
	for _, c := range []struct {
		name     string
		class    classConfig
		attempts []attempt
		left     float64
		allowed  bool
		harmless bool
	}{
		{"first", classConfig{retrySafety: retryNever}, nil, 1, true, true},
		{"safe", classConfig{retrySafety: retrySafe}, []attempt{ran}, 1, true, true},
		{"unsafe that may have run", classConfig{retrySafety: retryNever}, []attempt{ran}, 1, false, false},
		{"unsafe that never ran", classConfig{retrySafety: retryNever}, []attempt{notRun}, 1, true, true},
		{"keyed within its window", keyed, []attempt{ran}, 1, true, false},
		{"keyed past its window", classConfig{retrySafety: retryKeyed, keyWindow: 3500}, []attempt{ran}, 1, false, false},
		{"keyed everywhere", classConfig{retrySafety: retryKeyed, keyGroup: groupAll}, []attempt{ran}, 1, false, true},
		{"no budget", classConfig{}, []attempt{ran}, 0.9, false, true},
		{"too many", classConfig{}, []attempt{ran, ran, ran}, 9, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig() // a connection may take 500, three attempts a request
			cfg.classes[0] = c.class
			b, r := retryBudget{config: cfg, left: c.left}, &request{attempts: c.attempts}
			if got := b.allows(r, now); got != c.allowed {
				t.Errorf("allowed %v", got)
			}
			if got := cfg.classes[0].harmlessToRepeat(r); got != c.harmless {
				t.Errorf("harmless %v", got)
			}
		})
	}
}

// Five first attempts earn one retry, up to two for each server.
func TestRetryBudget(t *testing.T) {
	b := retryBudget{}
	for range 5 {
		b.earn(3)
	}
	if !near(b.left, 1) {
		t.Errorf("%v earned", b.left)
	}
	for range 100 {
		b.earn(3)
	}
	if b.spend(); !near(b.left, 5) {
		t.Errorf("%v left of 6", b.left)
	}
}

func TestKeyGroups(t *testing.T) {
	servers := []server{{Endpoint: Endpoint{Zone: 1, Cell: 1}}, {Endpoint: Endpoint{Zone: 1, Cell: 2}}, {Endpoint: Endpoint{Zone: 2, Cell: 2}}}
	for _, c := range []struct {
		class classConfig
		ran   bool
		bound [3]bool
	}{
		{classConfig{retrySafety: retryKeyed, keyGroup: groupAll}, true, [3]bool{}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupZone}, true, [3]bool{false, false, true}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupCell}, true, [3]bool{false, true, true}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupCell}, false, [3]bool{}},
		{classConfig{retrySafety: retrySafe, keyGroup: groupCell}, true, [3]bool{}},
	} {
		r := &request{attempts: []attempt{{server: 0, mayHaveRun: c.ran}}}
		for k := range servers {
			if got := c.class.keyExcludes(r, &servers[k], servers); got != c.bound[k] {
				t.Errorf("%+v: server %d bound %v", c.class, k, got)
			}
		}
	}
}
