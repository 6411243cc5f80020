package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
	"cherrygap/internal/protocol"
)

// Times of calls to discovery.
const (
	// callHold is the time for which discovery holds a call without a change. A longer hold would delay the detection of a
	// lost call.
	callHold = time.Second
	// responseGrace is the time after callHold within which the response may arrive. Discovery may answer or shed a call
	// 2 s after it arrived.
	responseGrace = 1300 * time.Millisecond
	// callTimeout is the maximum duration of a call. In poll mode a lost call, the decision engine's poll interval and the
	// next call together take less than 6 s.
	callTimeout = callHold + responseGrace

	// minConnectTimeout is the minimum connect timeout. It replaces a shorter timeout of Limits.
	minConnectTimeout = time.Second
	// failureLogInterval is the minimum time between two log lines for failed calls of one race.
	failureLogInterval = time.Second
	// reconnectInterval is the minimum time between the starts of two series of calls in watch mode.
	reconnectInterval = 50 * time.Millisecond
)

// errConnectionClosed is the error for a connection that must not carry another call: discovery closes it after the response, has
// sent status 101, or has sent bytes behind the response.
var errConnectionClosed = errors.New("connection not reusable after discovery's response")

// Client follows discovery over one connection at a time. While discovery does not answer, the last endpoint list stays in
// use.
//
// In watch mode the node must apply a change as soon as discovery's agent has it, because a draining server must get no new
// request after a grace period of 250 to 500 ms. Discovery may never answer calls that were made while it was down. So the
// Client races connections until a call is answered (connRace): it opens another one every raceInterval.
//
// In poll mode, with PollRequests, the Client makes one call at a time when the decision engine requests it. This mode is
// for a discovery that serves the whole fleet without local agents. Races of all nodes would overload it.
//
// The caller sets the exported fields before Run. Run then owns Addr, Revision and NeedsFullList, and calls OnList and
// OnFailure. SwitchTo, Stop and HasNews are safe for concurrent use.
type Client struct {
	Addr          string // host:port of discovery
	Revision      uint64 // revision of the known endpoint list
	NeedsFullList bool   // true if the next call asks for the full list, because no list is known or Revision is unusable
	Limits        netio.Limits
	Log           *zerolog.Logger
	Counters      *Counters

	OnList       func(*protocol.EndpointList) // called for each full list and each change; may keep the list
	OnFailure    func()                       // called after a failed call; may be nil
	PollRequests <-chan struct{}              // poll requests of the decision engine; nil in watch mode

	following atomic.Pointer[connection] // connection of the current series of calls; nil without one

	closedAfterResponse bool // true if the last connection ended after a response (errConnectionClosed)

	mu      sync.Mutex         // guards the fields below
	newAddr string             // address to switch to; empty if there is none
	cancel  context.CancelFunc // cancels the current series of calls; nil before the first series
	stopped bool               // true after Stop
}

// SwitchTo makes the client follow discovery at another address. The client first asks for the full list there, because a
// revision of one address may be unknown at another.
func (d *Client) SwitchTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newAddr = addr
	if d.cancel != nil {
		d.cancel()
	}
}

// Stop makes Run return.
func (d *Client) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.cancel != nil {
		d.cancel()
	}
}

// HasNews reports whether discovery has sent what was not passed to OnList yet. Any goroutine may call it.
func (d *Client) HasNews() bool {
	conn := d.following.Load()
	return conn != nil && conn.news.hasNews(conn.conn)
}

// seriesStart is the state of the client at the start of a series of calls. A series starts with a connection and ends
// with a failure, SwitchTo or Stop.
type seriesStart struct {
	switched bool // true if the series is the first after SwitchTo
	stopped  bool // true after Stop, when the client must make no more calls
}

// beginSeries starts a series of calls. SwitchTo and Stop end the series by calling cancel.
func (d *Client) beginSeries(cancel context.CancelFunc) seriesStart {
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
	immediately := false // true if the next series does not wait for a poll request
	for {
		ctx, cancel := context.WithCancel(context.Background())
		start := d.beginSeries(cancel)
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

// awaitPollRequest waits in poll mode until the decision engine requests a call or ctx ends. In watch mode it returns
// immediately.
func (d *Client) awaitPollRequest(ctx context.Context) {
	if d.PollRequests == nil {
		return
	}
	select {
	case <-d.PollRequests:
	case <-ctx.Done():
	}
}

// runSeries makes one series of calls. It reports whether the next series must start immediately with a call for the full
// list. Otherwise it takes at least reconnectInterval in watch mode. In poll mode the decision engine determines the rate.
func (d *Client) runSeries(ctx context.Context) (immediately bool) {
	startedAt := time.Now()
	err := d.follow(ctx)
	if d.dropRejectedRevision(err) {
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

// reportFailure calls OnFailure and logs a failed call.
func (d *Client) reportFailure(err error) {
	if d.OnFailure != nil {
		d.OnFailure()
	}
	d.Log.Warn().Err(err).Msg("discovery call failed")
}

// follow makes calls on one connection until a call fails or ctx ends. Each call immediately follows the previous response.
// The error is never nil.
func (d *Client) follow(ctx context.Context) error {
	result := d.connect(ctx)
	d.closedAfterResponse = false
	if result.err != nil {
		return result.err
	}
	conn := result.conn
	stopWatching := context.AfterFunc(ctx, func() { netio.CloseConn(conn.conn) }) // ends a held call
	defer stopWatching()
	defer conn.close()
	d.following.Store(conn)
	defer d.following.Store(nil)
	for {
		fullNext := d.applyList(&result.list)
		conn.news.applied()
		if result.connectionCloses {
			d.closedAfterResponse = true
			return errConnectionClosed
		}
		call := protocol.DiscoveryCall{Full: fullNext, Revision: d.Revision, Hold: callHold}
		result = conn.call(call, callTimeout)
		if result.err != nil {
			d.dropRejectedRevision(result.err)
			return result.err
		}
	}
}

// connect opens a connection and returns the result of its first call.
func (d *Client) connect(ctx context.Context) callResult {
	switch {
	case d.PollRequests != nil:
		// With a short hold the response shows at once whether discovery's revision is lower than the known one.
		return d.target(raceHold).firstCall(ctx, callTimeout, nil)
	case d.closedAfterResponse:
		// Discovery may close the connection after each response. The hold prevents calls without a pause.
		return d.target(callHold).firstCall(ctx, callTimeout, nil)
	}
	return d.race(ctx)
}

// applyList applies a response and reports whether the next call must ask for the full list. It must if the revision is
// lower than the known one. Then discovery was restarted or replaced, and has no changes since its predecessor's revision.
func (d *Client) applyList(list *protocol.EndpointList) (fullNext bool) {
	d.Counters.EndpointLists.Add(1)
	revisionDecreased := !d.NeedsFullList && !list.Full && list.Revision < d.Revision
	d.Revision, d.NeedsFullList = list.Revision, revisionDecreased
	if list.Full || len(list.Endpoints) > 0 {
		applied := *list // copy for OnList, because the next call overwrites list
		d.OnList(&applied)
	}
	return revisionDecreased
}

// dropRejectedRevision drops the known revision if discovery rejected the call, and reports whether it dropped one.
// Discovery may reject every call that asks for changes since a revision that it never had.
func (d *Client) dropRejectedRevision(err error) bool {
	dropped := !d.NeedsFullList && errors.Is(err, protocol.ErrCallRejected)
	d.NeedsFullList = d.NeedsFullList || dropped
	return dropped
}

// target returns the address and first call of a new connection.
func (d *Client) target(hold time.Duration) callTarget {
	return callTarget{
		addr: d.Addr, first: protocol.DiscoveryCall{Full: d.NeedsFullList, Revision: d.Revision, Hold: hold},
		limits: d.Limits, log: d.Log, counters: d.Counters,
	}
}
