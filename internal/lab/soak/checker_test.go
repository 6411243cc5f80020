package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	testNodes = 4
	testNode  = 1 // that requests are sent to
)

// history records requests and attempts in a checker by times since the first request was sent.
type history struct {
	t       *testing.T
	checker *checker
	start   time.Time
	clock   time.Time // of the checker
}

func newHistory(t *testing.T) *history {
	t.Helper()
	h := &history{t: t, checker: newChecker(newLagMeter(), time.Minute, testNodes)}
	h.start = h.checker.startedAt
	h.clock = h.start
	h.checker.now = func() time.Time { return h.clock }
	return h
}

// classNamed returns the request class of a name.
func classNamed(t *testing.T, name string) *requestClass {
	t.Helper()
	for i := range requestClasses {
		if requestClasses[i].name == name {
			return &requestClasses[i]
		}
	}
	t.Fatalf("no request class %q", name)
	return nil
}

// Names of the request classes by their retry safety.
const (
	safe   = "find"
	keyed  = "hold"
	unsafe = "book"
)

// send records a request at a time.
func (h *history) send(class, id string, at time.Duration) *request {
	h.t.Helper()
	c := classNamed(h.t, class)
	r := &request{id: id, node: testNode, nodes: testNodes, class: c, cappedCustomer: -1, sentAt: h.start.Add(at), timeout: c.timeout}
	h.checker.recordRequest(r)
	return r
}

// attempt records an attempt, with the time that its request has left as timeout.
func (h *history) attempt(r *request, from time.Duration) *attempt {
	begunAt := h.start.Add(from)
	a := &attempt{server: 2, firstByte: begunAt, begunAt: begunAt, timeout: r.deadline().Sub(begunAt)}
	h.checker.recordAttempt(r.id, a)
	return a
}

// end records the end of an attempt.
func (h *history) end(a *attempt, at time.Duration) {
	h.clock = h.start.Add(at)
	h.checker.recordAttemptEnd(a)
}

// attempted records an attempt from its begin to its end.
func (h *history) attempted(r *request, from, to time.Duration) *attempt {
	a := h.attempt(r, from)
	h.end(a, to)
	return a
}

// rejected records an attempt that its server rejected.
func (h *history) rejected(r *request, from, to time.Duration) {
	h.attempted(r, from, to).notExecuted = true
}

// respond records a final response with the body that belongs to the status.
func (h *history) respond(r *request, at time.Duration, status int) {
	body := "rejected"
	if status == statusCompleted {
		body = responseBody(r.id)
	}
	h.respondWith(r, at, status, body)
}

func (h *history) respondWith(r *request, at time.Duration, status int, body string) {
	h.clock = h.start.Add(at)
	h.checker.recordResponse(r, status, body)
}

// clientClose is when clients close their connections.
const clientClose = 10 * ms

// closeClient records that the client closed its connection at clientClose.
func (h *history) closeClient(r *request) {
	h.checker.update(func(*Counts) { r.clientClosedAt = h.start.Add(clientClose) })
}

// rules checks the complete history, and returns the rules that it violates, each once, sorted.
func (h *history) rules() []Rule {
	h.checker.checkUntil(h.start.Add(time.Hour))
	h.checker.checkCeilings()
	return violatedRules(h.checker)
}

func violatedRules(c *checker) []Rule {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rules []Rule
	for _, v := range c.violations {
		rules = append(rules, v.Rule)
	}
	slices.Sort(rules)
	return slices.Compact(rules)
}

const ms = time.Millisecond

// The histories of requests that keep each rule as narrowly as possible, and those that just violate it.
var requestHistories = []struct {
	name   string
	record func(h *history)
	want   []Rule
}{
	{"one attempt, one response", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"no response", func(h *history) {
		h.attempted(h.send(safe, "a", 0), 5*ms, 20*ms)
	}, []Rule{ruleAnswer}},
	{"no response, but the client closed", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 20*ms)
		h.closeClient(r)
	}, nil},
	{"no response, but the node was killed", func(h *history) {
		h.attempted(h.send(safe, "a", 0), 5*ms, 20*ms)
		h.checker.waiveOpenRequests(testNode)
	}, nil},
	{"no response, and another node was killed", func(h *history) {
		h.attempted(h.send(safe, "a", 0), 5*ms, 20*ms)
		h.checker.waiveOpenRequests(testNode + 1)
	}, []Rule{ruleAnswer}},
	{"response at the end of the slack", func(h *history) {
		r := h.send(safe, "a", 0)
		h.respond(r, r.timeout+answerSlack+harnessSlack, statusCompleted)
	}, nil},
	{"response after the slack", func(h *history) {
		r := h.send(safe, "a", 0)
		h.respond(r, r.timeout+answerSlack+harnessSlack+ms, statusCompleted)
	}, []Rule{ruleAnswer}},
	{"two responses", func(h *history) {
		r := h.send(safe, "a", 0)
		h.respond(r, 20*ms, statusCompleted)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleAnswer}},
	{"sent again, read only once", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.respond(r, 20*ms, http.StatusBadGateway)
	}, nil},
	{"sent again, though the node had read it", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.respond(r, 20*ms, http.StatusConflict)
	}, []Rule{ruleUnreadClose}},
	{"attempt within the slack after the client's close", func(h *history) {
		r := h.send(safe, "a", 0)
		h.closeClient(r)
		h.attempted(r, clientClose+clientCloseSlack+harnessSlack, 200*ms)
	}, nil},
	{"attempt after the client's close and the slack", func(h *history) {
		r := h.send(safe, "a", 0)
		h.closeClient(r)
		h.attempted(r, clientClose+clientCloseSlack+harnessSlack+ms, 200*ms)
	}, []Rule{ruleClientClosed}},
	{"attempt after the client's close that was read late", func(h *history) { // the time is that of the connection's close
		r := h.send(safe, "a", 0)
		h.closeClient(r)
		h.attempted(r, 400*ms, 500*ms).readLate = true
	}, nil},
	{"timeout within the slack past the deadline", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 20*ms).timeout += deadlineSlack + harnessSlack
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"timeout past the deadline and the slack", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 20*ms).timeout += deadlineSlack + harnessSlack + ms
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleDeadline}},
	{"unsafe request after a rejected attempt", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.rejected(r, 5*ms, 10*ms)
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"unsafe request after an attempt that may have been executed", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request, executed first and rejected then", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.rejected(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, http.StatusBadGateway)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request, repeated after a rejected attempt and an executed one", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.rejected(r, 5*ms, 10*ms)
		h.attempted(r, 12*ms, 20*ms)
		h.attempted(r, 22*ms, 30*ms)
		h.respond(r, 31*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request with two attempts that were read late", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms).readLate = true
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"safe request with two attempts that were read late", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 400*ms).readLate = true
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"safe request, repeated", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"keyed request, repeated within its window", func(h *history) {
		r := h.send(keyed, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.attempted(r, 5*ms+r.class.window+graceSlack+harnessSlack, 700*ms)
		h.respond(r, 701*ms, statusCompleted)
	}, nil},
	{"keyed request, repeated after its window", func(h *history) {
		r := h.send(keyed, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.attempted(r, 5*ms+r.class.window+graceSlack+harnessSlack+ms, 700*ms)
		h.respond(r, 701*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"keyed request, whose window is counted from each earlier attempt", func(h *history) {
		r := h.send(keyed, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.attempted(r, 400*ms, 410*ms)
		h.attempted(r, 800*ms, 810*ms)
		h.respond(r, 811*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"retry within the slack before the end of the first attempt", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 12*ms+concurrencySlack+harnessSlack)
		h.attempted(r, 12*ms, 200*ms)
		h.respond(r, 201*ms, statusCompleted)
	}, nil},
	{"retry before the end of the first attempt", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 12*ms+concurrencySlack+harnessSlack+ms)
		h.attempted(r, 12*ms, 200*ms)
		h.respond(r, 201*ms, statusCompleted)
	}, []Rule{ruleConcurrentAttempts}},
	{"retry while the first attempt never ends", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempt(r, 5*ms)
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleConcurrentAttempts}},
	{"retry while a rejected attempt never ends", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempt(r, 5*ms).notExecuted = true
		h.attempted(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"unsafe request rejected after a rejected attempt", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.rejected(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, nil},
	{"unsafe request rejected with 503 after an attempt", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, []Rule{ruleRejection}},
	{"unsafe request rejected with 429 after an attempt", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusTooManyRequests)
	}, []Rule{ruleRejection}},
	{"unsafe request failed after an attempt", func(h *history) {
		r := h.send(unsafe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusBadGateway)
	}, nil},
	{"safe request rejected after an attempt", func(h *history) {
		r := h.send(safe, "a", 0)
		h.attempted(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, nil},
	{"another request's response", func(h *history) {
		r := h.send(safe, "a", 0)
		h.respondWith(r, 11*ms, statusCompleted, responseBody("b"))
	}, []Rule{ruleForeignResponse}},
	{"a response that was cut short", func(h *history) {
		r := h.send(safe, "a", 0)
		h.respondWith(r, 11*ms, statusCompleted, responseBody("a")[:3])
	}, []Rule{ruleForeignResponse}},
	{"an attempt of a request that no client sent", func(h *history) {
		h.checker.recordAttempt("b", &attempt{server: 2})
	}, []Rule{ruleUnknownRequest}},
}

func TestCheckerOfRequests(t *testing.T) {
	for _, test := range requestHistories {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			test.record(h)
			if got := h.rules(); !slices.Equal(got, test.want) {
				t.Errorf("reports %v, want %v: %+v", got, test.want, h.checker.violations)
			}
		})
	}
}

// A violation names the request, its node, and the time since the run's start.
func TestViolationNamesRequestAndNode(t *testing.T) {
	h := newHistory(t)
	r := h.send(safe, "a", 0)
	h.respond(r, 5*time.Second, statusCompleted)
	if got := h.checker.violations; len(got) != 1 || got[0].Request != "a" || got[0].Node != testNode || got[0].At != 5*time.Second || got[0].Detail == "" {
		t.Errorf("%+v", got)
	}
}

// Requests are checked once their deadline and checkDelay are over, and then forgotten.
func TestCheckWaitsForTheEndOfRequests(t *testing.T) {
	h := newHistory(t)
	r := h.send(safe, "a", 0)
	h.checker.checkUntil(r.deadline())
	if got := violatedRules(h.checker); got != nil || h.checker.nodeOf("a") != testNode {
		t.Errorf("checked at its deadline: %v", got)
	}
	h.checker.checkUntil(r.deadline().Add(ms))
	if got := violatedRules(h.checker); !slices.Equal(got, []Rule{ruleAnswer}) || h.checker.nodeOf("a") != -1 {
		t.Errorf("after its deadline: %v", got)
	}
}

// A delay of this process extends the slack by as much, around that moment only, and is counted.
func TestSlackIncludesTheHarnessDelay(t *testing.T) {
	const lag = 200 * ms
	for _, test := range []struct {
		name string
		late time.Duration
		at   time.Duration // of the delay, since the deadline
		want []Rule
	}{
		{"within the delay", answerSlack + harnessSlack + lag, answerSlack, nil},
		{"past the delay", answerSlack + harnessSlack + lag + ms, answerSlack, []Rule{ruleAnswer}},
		{"delay at another time", answerSlack + harnessSlack + lag, answerSlack + 2*time.Second, []Rule{ruleAnswer}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			r := h.send(safe, "a", 0)
			h.checker.lag.note(r.deadline().Add(test.at), lag)
			h.respond(r, r.timeout+test.late, statusCompleted)
			if got := h.rules(); !slices.Equal(got, test.want) || (h.checker.counts.SlackExtended > 0) != (test.at < time.Second) {
				t.Errorf("reports %v, want %v; extended %d times", got, test.want, h.checker.counts.SlackExtended)
			}
		})
	}
}

// Only first attempts take tokens of a customer's hard ceiling, which refill at its rate.
func TestCheckerOfHardCeilings(t *testing.T) {
	const depth, rate = ceilingDepth * testNodes, ceilingRate * testNodes
	spend := func(h *history, customer, requests int, at time.Duration) {
		for range requests {
			r := h.send(safe, "a", at)
			r.cappedCustomer = customer
			h.attempted(r, at, at+10*ms)
			h.attempted(r, at+20*ms, at+30*ms) // a retry
			h.respond(r, at+31*ms, statusCompleted)
		}
	}
	for _, test := range []struct {
		name   string
		record func(h *history)
		want   []Rule
	}{
		{"all tokens at once", func(h *history) { spend(h, 0, depth, 0) }, nil},
		{"one token too many", func(h *history) { spend(h, 0, depth+1, 0) }, []Rule{ruleCeiling}},
		{"two customers", func(h *history) { spend(h, 0, depth, 0); spend(h, 1, depth, 0) }, nil},
		{"refilled tokens", func(h *history) { spend(h, 0, depth, 0); spend(h, 0, 3*rate, 3*time.Second) }, nil},
		{"more than the refilled tokens", func(h *history) { spend(h, 0, depth, 0); spend(h, 0, 3*rate+1, 3*time.Second) }, []Rule{ruleCeiling}},
		{"no more than the depth is refilled", func(h *history) { spend(h, 0, 1, 0); spend(h, 0, depth+1, 30*time.Second) }, []Rule{ruleCeiling}},
		{"a moment out of order", func(h *history) { spend(h, 0, depth-1, 10*ms); spend(h, 0, 1, 5*ms) }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			test.record(h)
			if got := h.rules(); !slices.Equal(got, test.want) {
				t.Errorf("reports %v, want %v: %+v", got, test.want, h.checker.violations)
			}
		})
	}
}
