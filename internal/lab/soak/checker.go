package soak

import (
	"fmt"
	"sync"
	"time"
)

// checker records the history of all requests, and checks each once it is over. It is safe for concurrent use.
type checker struct {
	startedAt time.Time
	length    time.Duration // of the run
	lag       *lagMeter
	now       func() time.Time

	mu         sync.Mutex                    // guards the fields below, and all requests and attempts
	requests   map[string]*request           // by ID; those that are not yet checked
	ceilings   [cappedCustomers]*hardCeiling // by capped customer
	statuses   map[int]int64                 // responses by HTTP status
	counts     Counts
	violations []Violation
}

// Counts are sums over a run.
type Counts struct {
	Requests         int64 `json:"requests"`
	Answered         int64 `json:"answered"`
	ClientsLeft      int64 `json:"clients_left"` // requests whose client closed its connection first
	Waived           int64 `json:"void"`         // requests without a response whose node was killed
	Attempts         int64 `json:"attempts"`
	Retries          int64 `json:"retries"`
	Capped           int64 `json:"capped"` // first attempts under a hard ceiling
	Resent           int64 `json:"resent"` // requests sent again, as an idle connection was closed meanwhile
	MalformedClients int64 `json:"bad_clients"`
	SlackExtended    int64 `json:"late_harness"` // checks with a larger tolerance, as this process was delayed itself
}

func newChecker(lag *lagMeter, length time.Duration, nodes int) *checker {
	c := &checker{
		startedAt: time.Now(), length: length, lag: lag, now: time.Now,
		requests: map[string]*request{}, statuses: map[int]int64{},
	}
	for i := range c.ceilings {
		c.ceilings[i] = newHardCeiling(nodes, c.startedAt)
	}
	return c
}

// violate records a violation. node is -1 if it is not of one node, and id is empty if it is not of one request. The caller
// holds the lock.
func (c *checker) violate(rule Rule, node int, id, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule: rule, Request: id, Node: node, At: c.now().Sub(c.startedAt), Detail: fmt.Sprintf(format, args...),
	})
}

// report is violate for callers without the lock.
func (c *checker) report(rule Rule, node int, id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(rule, node, id, format, args...)
}

// recordRequest records a request whose last byte is about to be written.
func (c *checker) recordRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.id] = r
	c.counts.Requests++
}

// update calls change with the lock held. change may also change requests.
func (c *checker) update(change func(*Counts)) {
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
		c.violate(ruleUnknownRequest, -1, id, "server %d got a request that no client sent, or one that ended long ago", a.server)
		return
	}
	if len(r.attempts) > 0 {
		c.counts.Retries++
	} else if r.cappedCustomer >= 0 {
		c.counts.Capped++
		c.ceilings[r.cappedCustomer].draw(a.begunAt)
	}
	r.attempts = append(r.attempts, a)
}

// nodeOf returns the node that a request was sent to, or -1 for an unknown request.
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

// recordResponse records and checks a final response.
func (c *checker) recordResponse(r *request, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if r.answered {
		c.violate(ruleAnswer, r.node, r.id, "a second response, status %d", status)
		return
	}
	r.answered, r.status = true, status
	c.counts.Answered++
	c.statuses[status]++
	if late := now.Sub(r.deadline()) - c.slackAt(answerSlack, now); late > 0 {
		c.violate(ruleAnswer, r.node, r.id, "status %d came %v past its deadline and slack", status, late)
	}
	if status == statusCompleted && body != responseBody(r.id) {
		c.violate(ruleForeignResponse, r.node, r.id, "the response's body is %.40q", body)
	}
}

// waiveOpenRequests waives the responses to the open requests of a node that was killed.
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

// slackAt returns a tolerance plus harnessSlack and the delay of this process around a moment. The caller holds the lock.
func (c *checker) slackAt(slack time.Duration, at time.Time) time.Duration {
	lag := c.lag.around(at)
	if lag > harnessSlack {
		c.counts.SlackExtended++
	}
	return slack + harnessSlack + lag
}
