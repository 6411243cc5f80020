package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"cherrygap/internal/netio"
)

// Parameters of a race of connections.
const (
	// raceHold is the hold of the first call on a racing connection, so that a working discovery answers it at once.
	raceHold = time.Millisecond
	// raceInterval is the time between the starts of two connections. It is well below the shortest drain grace period.
	raceInterval = 80 * time.Millisecond
	// maxRacers is the maximum number of open connections of a race.
	maxRacers = netio.MaxDiscoveryConns
	// raceTimeout is the timeout of the first call of a connection. One call at a time has callTimeout instead, in case
	// discovery is slow.
	raceTimeout = 3 * raceInterval
	// raceProgress is the number of response bytes for which a call gets raceInterval more time. If as many arrive between two
	// calls of startRacer, the second starts no racer.
	raceProgress = 64 << 10
)

// connRace opens connections one after another until discovery answers the first call on one of them. Each connection is a
// racer with its own goroutine, which uses only results and received. The goroutine of Client.Run owns the other fields.
type connRace struct {
	client   *Client
	results  chan callResult
	received atomic.Int64 // number of response bytes on all connections

	racers              int       // number of racers with a call in flight
	hasLongTimeout      bool      // true if the call of one racer has callTimeout
	receivedAtLastStart int64     // value of received at the last call of startRacer
	lastFailure         time.Time // time of the last reported failure, or the start of the race
}

// race starts a race of connections and returns the first successful result, or the error of ctx.
func (d *Client) race(ctx context.Context) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the other racers.
	r := &connRace{client: d, results: make(chan callResult), lastFailure: time.Now()}
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return callResult{err: ctx.Err()}
		case <-next.C:
			next.Reset(raceInterval)
			r.startRacer(ctx)
		case result := <-r.results:
			if r.finishRacer(result) {
				return result
			}
		}
	}
}

// startRacer starts one more racer, on a goroutine that ends with its call or with ctx. It starts none while a response makes
// progress, because several long lists that are parsed concurrently on one core would all time out.
func (r *connRace) startRacer(ctx context.Context) {
	received := r.received.Load()
	progress := received-r.receivedAtLastStart >= raceProgress
	r.receivedAtLastStart = received
	if r.racers >= maxRacers || progress {
		return
	}
	r.racers++
	timeout, longTimeout := raceTimeout, !r.hasLongTimeout
	if longTimeout {
		timeout, r.hasLongTimeout = callTimeout, true
	}
	target := r.client.target(raceHold)
	go func() {
		result := target.firstCall(ctx, timeout, &r.received)
		result.hasLongTimeout = longTimeout
		select {
		case r.results <- result:
		case <-ctx.Done():
			if result.err == nil {
				result.conn.close()
			}
		}
	}()
}

// finishRacer handles the result of one racer and reports whether the racer won the race. It reports at most one failure per
// failureLogInterval.
func (r *connRace) finishRacer(result callResult) (won bool) {
	r.racers--
	if result.err == nil && result.detach() {
		return true
	}
	if result.hasLongTimeout {
		r.hasLongTimeout = false
	}
	r.client.dropRejectedRevision(result.err)
	if result.err != nil && time.Since(r.lastFailure) >= failureLogInterval {
		r.client.reportFailure(result.err)
		r.lastFailure = time.Now()
	}
	return false
}
