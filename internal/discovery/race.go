package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"cherrygap/internal/netio"
)

// A race of connections to discovery: the first call on each is answered at once, or another is tried beside it.
const (
	raceHold     = time.Millisecond        // that the first call on a connection is held at most
	raceInterval = 80 * time.Millisecond   // between two connections, as no drain's grace is over by then
	maxRacers    = netio.MaxDiscoveryConns // connections at once: none but these and one that was answered is open
	raceTimeout  = 3 * raceInterval        // of each; but for one, should discovery be slow,
	raceProgress = 64 << 10                // and while so many bytes of answers come in between two: a long list takes its time
)

// connRace opens connections one after another until the first call on one of them is answered. It belongs to the
// goroutine of Client.Run, but for results and received, which the racers' goroutines write to.
type connRace struct {
	client   *Client
	results  chan callResult
	received atomic.Int64 // bytes of answers, on all connections

	racers      int   // that are out
	patient     bool  // one of them has pollTimeout
	seen        int64 // received, when the last was started
	lastFailure time.Time
}

// race returns the first answer of several connections.
func (d *Client) race(ctx context.Context) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends those that lost
	r := &connRace{client: d, results: make(chan callResult), lastFailure: time.Now()}
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return callResult{err: ctx.Err()}
		case <-next.C:
			next.Reset(raceInterval)
			r.start(ctx)
		case result := <-r.results:
			if r.ended(result) {
				return result
			}
		}
	}
}

// start starts one more racer, on a goroutine that ends with its call or with ctx.
func (r *connRace) start(ctx context.Context) {
	// Several that take in and parse a long list beside each other on one core would all be late, and each given up.
	received := r.received.Load()
	progress := received-r.seen >= raceProgress
	r.seen = received
	if r.racers >= maxRacers || progress {
		return
	}
	r.racers++
	timeout, patient := raceTimeout, !r.patient
	if patient {
		timeout, r.patient = pollTimeout, true
	}
	target := r.client.target()
	go func() {
		result := target.firstCall(ctx, raceHold, timeout, &r.received)
		result.patient = patient
		select {
		case r.results <- result:
		case <-ctx.Done():
			if result.err == nil {
				result.conn.close()
			}
		}
	}()
}

// ended takes in how a racer ended, and reports whether it won.
func (r *connRace) ended(result callResult) (won bool) {
	r.racers--
	if result.err == nil && result.keep() {
		return true
	}
	r.patient = r.patient && !result.patient
	r.client.forgetRevision(result.err)
	if result.err != nil && time.Since(r.lastFailure) >= failureLogInterval {
		r.client.reportFailure(result.err)
		r.lastFailure = time.Now()
	}
	return false
}
