package frontend

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/cpubudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// Paces of work that a client causes without a request that an app server executes. They hold for all connections together, so that
// many such clients leave processor time to the others.
const (
	// unforwardedInterval is the time between two responses that the node made by itself, such as rejections, to one client
	// that does not wait for the first. It is multiplied by the number of connections.
	unforwardedInterval = 500 * time.Microsecond
	// maxUnforwardedPause bounds that time, because further requests of the client wait meanwhile.
	maxUnforwardedPause = 50 * time.Millisecond
	// freeUnforwarded is the number of such responses in a row that are not paced, and maxUnforwarded the number after which the
	// node reads nothing more and closes the connection.
	freeUnforwarded = 8
	maxUnforwarded  = 32
	// minDiscardInterval is the time between two reads of input that is discarded, as long as few connections discard input.
	minDiscardInterval = 4 * time.Millisecond
	// freeDiscards is the number of connections that discard input for which minDiscardInterval holds.
	freeDiscards = 4
	// discardBurst is the number of bytes behind a request in flight that are discarded without a pause.
	discardBurst = protocol.MaxBody
	// maxAcceptCost bounds the measured time of an accept, which may include a wait for a connection.
	maxAcceptCost = 100 * time.Microsecond
	// acceptPause is the longest wait of acceptLoop until it looks whether the server drains.
	acceptPause = 5 * time.Millisecond
)

// calibrationInterval is the shortest time between two calibrations of the budget.
const calibrationInterval = 20 * time.Millisecond

// overheadPacer delays work that serves no request until the processor budget allows it. It is safe for concurrent use.
type overheadPacer struct {
	budget   *cpubudget.Budget
	counters *Counters
	whole    atomic.Int64  // cpubudget.Cost.Whole of all work, charged or not, in nanoseconds
	turn     chan struct{} // semaphore of the rejection that is next, so that rejections take turns in order of arrival

	mu           sync.Mutex    // guards the fields below, which are of the last calibration
	calibratedAt time.Time     // zero before the first
	process      time.Duration // processor time of the process
	measured     cpubudget.Cost
}

func newOverheadPacer(processors float64, counters *Counters) *overheadPacer {
	return &overheadPacer{budget: cpubudget.New(processors, time.Now()), counters: counters, turn: make(chan struct{}, 1)}
}

// calibrate compares the processor time of the process with the measured times since the last call, at most every calibrationInterval.
func (p *overheadPacer) calibrate(now time.Time) {
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	if now.Sub(p.calibratedAt) < calibrationInterval {
		return
	}
	process := netio.ProcessorTime()
	measured := cpubudget.Cost{Whole: time.Duration(p.whole.Load()), SystemCalls: netio.AllSystemTime()}
	if !p.calibratedAt.IsZero() {
		p.budget.Calibrate(process-p.process, measured.Sub(p.measured))
	}
	p.calibratedAt, p.process, p.measured = now, process, measured
}

// await waits until work of a kind may begin. It returns false if the connection ends or the given time comes first. A zero time never
// comes.
func (p *overheadPacer) await(kind cpubudget.Kind, ended <-chan struct{}, until time.Time) bool {
	for {
		now := time.Now()
		delay := p.budget.Delay(now, kind)
		if delay == 0 {
			return true
		}
		if !until.IsZero() {
			delay = min(delay, until.Sub(now))
		}
		if delay <= 0 {
			return false
		}
		select {
		case <-time.After(delay):
		case <-ended:
			return false
		}
	}
}

// takeTurn waits until a rejection may begin, behind those that wait already, and then calls charge, which takes its cost. It returns
// false if ended is closed first.
func (p *overheadPacer) takeTurn(ended <-chan struct{}, charge func()) bool {
	select {
	case p.turn <- struct{}{}:
	default:
		p.counters.RejectionsDelayed.Add(1)
		select {
		case p.turn <- struct{}{}:
		case <-ended:
			return false
		}
	}
	defer func() { <-p.turn }()
	if !p.await(cpubudget.Reject, ended, time.Time{}) {
		return false
	}
	charge()
	return true
}

// beginRejection waits until the connection may be rejected. It takes the cost of the connection so far and the expected cost of its
// close. It returns false if the connection ends first.
func (c *clientConn) beginRejection() bool {
	overhead := c.server.overhead
	return overhead.takeTurn(c.ended, func() {
		c.chargeOverhead(cpubudget.Reject)
		c.reservedClose.Store(int64(overhead.budget.ReserveClose(time.Now())))
	})
}

// charge takes the cost of work of a kind.
func (p *overheadPacer) charge(kind cpubudget.Kind, cost cpubudget.Cost) {
	now := time.Now()
	p.budget.Charge(now, kind, cost)
	p.report(now)
}

// report calibrates the budget if that is due, and brings its counter up to date.
func (p *overheadPacer) report(now time.Time) {
	p.calibrate(now)
	p.counters.OverheadMicroseconds.Store(p.budget.Used().Microseconds())
}

// chargeClose takes the cost of a close after a rejection, less what was reserved for it.
func (p *overheadPacer) chargeClose(spent, reserved time.Duration) {
	p.measure(spent)
	p.budget.ChargeClose(time.Now(), spent, reserved)
}

// chargeWhole takes the time of work of a kind that was measured as a whole.
func (p *overheadPacer) chargeWhole(kind cpubudget.Kind, spent time.Duration) {
	p.measure(spent)
	p.charge(kind, cpubudget.Cost{Whole: spent})
}

// measure records time that was measured as a whole and is not charged yet.
func (p *overheadPacer) measure(spent time.Duration) { p.whole.Add(int64(spent)) }

// awaitAccept waits until the next connection may be accepted. A drain is not delayed.
func (s *Server) awaitAccept() {
	for !s.draining.Load() {
		delay := s.overhead.budget.Delay(time.Now(), cpubudget.Accept)
		if delay == 0 {
			return
		}
		startedAt, pause := time.Now(), min(delay, acceptPause)
		time.Sleep(pause)
		now := time.Now()
		s.overhead.budget.ObserveLag(now, now.Sub(startedAt)-pause)
	}
}

// cost returns what the connection has cost so far, apart from its close.
func (c *clientConn) cost() cpubudget.Cost {
	return cpubudget.Cost{Whole: c.setupTime + c.parseTime, SystemCalls: c.reader.SystemTime() + c.writer.SystemTime()}
}

// chargeOverhead takes the connection's cost since the last call, or since the last request that was forwarded, as work of a kind. serve
// calls it.
func (c *clientConn) chargeOverhead(kind cpubudget.Kind) {
	c.returnReserved()
	total := c.cost()
	c.server.overhead.charge(kind, total.Sub(c.accounted))
	c.accounted = total
}

// chargeConnection takes the cost of a connection that has ended, unless a request of it was forwarded. serve calls it.
func (c *clientConn) chargeConnection() {
	overhead, reserved := c.server.overhead, c.reserved
	c.reserved = 0
	total := c.cost()
	switch {
	case c.forwarded.Load():
		overhead.budget.ReturnConnection(time.Now(), reserved)
	case reserved == 0: // a request was rejected
		c.chargeOverhead(cpubudget.Accept)
	default:
		overhead.budget.ChargeConnection(time.Now(), total.Sub(c.accounted), reserved)
		overhead.report(time.Now())
	}
	c.accounted = total
}

// returnReserved gives back what was reserved for the connection, because its cost is waived or charged otherwise. serve calls it.
func (c *clientConn) returnReserved() {
	if c.reserved > 0 {
		c.server.overhead.budget.ReturnConnection(time.Now(), c.reserved)
		c.reserved = 0
	}
}

// waiveOverhead drops the connection's cost so far, because it was for a request that was forwarded. serve calls it.
func (c *clientConn) waiveOverhead() {
	c.returnReserved()
	c.accounted = c.cost()
}

// maxPlainRequest is the number of bytes of the largest request whose body is sent in one piece. What is longer is framing, as of a body in
// chunks of one byte, whose parsing costs much more than its reads.
const maxPlainRequest = protocol.MaxHead + protocol.MaxBody

// requestStream is the source of a connection's read buffer. It measures the time for which requests are parsed, between the reads, and
// delays the rest of a request beyond maxPlainRequest as it delays a rejection.
type requestStream struct{ *clientConn }

// Read reads once.
func (s requestStream) Read(p []byte) (int, error) {
	if s.parsingSince.IsZero() {
		return s.reader.Read(p)
	}
	s.stopParsing()
	if s.readBuffer.Filled()-s.requestFrom > maxPlainRequest {
		s.server.overhead.takeTurn(s.ended, func() { s.chargeOverhead(cpubudget.Reject) })
	}
	n, err := s.reader.Read(p)
	s.startParsing()
	return n, err
}

// Write must not be called.
func (s requestStream) Write([]byte) (int, error) { return 0, errors.ErrUnsupported }

// startParsing records that a request is parsed from now on.
func (c *clientConn) startParsing() { c.parsingSince = time.Now() }

// stopParsing adds the time since startParsing to the connection's cost, because a wait begins or the request has ended.
func (c *clientConn) stopParsing() {
	took := time.Since(c.parsingSince)
	c.parsingSince = time.Time{}
	c.parseTime += took
	c.server.overhead.measure(took)
}

// paceUnforwarded waits before the next request if the client did not pause before it, and the last responses were made without an app
// server. After many responses to pipelined requests the connection ends with the requests that were read. readAt is the time at which
// the node saw the request.
func (c *clientConn) paceUnforwarded(readAt time.Time) {
	paused := !c.pipelinedNext && readAt.Sub(c.idleSinceTime()) >= maxUnforwardedPause
	if !c.unforwarded || paused {
		c.unforwardedRun, c.pipelinedRun = 0, 0
		return
	}
	c.unforwardedRun++
	c.pipelinedRun++
	if !c.pipelinedNext {
		c.pipelinedRun = 0
	}
	if c.floods() {
		c.check.stopReadAhead()
	}
	if c.unforwardedRun <= freeUnforwarded {
		return
	}
	c.chargeOverhead(cpubudget.Reject)
	until := readAt.Add(maxUnforwardedPause)
	if c.pipelinedNext {
		time.Sleep(min(time.Duration(len(c.server.slots))*unforwardedInterval, maxUnforwardedPause))
	}
	c.server.overhead.await(cpubudget.Reject, c.ended, until)
}

// floods reports whether the client sends many requests without waiting for responses, and none of the last was forwarded.
func (c *clientConn) floods() bool { return c.pipelinedRun >= maxUnforwarded }

// discardInterval returns the time between two reads of a connection's input that is discarded.
func (s *Server) discardInterval() time.Duration {
	return max(minDiscardInterval, time.Duration(s.discarding.Load())*minDiscardInterval/freeDiscards)
}
