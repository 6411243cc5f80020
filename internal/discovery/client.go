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
	pollHold           = time.Second             // a call waits so long for news: one that is lost leaves the node without for as long
	pollGrace          = 1300 * time.Millisecond // and its answer may be so much later: discovery may reject a call 2 s after it came, or answer then
	pollTimeout        = pollHold + pollGrace    // then it is given up: this, the engine's poll interval and the next call's answer stay under 6 s
	minConnectTimeout  = time.Second
	failureLogInterval = time.Second           // between two log lines on calls that fail, while connections race
	reconnectPause     = 50 * time.Millisecond // between the begins of two connections, however soon they end
)

// errDiscoveryClosed is that discovery answered and closed the connection in good order.
var errDiscoveryClosed = errors.New("discovery closed the connection")

// Client follows discovery over one connection at a time. While it is silent the last list stays.
//
// Where lists are pushed, what discovery's agent on this machine has counts as known whether or not a call is open, and
// a server that it says is draining must get nothing new a grace of 250 to 500 ms later. So while no call is known to
// be answered the client races connections (connRace): a new one each raceInterval, whatever became of those before, as a
// call that came while discovery was down may never be answered. It could harm a discovery that is no agent: where
// the node has to poll for lists (PollRequests) the client makes one call at a time, when the engine says so.
//
// The exported fields are set before Run, which then owns Addr, Revision and Full; it calls OnList and OnFailure.
type Client struct {
	Addr     string
	Revision uint64 // that is known
	Full     bool   // none is: ask for everything
	Limits   netio.Limits
	Log      *zerolog.Logger
	Counters *Counters

	OnList       func(*protocol.EndpointList)
	OnFailure    func()          // a call failed; may be nil
	PollRequests <-chan struct{} // where set, each run of calls waits for one

	closedInOrder bool // the last connection, by a discovery that had answered

	mu      sync.Mutex // guards all below
	newAddr string     // to switch to, or ""
	cancel  context.CancelFunc
	stopped bool
}

// SwitchTo makes the client follow discovery at another address from now on. There it asks for the full list: what
// one address sent last need not be what the other counts from.
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

// begin readies a run of calls, which ends with the context. It reports whether the address has changed since the last
// run: then nothing was missed, and the run goes on there at once.
func (d *Client) begin() (ctx context.Context, cancel context.CancelFunc, switched, goOn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, cancel = context.WithCancel(context.Background())
	d.cancel = cancel
	if switched = d.newAddr != ""; switched {
		d.Addr, d.Full, d.newAddr = d.newAddr, true, ""
	}
	return ctx, cancel, switched, !d.stopped
}

// Run follows discovery on the caller's goroutine until Stop.
func (d *Client) Run() {
	for atOnce := false; ; {
		ctx, cancel, switched, goOn := d.begin()
		if !goOn {
			cancel()
			return
		}
		if d.PollRequests != nil && !switched && !atOnce {
			select {
			case <-d.PollRequests:
			case <-ctx.Done():
			}
		}
		startedAt := time.Now()
		err := d.follow(ctx)
		if atOnce = d.forgetRevision(err); ctx.Err() == nil && !atOnce {
			d.reportFailure(err)
			// Where the node polls, the engine paces it.
			if pause := reconnectPause - time.Since(startedAt); d.PollRequests == nil && pause > 0 {
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		}
		cancel()
	}
}

// reportFailure tells of a call that failed.
func (d *Client) reportFailure(err error) {
	if d.OnFailure != nil {
		d.OnFailure()
	}
	d.Log.Warn().Err(err).Msg("discovery call failed")
}

// follow makes one call after another, each as soon as the last is answered, until one fails.
func (d *Client) follow(ctx context.Context) error {
	var result callResult
	switch {
	case d.PollRequests != nil: // a first call that is held shows nothing of a discovery that counts anew before the hold is over
		result = d.target().firstCall(ctx, raceHold, pollTimeout, nil)
	case d.closedInOrder: // discovery closes after each answer, perhaps: the hold keeps it from being asked without a pause
		result = d.target().firstCall(ctx, pollHold, pollTimeout, nil)
	default:
		result = d.race(ctx)
	}
	if d.closedInOrder = false; result.err != nil {
		return result.err
	}
	conn := result.conn
	defer context.AfterFunc(ctx, func() { netio.CloseConn(conn.conn) })()
	defer conn.close()
	for {
		fullNext := d.takeList(&result.list)
		if result.last {
			d.closedInOrder = true
			return errDiscoveryClosed
		}
		if result = conn.call(fullNext, d.Revision, pollHold, pollTimeout); result.err != nil {
			d.forgetRevision(result.err)
			return result.err
		}
	}
}

// takeList takes over an answer, and reports whether the next call has to ask for everything. A revision that goes back
// is of a discovery which counts anew, as one that was restarted or stands in for another: changes since a revision that
// it never had are not to be had.
func (d *Client) takeList(list *protocol.EndpointList) (fullNext bool) {
	d.Counters.EndpointLists.Add(1)
	back := !d.Full && !list.Full && list.Revision < d.Revision
	d.Revision, d.Full = list.Revision, back
	if list.Full || len(list.Endpoints) > 0 {
		taken := *list
		d.OnList(&taken)
	}
	return back
}

// forgetRevision gives up the revision that is known where discovery rejects the call itself, and reports whether it did:
// asked for what is newer than a revision that it never had, discovery may reject each call, and the node never learn of a change.
func (d *Client) forgetRevision(err error) bool {
	forgotten := !d.Full && errors.Is(err, protocol.ErrCallRejected)
	d.Full = d.Full || forgotten
	return forgotten
}

// target is where to call, and what to ask for, as of now.
func (d *Client) target() callTarget {
	return callTarget{addr: d.Addr, revision: d.Revision, full: d.Full, limits: d.Limits, log: d.Log, counters: d.Counters}
}
