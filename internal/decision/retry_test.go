package decision

import (
	"testing"
)

// An attempt that hangs at a silent server is cancelled. Its request goes to another server only after that attempt has
// ended. Otherwise the request would wait for its timeout, or have two attempts in flight.
func TestHungAttemptIsCancelledThenSentElsewhere(t *testing.T) {
	engine := newTestEngine(4, nil)
	engine.retries.left = 5
	engine.classes[0].latency = decayingMean{sum: 30000, count: 100, at: Second}
	engine.AddRequest(Request{ID: 1, Timeout: 2 * Second, Units: 1, Spread: 1})
	first := takeDecisions(engine, Forward)
	engine.SetTime(Second + 4000)
	if cancels := takeDecisions(engine, CancelAttempt); len(cancels) != 1 || cancels[0].Request != 1 {
		t.Fatalf("cancellations 0.4 s after the attempt of request 1 was sent = %+v, want one for request 1", cancels)
	}
	engine.SetTime(Second + 4010)
	engine.AttemptEnded(AttemptResult{Request: 1, Server: first[0].Server, Outcome: Cancelled, Duration: 4010})
	retried := takeDecisions(engine, Forward)
	if len(retried) != 1 || retried[0].Server == first[0].Server {
		t.Fatalf("after the cancelled attempt ended, the engine forwarded %+v, want one attempt at a server other than %d", retried, first[0].Server)
	}
	if !engine.outliers.ejected(&engine.endpoints.servers[first[0].Server].byClass[0], 0, engine.now) {
		t.Fatalf("server %d is not ejected after its attempt hung, want it ejected", first[0].Server)
	}
}

// A request that must run at most once must not run again by a retry. The maximum number of attempts and the retry budget
// limit retries as well.
func TestRetryRules(t *testing.T) {
	const now = 100 * Second
	mayHaveRun, notRun := attempt{sentAt: now - 3000, mayHaveRun: true}, attempt{sentAt: now - 3000}
	keyed := classConfig{retrySafety: retryKeyed, keyWindow: 4000, keyGroup: groupZone}
	for _, c := range []struct {
		name         string
		class        classConfig
		attempts     []attempt
		budget       float64 // retry budget
		wantAllowed  bool    // another attempt is allowed
		wantHarmless bool    // the client may safely repeat the request
	}{
		{"first attempt", classConfig{retrySafety: retryNever}, nil, 1, true, true},
		{"safe", classConfig{retrySafety: retrySafe}, []attempt{mayHaveRun}, 1, true, true},
		{"unsafe that may have run", classConfig{retrySafety: retryNever}, []attempt{mayHaveRun}, 1, false, false},
		{"unsafe that never ran", classConfig{retrySafety: retryNever}, []attempt{notRun}, 1, true, true},
		{"keyed within its window", keyed, []attempt{mayHaveRun}, 1, true, false},
		{"keyed beyond its window", classConfig{retrySafety: retryKeyed, keyWindow: 3500}, []attempt{mayHaveRun}, 1, false, false},
		{"keyed at all servers", classConfig{retrySafety: retryKeyed, keyGroup: groupAll}, []attempt{mayHaveRun}, 1, false, true},
		{"no budget", classConfig{}, []attempt{mayHaveRun}, 0.9, false, true},
		{"maximum attempts reached", classConfig{}, []attempt{mayHaveRun, mayHaveRun, mayHaveRun}, 9, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig() // connect timeout 500, at most three attempts a request
			cfg.classes[0] = c.class
			budget, r := retryBudget{config: cfg, left: c.budget}, &request{attempts: c.attempts}
			if got := budget.allows(r, now); got != c.wantAllowed {
				t.Errorf("allows() = %v, want %v", got, c.wantAllowed)
			}
			if got := cfg.classes[0].harmlessToRepeat(r); got != c.wantHarmless {
				t.Errorf("harmlessToRepeat() = %v, want %v", got, c.wantHarmless)
			}
		})
	}
}

// Five first attempts earn one retry. The budget is at most two retries for each usable server. Without these limits, retries
// would multiply the load while many attempts fail.
func TestRetryBudget(t *testing.T) {
	budget := retryBudget{}
	for range 5 {
		budget.earn(3)
	}
	if !nearlyEqual(budget.left, 1) {
		t.Errorf("after 5 first attempts, the retry budget is %v, want 1", budget.left)
	}
	for range 100 {
		budget.earn(3)
	}
	if budget.spend(); !nearlyEqual(budget.left, 5) {
		t.Errorf("after one retry from the full budget of 3 servers, the retry budget is %v, want 5", budget.left)
	}
}

// A keyed request that may have run goes only to servers that know its idempotency key. Any other server would run the
// request a second time.
func TestKeyGroups(t *testing.T) {
	servers := []server{{Endpoint: Endpoint{Zone: 1, Cell: 1}}, {Endpoint: Endpoint{Zone: 1, Cell: 2}}, {Endpoint: Endpoint{Zone: 2, Cell: 2}}}
	for _, c := range []struct {
		class        classConfig
		mayHaveRun   bool    // the attempt at server 0 may have run
		wantExcluded [3]bool // by server: the request must not go there
	}{
		{classConfig{retrySafety: retryKeyed, keyGroup: groupAll}, true, [3]bool{}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupZone}, true, [3]bool{false, false, true}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupCell}, true, [3]bool{false, true, true}},
		{classConfig{retrySafety: retryKeyed, keyGroup: groupCell}, false, [3]bool{}},
		{classConfig{retrySafety: retrySafe, keyGroup: groupCell}, true, [3]bool{}},
	} {
		r := &request{attempts: []attempt{{server: 0, mayHaveRun: c.mayHaveRun}}}
		for k := range servers {
			if got := c.class.keyExcludes(r, &servers[k], servers); got != c.wantExcluded[k] {
				t.Errorf("class %+v (retrySafety %d safe, %d keyed; keyGroup %d all, %d zone, %d cell), attempt at server 0 may have run: %v: keyExcludes(server %d) = %v, want %v",
					c.class, retrySafe, retryKeyed, groupAll, groupZone, groupCell, c.mayHaveRun, k, got, c.wantExcluded[k])
			}
		}
	}
}
