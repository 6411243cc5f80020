package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"cherrygap/internal/netio"
)

// Parameters of a race of connections.
const (
	// raceHold is the hold of the first call on a racing connection: a working discovery answers it at once.
	raceHold = time.Millisecond
	// raceInterval is the time between the starts of two connections. It is well below the shortest drain grace period.
	raceInterval = 80 * time.Millisecond
	// maxRacers bounds the connections of a race that are open at once.
	maxRacers = netio.MaxDiscoveryConns
	// raceTimeout bounds the first call of a connection. One call at a time is patient: it has callTimeout, in case
	// discovery is slow.
	raceTimeout = 3 * raceInterval
	// raceProgress is how many bytes of responses must arrive in raceInterval for calls to get more time.
	raceProgress = 64 << 10
)

// connRace opens connections one after another until the first call on one of them is answered. Each connection, a racer,
// has a goroutine, which uses only results and received. The other fields belong to the goroutine of Client.Run.
type connRace struct {
	client   *Client
	results  chan callResult
	received atomic.Int64 // bytes of responses on all connections

	racers          int   // first calls in flight
	hasPatient      bool  // one of them is patient
	receivedAtStart int64 // value of received at the last call of start
	lastFailure     time.Time
}

// race returns the first successful first call of several connections, or the error of ctx.
func (d *Client) race(ctx context.Context) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other racers
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
			if r.finish(result) {
				return result
			}
		}
	}
}

// start starts one more racer, on a goroutine that ends with its call or with ctx. It starts none while a response makes
// progress: several long lists parsed side by side on one core would all time out.
func (r *connRace) start(ctx context.Context) {
	received := r.received.Load()
	progress := received-r.receivedAtStart >= raceProgress
	r.receivedAtStart = received
	if r.racers >= maxRacers || progress {
		return
	}
	r.racers++
	timeout, patient := raceTimeout, !r.hasPatient
	if patient {
		timeout, r.hasPatient = callTimeout, true
	}
	target := r.client.target(raceHold)
	go func() {
		result := target.firstCall(ctx, timeout, &r.received)
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

// finish takes the result of one racer and reports whether it won the race. It logs failures once per failureLogInterval.
func (r *connRace) finish(result callResult) (won bool) {
	r.racers--
	if result.err == nil && result.detach() {
		return true
	}
	if result.patient {
		r.hasPatient = false
	}
	r.client.forgetRevision(result.err)
	if result.err != nil && time.Since(r.lastFailure) >= failureLogInterval {
		r.client.reportFailure(result.err)
		r.lastFailure = time.Now()
	}
	return false
}
