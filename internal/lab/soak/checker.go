package soak

import (
	"fmt"
	"sync"
	"time"
)

// checker records the histories of all requests, and checks each request once it is over. It is safe for concurrent use.
type checker struct {
	startedAt   time.Time     // start of the run
	runDuration time.Duration // time in which clients send requests
	lag         *lagMeter
	now         func() time.Time

	mu         sync.Mutex                      // guards the fields below, and all requests and attempts
	requests   map[string]*request             // requests that are not yet checked, by ID
	ceilings   [cappedCustomers]*ceilingBucket // token buckets, indexed by capped customer
	statuses   map[int]int64                   // number of responses by HTTP status
	counts     Counts
	violations []Violation
}

// Counts holds the counters of a run.
type Counts struct {
	Requests            int64 `json:"requests"`
	Answered            int64 `json:"answered"`
	ClientsDisconnected int64 `json:"clients_left"` // requests whose client closed its connection before a response
	Waived              int64 `json:"void"`         // requests without a response because their node was killed
	Attempts            int64 `json:"attempts"`
	Retries             int64 `json:"retries"`
	CappedAttempts      int64 `json:"capped"` // first attempts under a hard ceiling
	Resent              int64 `json:"resent"` // decisions to send a request again after its connection was closed; includes failed dials
	MalformedClients    int64 `json:"bad_clients"`
	ExtendedTolerances  int64 `json:"late_harness"` // checks whose tolerance was extended because this process was delayed
}

func newChecker(lag *lagMeter, runDuration time.Duration, nodes int) *checker {
	c := &checker{
		startedAt: time.Now(), runDuration: runDuration, lag: lag, now: time.Now,
		requests: map[string]*request{}, statuses: map[int]int64{},
	}
	for i := range c.ceilings {
		c.ceilings[i] = newCeilingBucket(nodes, c.startedAt)
	}
	return c
}

// recordViolationLocked records a violation. node is -1 if the violation concerns no single node, and id is empty if it concerns
// no single request. The caller holds the lock.
func (c *checker) recordViolationLocked(rule Rule, node int, id, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule: rule, Request: id, Node: node, At: c.now().Sub(c.startedAt), Detail: fmt.Sprintf(format, args...),
	})
}

// recordViolation is recordViolationLocked for callers that do not hold the lock.
func (c *checker) recordViolation(rule Rule, node int, id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(rule, node, id, format, args...)
}

// recordRequest records a request whose last byte the client is about to write.
func (c *checker) recordRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.id] = r
	c.counts.Requests++
}

// updateCounts calls change with the lock held, so change may modify requests too.
func (c *checker) updateCounts(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// recordAttempt records an attempt that a server has read completely.
func (c *checker) recordAttempt(id string, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Attempts++
	r := c.requests[id]
	if r == nil {
		c.recordViolationLocked(ruleUnknownRequest, -1, id,
			"server %d received a request that no client sent, or one that was checked already", a.server)
		return
	}
	if len(r.attempts) > 0 {
		c.counts.Retries++
	} else if r.cappedCustomer >= 0 {
		c.counts.CappedAttempts++
		c.ceilings[r.cappedCustomer].take(a.receivedAt)
	}
	r.attempts = append(r.attempts, a)
}

// nodeOf returns the number of the node that a request was sent to, or -1 for an unknown request.
func (c *checker) nodeOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		return r.node
	}
	return -1
}

// recordAttemptEnd records that an attempt's response was written, or that its connection ended.
func (c *checker) recordAttemptEnd(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt = c.now()
	}
}

// recordResponse records a final response and checks its time and body.
func (c *checker) recordResponse(r *request, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if r.answered {
		c.recordViolationLocked(ruleResponse, r.node, r.id, "the client received a second response, with status %d", status)
		return
	}
	r.answered, r.status = true, status
	c.counts.Answered++
	c.statuses[status]++
	if late := now.Sub(r.deadline()) - c.toleranceAt(lateResponseTolerance, now); late > 0 {
		c.recordViolationLocked(ruleResponse, r.node, r.id, "the response with status %d came %v after the deadline and its tolerance",
			status, late)
	}
	if status == statusCompleted && body != responseBody(r.id) {
		c.recordViolationLocked(ruleForeignResponse, r.node, r.id, "the response's body is %.40q, want %q",
			body, responseBody(r.id))
	}
}

// waiveOpenRequests marks the open requests of a killed node, for which ruleResponse then expects no response.
func (c *checker) waiveOpenRequests(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.node == node && !r.answered && r.waiver == "" {
			r.waiver = "its node was killed"
			c.counts.Waived++
		}
	}
}

// toleranceAt returns tolerance plus harnessTolerance and the scheduling delay of this process around a moment. It counts a delay
// above harnessTolerance. The caller holds the lock.
func (c *checker) toleranceAt(tolerance time.Duration, at time.Time) time.Duration {
	lag := c.lag.maxAround(at)
	if lag > harnessTolerance {
		c.counts.ExtendedTolerances++
	}
	return tolerance + harnessTolerance + lag
}
