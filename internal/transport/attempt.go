package transport

import (
	"bufio"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// attemptRunner runs the executions of one client connection's tickets, one at a time.
type attemptRunner struct {
	pool   *Pool
	router *routing.Router
	body   []byte

	mu     sync.Mutex
	nth    int                // the execution under way, or -1
	called int                // the last that was withdrawn, or -1
	left   bool               // the ticket's client went: nothing more begins
	link   *link              // what it waits on, or
	cancel context.CancelFunc // its dial
	whole  bool               // its request's last byte has gone

	away  func() bool // looks whether the client has gone by now, itself
	there time.Time   // when it had not, last
}

// lookAfter is how old the last look at a client may be where something is sent on for it: a tenth of the 0.1 s after
// its leaving in which something may begin yet.
const lookAfter = 10 * time.Millisecond

// fresh readies the worker for a ticket whose client was there at a time.
func (w *attemptRunner) fresh(there time.Time) {
	w.mu.Lock()
	w.nth, w.called, w.left, w.there = -1, -1, false, there
	w.mu.Unlock()
	w.body = trim(w.body)
}

// gone tells whether the client has gone, by a look of its own where the last is old. It guards against a leaving that
// has come but that its reader has not been at yet, as when the node stood still: what then makes it go on, an answer or
// a timer, may have its turn first.
func (w *attemptRunner) gone() bool {
	w.mu.Lock()
	left, there := w.left, w.there
	w.mu.Unlock()
	if left || time.Since(there) < lookAfter {
		return left
	}
	now := time.Now()
	if w.away() {
		w.leave()
		return true
	}
	w.mu.Lock()
	w.there = now
	w.mu.Unlock()
	return false
}

// Cancel ends the nth execution: its wait is cut short, and its connection closed by who waits.
func (w *attemptRunner) Cancel(nth int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.called = nth
	if nth != w.nth {
		return
	}
	if w.cancel != nil {
		w.cancel()
	}
	if w.link != nil {
		w.link.conn.SetDeadline(time.Unix(1, 0))
	}
}

// leave lets nothing more begin: the ticket's client went. What has begun is the module's to withdraw, where that is
// allowed; a dial or a request that is not whole yet is given up in any case, as it has not run.
func (w *attemptRunner) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	if w.cancel != nil {
		w.cancel()
	}
	if w.link != nil && !w.whole {
		w.link.conn.SetDeadline(time.Unix(1, 0))
	}
}

// begin notes what the nth execution waits on, unless it was withdrawn or its client left.
func (w *attemptRunner) begin(nth int, l *link, cancel context.CancelFunc) bool {
	if w.gone() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.called == nth || w.left {
		return false
	}
	w.nth, w.link, w.cancel, w.whole = nth, l, cancel, false
	return true
}

// end tells whether the execution was withdrawn, or its client left; from here on it can't be.
func (w *attemptRunner) end() (called, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.link, w.cancel = nil, nil
	return w.called == w.nth, w.left
}

// run carries out an execution.
func (w *attemptRunner) run(c routing.Decision, q *protocol.Request) (protocol.ServerResponse, routing.AttemptResult) {
	began := time.Now()
	reply := w.try(c, q, began.Add(c.Timeout))
	w.pool.count.AttemptOutcomes[reply.Outcome].Add(1)
	took := time.Since(began)
	return reply, routing.AttemptResult{Outcome: reply.Outcome, Duration: took, Units: reply.Units}
}

// connect finds a connection to the choice's server, kept or new; without one it tells how the execution ended.
// All dials of an execution end by a time: what repeats a referenced ticket has to be whole within a window, and the
// module leaves the time of one dial for that.
func (w *attemptRunner) connect(c routing.Decision, until, up time.Time) (*link, protocol.Outcome) {
	l := w.pool.take(c.Server)
	if l == nil {
		ctx, cancel := context.WithDeadline(context.Background(), up)
		defer cancel()
		if !w.begin(c.Attempt, nil, cancel) {
			return nil, protocol.NotSent
		}
		var err error
		l, err = w.pool.dial(ctx, c.Server)
		// What this node lacks says nothing of the server, which would rest for it.
		if called, left := w.end(); err != nil && (called || left || errors.Is(err, errFull) || errors.Is(err, syscall.EMFILE)) {
			return nil, protocol.NotSent
		}
		if err != nil {
			return nil, protocol.ConnectFailed
		}
	}
	l.conn.SetDeadline(until)
	// A dial takes time, in which the server may have begun to drain, or the execution been withdrawn, or its client left.
	if !w.router.InService(c.Server) || !w.begin(c.Attempt, l, nil) {
		w.pool.put(l)
		return nil, protocol.NotSent
	}
	return l, protocol.Completed
}

func (w *attemptRunner) try(c routing.Decision, q *protocol.Request, until time.Time) protocol.ServerResponse {
	var l *link
	up := earlier(until, time.Now().Add(w.pool.limits.ConnectTimeout))
	for fresh := 0; ; {
		var o protocol.Outcome
		if l, o = w.connect(c, until, up); l == nil {
			return protocol.ServerResponse{Outcome: o}
		}
		if l.used == 0 {
			fresh++
		}
		l.out.took(protocol.AppendAttempt(l.out.room(), q, time.Until(until)))
		l.out.Write(q.Body)
		whole, early := w.send(l, until)
		if whole {
			break
		}
		switch called, left := w.end(); { // not whole: it never ran
		case called || left:
			w.pool.end(l, withdrawn)
			return protocol.ServerResponse{Outcome: protocol.NotSent}
		case l.used > 0: // it had died since its last answer, and says nothing of the server
			if !early {
				w.pool.distrust(time.Since(l.idleAt))
			}
			w.pool.end(l, serverStale)
		case fresh < mostFresh: // one that breaks at once may be chance; where servers do it, two seldom are
			w.pool.end(l, serverBroken)
		default:
			w.pool.end(l, serverBroken)
			return protocol.ServerResponse{Outcome: protocol.ConnectFailed}
		}
	}
	w.pool.count.Attempts.Add(1)
	l.used++
	sent, came := time.Now(), l.in.w
	br := parsers.Get().(*bufio.Reader)
	br.Reset(&l.in)
	l.in.Allow(protocol.MaxHead + 4*protocol.MaxBody)
	l.in.patient = true // the execution's own time guards it
	reply, err := protocol.ReadServerResponse(br, w.body)
	l.in.patient = false
	l.in.done(br)
	br.Reset(nil)
	parsers.Put(br)
	if reply.Body != nil {
		w.body = reply.Body
	}
	called, _ := w.end()
	switch {
	case err == nil && (reply.Close || l.in.r != l.in.w):
		w.pool.end(l, serverLast)
	case err == nil:
		w.pool.put(l)
	case called:
		reply = protocol.ServerResponse{Outcome: protocol.Cancelled}
		w.pool.end(l, withdrawn)
	case l.in.err == nil:
		reply = protocol.ServerResponse{Outcome: protocol.MalformedResponse}
		w.pool.end(l, serverBad)
	case timedOut(l.in.err):
		reply = protocol.ServerResponse{Outcome: protocol.TimedOut}
		w.pool.end(l, serverLate)
	default:
		if age := time.Since(sent); l.used > 1 && l.in.w == came && age < diedWithin {
			w.pool.distrust(sent.Sub(l.idleAt))
		}
		reply = protocol.ServerResponse{Outcome: protocol.ConnectionReset}
		w.pool.end(l, serverBroken)
	}
	return reply
}

// send writes a request, its last byte by itself: what breaks before that has never run, and a connection that a
// server has given up breaks as soon as the rest comes. Written at once, it would break after the last byte and so
// may have run, which costs a single-use ticket. It tells whether all was written. Bytes that come before it are of
// an earlier ticket's answer, or of a second one to it, where the connection has carried any, and would pass for this
// ticket's: early. On a new one they are left to the reader.
func (w *attemptRunner) send(l *link, until time.Time) (whole, early bool) {
	if w.gone() || l.out.FlushBut(1) != nil { // nothing comes between a look and the write behind it
		return false, false
	}
	l.conn.SetReadDeadline(time.Now().Add(l.shows))
	some, broken := l.sock.ready()
	early = some && l.used > 0
	w.mu.Lock()
	called := w.called == w.nth || w.left
	if !called { // else the deadline is past, and stays so
		l.conn.SetDeadline(until)
	}
	w.mu.Unlock()
	if broken || early || called || w.gone() {
		return false, early
	}
	whole = l.out.Flush() == nil
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.whole = whole; whole && w.left && w.called != w.nth { // the client left just now: this has begun
		l.conn.SetDeadline(until)
	}
	return whole, false
}

// trim gives up a buffer that one large body made large.
func trim(b []byte) []byte {
	if cap(b) > leastRing {
		return nil
	}
	return b
}

func timedOut(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
