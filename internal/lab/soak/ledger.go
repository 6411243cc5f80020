package soak

import (
	"fmt"
	"sync"
	"time"
)

// request is what is known of one request of a client.
type request struct {
	id       string
	node     int
	nodes    int // of the fleet
	class    *requestClass
	capped   int       // number of its customer under the capped plan; -1: it has none
	sentAt   time.Time // its last byte
	timeout  time.Duration
	leftAt   time.Time // when its client closed; zero: it stayed
	answered bool
	status   int
	void     string // why nothing is owed for it, as its node was killed; empty: all is owed
	attempts []*attempt
}

func (r *request) deadline() time.Time { return r.sentAt.Add(r.timeout) }

// attempt is a request as it came whole to a server.
type attempt struct {
	server    int
	firstByte time.Time
	begunAt   time.Time // its last byte
	told      time.Duration
	endedAt   time.Time // its answer was written or its connection ended; zero: not yet
	neverRan  bool      // the server rejected it unseen
	readLate  bool      // the server read it long after it had come: its times are not known
}

// Violation is a promise that was not kept.
type Violation struct {
	Rule    string        `json:"rule"`
	Request string        `json:"request,omitempty"`
	Node    int           `json:"node"`
	At      time.Duration `json:"at_ns"` // since the run's start
	Detail  string        `json:"detail"`
}

// The rules, as violations name them.
const (
	ruleAnswer    = "answer"     // each request taken gets one final answer in time
	ruleRead      = "read"       // a request that was read is not closed on
	ruleLeft      = "left"       // nothing begins for a client that left
	ruleDeadline  = "deadline"   // a server is told no more time than the client has left
	ruleRepeat    = "repeat"     // no effect twice
	ruleTogether  = "together"   // no two attempts out at once
	ruleRefusal   = "refusal"    // a rejection promises that nothing ran
	ruleForeign   = "foreign"    // an answer is an app server's to this request
	ruleDrain     = "drain"      // nothing new to a draining or gone server
	ruleCold      = "cold"       // a cold server is not overrun
	ruleCeiling   = "ceiling"    // hard ceilings hold, over restarts too
	ruleCrash     = "crash"      // no node ends by itself
	ruleReady     = "ready"      // a started node is ready in time
	ruleEnd       = "end"        // a node ends after SIGTERM
	ruleGuard     = "guard"      // a node's own guards count nothing
	ruleRefused   = "refused"    // a node in service accepts connections
	ruleMalformed = "malformed"  // bad clients get an error or a close within 3 s
	ruleUnknown   = "unknown-id" // a server gets only requests that a client sent
)

// Slacks of the rules, as the platform's pages give them, and for this process being late itself.
const (
	answerSlack   = 500 * time.Millisecond
	leftSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	graceSlack    = 50 * time.Millisecond
	togetherSlack = 100 * time.Millisecond // a server sees the end of a connection that late at most
	readLateAfter = 20 * time.Millisecond  // a server that reads later than this was stalled
	harnessSlack  = 30 * time.Millisecond
)

// ledger records requests and attempts, and judges requests once they are long over.
type ledger struct {
	startedAt time.Time
	length    time.Duration // of the run
	lag       *lagMeter

	mu         sync.Mutex // guards what follows, and all requests and attempts
	requests   map[string]*request
	ceilings   [cappedCustomers]*ceiling
	statuses   map[int]int64
	counts     Counts
	violations []Violation
}

// Counts are sums over a run.
type Counts struct {
	Requests    int64 `json:"requests"`
	Answered    int64 `json:"answered"`
	Left        int64 `json:"clients_left"`
	Void        int64 `json:"void"` // their node was killed
	Attempts    int64 `json:"attempts"`
	Retries     int64 `json:"retries"`
	Capped      int64 `json:"capped"` // first attempts under a hard ceiling
	Resent      int64 `json:"resent"` // sent once more, as a resting connection was closed meanwhile
	BadClients  int64 `json:"bad_clients"`
	LateHarness int64 `json:"late_harness"` // judged with more slack, as this process was late itself
}

func newLedger(lag *lagMeter, length time.Duration, nodes int) *ledger {
	l := &ledger{startedAt: time.Now(), length: length, lag: lag, requests: map[string]*request{}, statuses: map[int]int64{}}
	for i := range l.ceilings {
		l.ceilings[i] = newCeiling(nodes, l.startedAt)
	}
	return l
}

// violate notes a violation. The caller holds the lock.
func (l *ledger) violate(rule string, node int, id, format string, args ...any) {
	l.violations = append(l.violations, Violation{
		Rule: rule, Request: id, Node: node, At: time.Since(l.startedAt), Detail: fmt.Sprintf(format, args...),
	})
}

// report is violate for callers without the lock.
func (l *ledger) report(rule string, node int, id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violate(rule, node, id, format, args...)
}

// sent notes a request whose last byte is written now.
func (l *ledger) sent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
	l.counts.Requests++
}

// update changes what is known of requests.
func (l *ledger) update(change func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// begun notes an attempt that came whole to a server, and returns it.
func (l *ledger) begun(id string, a *attempt) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Attempts++
	r := l.requests[id]
	if r == nil {
		l.violate(ruleUnknown, -1, id, "server %d got a request that no client sent, or one that ended long ago", a.server)
		return a
	}
	if len(r.attempts) > 0 {
		l.counts.Retries++
	} else if r.capped >= 0 {
		l.counts.Capped++
		l.ceilings[r.capped].draw(a.begunAt)
	}
	r.attempts = append(r.attempts, a)
	return a
}

// nodeOf is the node that a request was sent to; -1 where it is not known.
func (l *ledger) nodeOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		return r.node
	}
	return -1
}

// ended notes that an attempt's answer was written, or that its connection ended.
func (l *ledger) ended(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt = time.Now()
	}
}

// answer notes a final answer.
func (l *ledger) answer(r *request, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if r.answered {
		l.violate(ruleAnswer, r.node, r.id, "a second answer, status %d", status)
		return
	}
	r.answered, r.status = true, status
	l.counts.Answered++
	l.statuses[status]++
	if late := now.Sub(r.deadline()) - l.slackAt(answerSlack, now); late > 0 {
		l.violate(ruleAnswer, r.node, r.id, "status %d came %v past its time and slack", status, late)
	}
	if status == statusServed && body != servedBody(r.id) {
		l.violate(ruleForeign, r.node, r.id, "the answer's body is %.40q", body)
	}
}

// killed voids the requests of a node that was killed.
func (l *ledger) killed(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.node == node && !r.answered && r.void == "" {
			r.void = "its node was killed"
			l.counts.Void++
		}
	}
}

// slackAt is a slack with what this process may be late by at a moment.
func (l *ledger) slackAt(slack time.Duration, at time.Time) time.Duration {
	lag := l.lag.around(at)
	if lag > harnessSlack {
		l.counts.LateHarness++
	}
	return slack + harnessSlack + lag
}
