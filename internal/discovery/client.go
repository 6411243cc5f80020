package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// Times of calls to discovery.
const (
	// callHold is how long discovery holds a call without a change. A longer hold would delay the detection of a lost call.
	callHold = time.Second
	// responseGrace is how long after callHold the response may arrive: discovery may answer a call, or shed it, 2 s after
	// it arrived.
	responseGrace = 1300 * time.Millisecond
	// callTimeout bounds a call. In poll mode a lost call, the decision engine's poll interval and the next call together
	// take less than 6 s.
	callTimeout = callHold + responseGrace

	minConnectTimeout  = time.Second
	failureLogInterval = time.Second           // between two log lines of failed calls during one race
	reconnectInterval  = 50 * time.Millisecond // between the starts of two connections, at least
)

// errConnectionClosed is the end of a connection that discovery closed after a response, with Connection: close.
var errConnectionClosed = errors.New("discovery closed the connection")

// Client follows discovery over one connection at a time. While discovery does not answer, the last endpoint list stays in
// use.
//
// In watch mode the node must apply a change as soon as discovery's agent has it: a server that drains may get no new
// request after a grace period of 250 to 500 ms. Calls that were made while discovery was down may never be answered. So
// until a call is answered the Client races connections (connRace): it opens another one each raceInterval.
//
// In poll mode, with PollRequests, the Client makes one call at a time when the decision engine requests it. This mode is
// for a discovery that serves the whole fleet without local agents: races of all nodes would overload it.
//
// The exported fields are set before Run, which then owns Addr, Revision and NeedsFullList and calls OnList and OnFailure.
// SwitchTo and Stop may be called by any goroutine.
type Client struct {
	Addr          string
	Revision      uint64 // of the known endpoint list
	NeedsFullList bool   // the next call asks for the full list, because no list is known or its revision is of no use
	Limits        netio.Limits
	Log           *zerolog.Logger
	Counters      *Counters

	OnList       func(*protocol.EndpointList) // called for each full list and each change; may keep the list
	OnFailure    func()                       // called after a failed call; may be nil
	PollRequests <-chan struct{}              // nil: watch mode; otherwise each series of calls waits for an element

	closedInOrder bool // discovery closed the last connection after a response

	mu      sync.Mutex         // guards all below
	newAddr string             // address to switch to, or ""
	cancel  context.CancelFunc // cancels the current series of calls; nil before the first
	stopped bool
}

// SwitchTo makes the client follow discovery at another address. It first asks for the full list, because revisions of one
// address may mean nothing at another.
func (d *Client) SwitchTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newAddr = addr
	if d.cancel != nil {
		d.cancel()
	}
}

// Stop ends Run.
func (d *Client) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.cancel != nil {
		d.cancel()
	}
}

// seriesStart is the state of the client at the start of a series of calls. A series starts with a connection and ends
// with a failure, SwitchTo or Stop.
type seriesStart struct {
	switched bool // the series is the first at its address
	stopped  bool // Stop was called: no calls may be made
}

// begin starts a series of calls, which SwitchTo and Stop end by cancel.
func (d *Client) begin(cancel context.CancelFunc) seriesStart {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel = cancel
	start := seriesStart{switched: d.newAddr != "", stopped: d.stopped}
	if start.switched {
		d.Addr, d.NeedsFullList, d.newAddr = d.newAddr, true, ""
	}
	return start
}

// Run follows discovery on the caller's goroutine until Stop.
func (d *Client) Run() {
	immediately := false // the next series does not wait for a poll request
	for {
		ctx, cancel := context.WithCancel(context.Background())
		start := d.begin(cancel)
		if start.stopped {
			cancel()
			return
		}
		if !immediately && !start.switched {
			d.awaitPollRequest(ctx)
		}
		immediately = d.runSeries(ctx)
		cancel()
	}
}

// awaitPollRequest waits for the engine's request for a call in poll mode, or for the end of ctx.
func (d *Client) awaitPollRequest(ctx context.Context) {
	if d.PollRequests == nil {
		return
	}
	select {
	case <-d.PollRequests:
	case <-ctx.Done():
	}
}

// runSeries makes one series of calls. It reports whether the next one should start immediately, for the full list. In
// watch mode it otherwise returns reconnectInterval after its start or later; in poll mode the engine sets the pace.
func (d *Client) runSeries(ctx context.Context) (immediately bool) {
	startedAt := time.Now()
	err := d.follow(ctx)
	if d.forgetRevision(err) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	d.reportFailure(err)
	if pause := reconnectInterval - time.Since(startedAt); d.PollRequests == nil && pause > 0 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return false
}

// reportFailure logs a failed call and calls OnFailure.
func (d *Client) reportFailure(err error) {
	if d.OnFailure != nil {
		d.OnFailure()
	}
	d.Log.Warn().Err(err).Msg("discovery call failed")
}

// follow makes calls on one connection, each immediately after the last response, until one fails or ctx ends. It always
// returns an error.
func (d *Client) follow(ctx context.Context) error {
	result := d.connect(ctx)
	d.closedInOrder = false
	if result.err != nil {
		return result.err
	}
	conn := result.conn
	stopWatching := context.AfterFunc(ctx, func() { netio.CloseConn(conn.conn) }) // ends a call that waits
	defer stopWatching()
	defer conn.close()
	for {
		fullNext := d.applyList(&result.list)
		if result.last {
			d.closedInOrder = true
			return errConnectionClosed
		}
		call := protocol.DiscoveryCall{Full: fullNext, Revision: d.Revision, Hold: callHold}
		result = conn.call(call, callTimeout)
		if result.err != nil {
			d.forgetRevision(result.err)
			return result.err
		}
	}
}

// connect opens a connection and returns the result of its first call.
func (d *Client) connect(ctx context.Context) callResult {
	switch {
	case d.PollRequests != nil:
		// A short hold shows at once whether discovery's revision is lower than ours.
		return d.target(raceHold).firstCall(ctx, callTimeout, nil)
	case d.closedInOrder:
		// Discovery may close after each response; the hold keeps the client from calling without a pause.
		return d.target(callHold).firstCall(ctx, callTimeout, nil)
	}
	return d.race(ctx)
}

// applyList applies a response, and reports whether the next call must ask for the full list. That is so after a revision
// that is lower than the known one: discovery was restarted or replaced, and has no changes since a revision of its
// predecessor.
func (d *Client) applyList(list *protocol.EndpointList) (fullNext bool) {
	d.Counters.EndpointLists.Add(1)
	wentBack := !d.NeedsFullList && !list.Full && list.Revision < d.Revision
	d.Revision, d.NeedsFullList = list.Revision, wentBack
	if list.Full || len(list.Endpoints) > 0 {
		applied := *list // the next call overwrites list
		d.OnList(&applied)
	}
	return wentBack
}

// forgetRevision drops the known revision if discovery refused the call, and reports whether it did. Discovery may refuse
// every call that asks for changes since a revision that it never had.
func (d *Client) forgetRevision(err error) bool {
	forgotten := !d.NeedsFullList && errors.Is(err, protocol.ErrCallRejected)
	d.NeedsFullList = d.NeedsFullList || forgotten
	return forgotten
}

// target returns the address and first call of a new connection.
func (d *Client) target(hold time.Duration) callTarget {
	return callTarget{
		addr: d.Addr, first: protocol.DiscoveryCall{Full: d.NeedsFullList, Revision: d.Revision, Hold: hold},
		limits: d.Limits, log: d.Log, counters: d.Counters,
	}
}
