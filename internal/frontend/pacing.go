package frontend

import (
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
	p.budget.Settle(time.Now(), cpubudget.Close, cpubudget.Cost{Whole: spent}, reserved)
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
