package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	testNodes = 4
	testNode  = 1 // number of the node to which requests are sent
)

// history records requests and attempts in a checker. Its times are durations since start.
type history struct {
	t       *testing.T
	checker *checker
	start   time.Time
	clock   time.Time // current time of the checker
}

func newHistory(t *testing.T) *history {
	t.Helper()
	h := &history{t: t, checker: newChecker(newLagMeter(), time.Minute, testNodes)}
	h.start = h.checker.startedAt
	h.clock = h.start
	h.checker.now = func() time.Time { return h.clock }
	return h
}

// classNamed returns the request class with a name.
func classNamed(t *testing.T, name string) *requestClass {
	t.Helper()
	for i := range requestClasses {
		if requestClasses[i].name == name {
			return &requestClasses[i]
		}
	}
	t.Fatalf("request class %q is not in requestClasses", name)
	return nil
}

// Names of the request classes by their retry safety.
const (
	safeClass   = "find"
	keyedClass  = "hold"
	unsafeClass = "book"
)

// send records a request of a class that its client sent at a time.
func (h *history) send(class, id string, at time.Duration) *request {
	h.t.Helper()
	c := classNamed(h.t, class)
	r := &request{
		id: id, node: testNode, nodeCount: testNodes, class: c, cappedCustomer: -1, sentAt: h.start.Add(at), timeout: c.timeout,
	}
	h.checker.recordRequest(r)
	return r
}

// beginAttempt records an attempt whose timeout is the time until the request's deadline.
func (h *history) beginAttempt(r *request, from time.Duration) *attempt {
	receivedAt := h.start.Add(from)
	a := &attempt{server: 2, firstByteAt: receivedAt, receivedAt: receivedAt, timeout: r.deadline().Sub(receivedAt)}
	h.checker.recordAttempt(r.id, a)
	return a
}

// endAttempt records the end of an attempt.
func (h *history) endAttempt(a *attempt, at time.Duration) {
	h.clock = h.start.Add(at)
	h.checker.recordAttemptEnd(a)
}

// addAttempt records an attempt with its start and its end.
func (h *history) addAttempt(r *request, from, to time.Duration) *attempt {
	a := h.beginAttempt(r, from)
	h.endAttempt(a, to)
	return a
}

// addRejectedAttempt records an attempt that its server rejected.
func (h *history) addRejectedAttempt(r *request, from, to time.Duration) {
	h.addAttempt(r, from, to).notExecuted = true
}

// respond records a final response with the status's usual body.
func (h *history) respond(r *request, at time.Duration, status int) {
	body := "rejected"
	if status == statusCompleted {
		body = responseBody(r.id)
	}
	h.respondWith(r, at, status, body)
}

// respondWith records a final response with a body.
func (h *history) respondWith(r *request, at time.Duration, status int, body string) {
	h.clock = h.start.Add(at)
	h.checker.recordResponse(r, status, body)
}

// clientCloseTime is the time at which closeClient closes the connection, since the start of the history.
const clientCloseTime = 10 * ms

// closeClient records that the client closed its connection at clientCloseTime.
func (h *history) closeClient(r *request) {
	h.checker.updateCounts(func(*Counts) { r.clientClosedAt = h.start.Add(clientCloseTime) })
}

// check checks the complete history. It returns the sorted rules that the history violates, without duplicates.
func (h *history) check() []Rule {
	h.checker.checkUntil(h.start.Add(time.Hour))
	h.checker.checkCeilings()
	return violatedRules(h.checker)
}

// violatedRules returns the sorted rules of the violations so far, without duplicates.
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

// requestHistories holds histories that comply with the rules of requests, and histories that violate one of them. Where a rule
// has a bound in time, one history reaches the bound and another one exceeds it by 1 ms.
var requestHistories = []struct {
	name   string
	record func(h *history)
	want   []Rule
}{
	{"one attempt, one response", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"no response", func(h *history) {
		h.addAttempt(h.send(safeClass, "a", 0), 5*ms, 20*ms)
	}, []Rule{ruleResponse}},
	{"no response, but the client closed the connection", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 20*ms)
		h.closeClient(r)
	}, nil},
	{"no response, but the node was killed", func(h *history) {
		h.addAttempt(h.send(safeClass, "a", 0), 5*ms, 20*ms)
		h.checker.waiveOpenRequests(testNode)
	}, nil},
	{"no response, and another node was killed", func(h *history) {
		h.addAttempt(h.send(safeClass, "a", 0), 5*ms, 20*ms)
		h.checker.waiveOpenRequests(testNode + 1)
	}, []Rule{ruleResponse}},
	{"response at the end of the tolerance", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.respond(r, r.timeout+lateResponseTolerance+harnessTolerance, statusCompleted)
	}, nil},
	{"response after the tolerance", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.respond(r, r.timeout+lateResponseTolerance+harnessTolerance+ms, statusCompleted)
	}, []Rule{ruleResponse}},
	{"two responses", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.respond(r, 20*ms, statusCompleted)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleResponse}},
	{"sent again, but the node had not read the request", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.respond(r, 20*ms, http.StatusBadGateway)
	}, nil},
	{"sent again, but the node had read the request", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.respond(r, 20*ms, http.StatusConflict)
	}, []Rule{ruleCloseAfterRead}},
	{"attempt within the tolerance after the client's close", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.closeClient(r)
		h.addAttempt(r, clientCloseTime+clientCloseTolerance+harnessTolerance, 200*ms)
	}, nil},
	{"attempt after the client's close and the tolerance", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.closeClient(r)
		h.addAttempt(r, clientCloseTime+clientCloseTolerance+harnessTolerance+ms, 200*ms)
	}, []Rule{ruleClientClosed}},
	{"attempt after the client's close that was read late", func(h *history) { // its time is that of the connection's close
		r := h.send(safeClass, "a", 0)
		h.closeClient(r)
		h.addAttempt(r, 400*ms, 500*ms).readLate = true
	}, nil},
	{"timeout within the tolerance past the deadline", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 20*ms).timeout += deadlineTolerance + harnessTolerance
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"timeout past the deadline and the tolerance", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 20*ms).timeout += deadlineTolerance + harnessTolerance + ms
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleDeadline}},
	{"unsafe request, repeated after a rejected attempt", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addRejectedAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"unsafe request, repeated after an attempt that may have been executed", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request, executed at first and then rejected", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addRejectedAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, http.StatusBadGateway)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request, repeated after a rejected attempt and an executed one", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addRejectedAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 12*ms, 20*ms)
		h.addAttempt(r, 22*ms, 30*ms)
		h.respond(r, 31*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"unsafe request with two attempts that were read late", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms).readLate = true
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"safe request with two attempts that were read late", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 400*ms).readLate = true
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"safe request, repeated", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"keyed request, repeated within its window", func(h *history) {
		r := h.send(keyedClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 5*ms+r.class.idempotencyWindow+graceTolerance+harnessTolerance, 700*ms)
		h.respond(r, 701*ms, statusCompleted)
	}, nil},
	{"keyed request, repeated after its window", func(h *history) {
		r := h.send(keyedClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 5*ms+r.class.idempotencyWindow+graceTolerance+harnessTolerance+ms, 700*ms)
		h.respond(r, 701*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"keyed request, whose window is counted from each earlier attempt", func(h *history) {
		r := h.send(keyedClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.addAttempt(r, 400*ms, 410*ms)
		h.addAttempt(r, 800*ms, 810*ms)
		h.respond(r, 811*ms, statusCompleted)
	}, []Rule{ruleRepeatedEffect}},
	{"retry within the tolerance before the end of the first attempt", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 12*ms+concurrencyTolerance+harnessTolerance)
		h.addAttempt(r, 12*ms, 200*ms)
		h.respond(r, 201*ms, statusCompleted)
	}, nil},
	{"retry before the end of the first attempt", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 12*ms+concurrencyTolerance+harnessTolerance+ms)
		h.addAttempt(r, 12*ms, 200*ms)
		h.respond(r, 201*ms, statusCompleted)
	}, []Rule{ruleConcurrentAttempts}},
	{"retry while the first attempt never ends", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.beginAttempt(r, 5*ms)
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, []Rule{ruleConcurrentAttempts}},
	{"retry while a rejected attempt never ends", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.beginAttempt(r, 5*ms).notExecuted = true
		h.addAttempt(r, 12*ms, 20*ms)
		h.respond(r, 21*ms, statusCompleted)
	}, nil},
	{"unsafe request rejected after a rejected attempt", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addRejectedAttempt(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, nil},
	{"unsafe request rejected with 503 after an attempt", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, []Rule{ruleRejection}},
	{"unsafe request rejected with 429 after an attempt", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusTooManyRequests)
	}, []Rule{ruleRejection}},
	{"unsafe request failed after an attempt", func(h *history) {
		r := h.send(unsafeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusBadGateway)
	}, nil},
	{"safe request rejected after an attempt", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.addAttempt(r, 5*ms, 10*ms)
		h.respond(r, 11*ms, http.StatusServiceUnavailable)
	}, nil},
	{"another request's response", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.respondWith(r, 11*ms, statusCompleted, responseBody("b"))
	}, []Rule{ruleForeignResponse}},
	{"a response that was cut short", func(h *history) {
		r := h.send(safeClass, "a", 0)
		h.respondWith(r, 11*ms, statusCompleted, responseBody("a")[:3])
	}, []Rule{ruleForeignResponse}},
	{"an attempt of a request that no client sent", func(h *history) {
		h.checker.recordAttempt("b", &attempt{server: 2})
	}, []Rule{ruleUnknownRequest}},
}

// The checker misses a violation, or reports one that does not exist, if it applies a rule with a wrong bound or to the wrong
// requests. Where a rule has a bound in time, histories lie just inside and just outside it.
func TestCheckerOfRequests(t *testing.T) {
	for _, test := range requestHistories {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			test.record(h)
			if got := h.check(); !slices.Equal(got, test.want) {
				t.Errorf("violated rules = %v, want %v; violations are %+v", got, test.want, h.checker.violations)
			}
		})
	}
}

// A violation can be traced only if it names the request, its node, and the time since the run's start.
func TestViolationNamesRequestAndNode(t *testing.T) {
	h := newHistory(t)
	r := h.send(safeClass, "a", 0)
	h.respond(r, 5*time.Second, statusCompleted)
	if got := h.checker.violations; len(got) != 1 || got[0].Request != "a" || got[0].Node != testNode ||
		got[0].At != 5*time.Second || got[0].Detail == "" {
		t.Errorf("violations after a late response are %+v, want one with request %q, node %d, time %v and a detail",
			got, "a", testNode, 5*time.Second)
	}
}

// A check of a request that is not over reports a missing response that may still come. checkUntil checks only requests whose
// deadline was before the given moment, and then removes them so that the checker's memory does not grow.
func TestCheckWaitsForTheEndOfRequests(t *testing.T) {
	h := newHistory(t)
	r := h.send(safeClass, "a", 0)
	h.checker.checkUntil(r.deadline())
	if got := violatedRules(h.checker); got != nil || h.checker.nodeOf("a") != testNode {
		t.Errorf("check until the deadline: violated rules = %v and node of the request = %d, want none and %d",
			got, h.checker.nodeOf("a"), testNode)
	}
	h.checker.checkUntil(r.deadline().Add(ms))
	if got := violatedRules(h.checker); !slices.Equal(got, []Rule{ruleResponse}) || h.checker.nodeOf("a") != -1 {
		t.Errorf("check after the deadline: violated rules = %v and node of the request = %d, want %v and -1 (request removed)",
			got, h.checker.nodeOf("a"), []Rule{ruleResponse})
	}
}

// A scheduling delay of this process can make a response in time look late. The delay extends the tolerance by its length, only
// around its moment, and the extension is counted.
func TestToleranceIncludesTheHarnessDelay(t *testing.T) {
	const lag = 200 * ms
	for _, test := range []struct {
		name string
		late time.Duration
		at   time.Duration // time of the delay, since the deadline
		want []Rule
	}{
		{"within the delay", lateResponseTolerance + harnessTolerance + lag, lateResponseTolerance, nil},
		{"past the delay", lateResponseTolerance + harnessTolerance + lag + ms, lateResponseTolerance, []Rule{ruleResponse}},
		{"delay at another time", lateResponseTolerance + harnessTolerance + lag, lateResponseTolerance + 2*time.Second, []Rule{ruleResponse}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			r := h.send(safeClass, "a", 0)
			h.checker.lag.record(r.deadline().Add(test.at), lag)
			h.respond(r, r.timeout+test.late, statusCompleted)
			if got := h.check(); !slices.Equal(got, test.want) || (h.checker.counts.ExtendedTolerances > 0) != (test.at < time.Second) {
				t.Errorf("violated rules = %v, want %v; checks with extended tolerance = %d, want more than 0: %v",
					got, test.want, h.checker.counts.ExtendedTolerances, test.at < time.Second)
			}
		})
	}
}

// A fleet exceeds a customer's hard ceiling if its first attempts take more tokens than the bucket holds. Retries take no tokens,
// and each customer has a bucket of its own.
func TestCheckerOfHardCeilings(t *testing.T) {
	const burst, rate = ceilingBurst * testNodes, ceilingRate * testNodes
	takeTokens := func(h *history, customer, requests int, at time.Duration) {
		for range requests {
			r := h.send(safeClass, "a", at)
			r.cappedCustomer = customer
			h.addAttempt(r, at, at+10*ms)
			h.addAttempt(r, at+20*ms, at+30*ms) // a retry
			h.respond(r, at+31*ms, statusCompleted)
		}
	}
	for _, test := range []struct {
		name   string
		record func(h *history)
		want   []Rule
	}{
		{"all tokens at once", func(h *history) { takeTokens(h, 0, burst, 0) }, nil},
		{"one token too many", func(h *history) { takeTokens(h, 0, burst+1, 0) }, []Rule{ruleCeiling}},
		{"two customers", func(h *history) {
			takeTokens(h, 0, burst, 0)
			takeTokens(h, 1, burst, 0)
		}, nil},
		{"refilled tokens", func(h *history) {
			takeTokens(h, 0, burst, 0)
			takeTokens(h, 0, 3*rate, 3*time.Second)
		}, nil},
		{"more than the refilled tokens", func(h *history) {
			takeTokens(h, 0, burst, 0)
			takeTokens(h, 0, 3*rate+1, 3*time.Second)
		}, []Rule{ruleCeiling}},
		{"tokens are refilled only up to the burst", func(h *history) {
			takeTokens(h, 0, 1, 0)
			takeTokens(h, 0, burst+1, 30*time.Second)
		}, []Rule{ruleCeiling}},
		{"an attempt out of order", func(h *history) {
			takeTokens(h, 0, burst-1, 10*ms)
			takeTokens(h, 0, 1, 5*ms)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory(t)
			test.record(h)
			if got := h.check(); !slices.Equal(got, test.want) {
				t.Errorf("violated rules = %v, want %v; violations are %+v", got, test.want, h.checker.violations)
			}
		})
	}
}
