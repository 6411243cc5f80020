package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// Times of the watch.
const (
	holdFor   = time.Second             // a call waits so long for news: one that is lost leaves the node deaf for as long
	graceFor  = 1300 * time.Millisecond // and its answer may be so much later: discovery may turn a call away 2 s after it came, or tell then
	hopeless  = holdFor + graceFor      // then it is given up: this, the module's askSpan and the next call's answer stay under 6 s
	againLong = time.Second             // a dial may take so long; between two lines on calls that fail
	againOnce = 50 * time.Millisecond   // between two connections, however soon they end
	lookHold  = time.Millisecond        // the first call on a connection is answered at once,
	lookEvery = 80 * time.Millisecond   // or another is tried beside it, as no drain's grace is over by then,
	mostLooks = 6                       // are out at once: none but these and one that was answered is open
	lookFor   = 3 * lookEvery           // and given up after so long; but for one, should discovery be slow,
	lookFlow  = 64 << 10                // and while so many bytes of answers come in between two: a long list takes its time
)

// DiscoveryClient follows discovery over one connection at a time. While it is silent the last list stays.
//
// Where lists are pushed, what discovery's agent on this machine has counts as told whether or not a call is open, and
// a server that it says is draining must get nothing new a grace of 250 to 500 ms later. So while no call is known to
// be answered the watch looks for one that is: a new connection each lookEvery, whatever became of those before, as a
// call that came while discovery was down may never be answered. It could harm a discovery that is no agent: where
// the node has to ask for lists (Asked) it makes one call at a time, when the module says so.
type DiscoveryClient struct {
	Addr     string
	Revision uint64 // what is known
	Full     bool   // nothing is known: ask for everything
	Limits   Limits
	Log      *zerolog.Logger
	Counters *Counters

	OnList       func(*protocol.EndpointList)
	OnFailure    func()
	PollRequests <-chan struct{} // where set, each run of calls waits for a word

	sure bool // discovery answered, and closed the connection in good order

	came *atomic.Int64 // where set, of a look: bytes of answers that have come in to it and others

	mu    sync.Mutex
	addr  string // where it has moved to
	leave context.CancelFunc
	ended bool
}

// SwitchTo makes the watch follow discovery at another address from now on. There it asks for the whole list: what
// one address told last need not be what the other counts from.
func (w *DiscoveryClient) SwitchTo(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	if w.leave != nil {
		w.leave()
	}
}

// Stop ends Run.
func (w *DiscoveryClient) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.leave != nil {
		w.leave()
	}
}

// begin readies a run of calls, which ends with the context. It tells whether discovery has moved since the last run:
// then nothing was missed, and the run goes on there at once.
func (w *DiscoveryClient) begin() (ctx context.Context, cancel context.CancelFunc, moved, goOn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel = context.WithCancel(context.Background())
	w.leave = cancel
	if moved = w.addr != ""; moved {
		w.Addr, w.Full, w.addr = w.addr, true, ""
	}
	return ctx, cancel, moved, !w.ended
}

// Run follows discovery until Stop.
func (w *DiscoveryClient) Run() {
	for atOnce := false; ; {
		ctx, cancel, moved, goOn := w.begin()
		if !goOn {
			cancel()
			return
		}
		if w.PollRequests != nil && !moved && !atOnce {
			select {
			case <-w.PollRequests:
			case <-ctx.Done():
			}
		}
		began := time.Now()
		err := w.follow(ctx)
		if atOnce = w.doubts(err); ctx.Err() == nil && !atOnce {
			w.miss(err)
			if pause := againOnce - time.Since(began); w.PollRequests == nil && pause > 0 { // else the word to ask again is another's
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		}
		cancel()
	}
}

// miss tells of a call that failed.
func (w *DiscoveryClient) miss(err error) {
	if w.OnFailure != nil {
		w.OnFailure()
	}
	w.Log.Warn().Err(err).Msg("discovery's watch ended")
}

// follow makes one call after another, each as soon as the last is answered, until one fails.
func (w *DiscoveryClient) follow(ctx context.Context) error {
	var a answer
	switch {
	case w.PollRequests != nil: // a first call that is held shows nothing of a discovery that counts anew before the hold is over
		a = w.first(ctx, lookHold, hopeless)
	case w.sure: // discovery closes after each answer, perhaps: the hold keeps it from being asked without a pause
		a = w.first(ctx, holdFor, hopeless)
	default:
		a = w.look(ctx)
	}
	if w.sure = false; a.err != nil {
		return a.err
	}
	c := a.from
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	defer c.close()
	for {
		w.Counters.EndpointLists.Add(1)
		// A version that goes back is of a discovery which counts anew, as one that was restarted or stands in for another:
		// changes since a version that it never had are not to be had.
		back := !w.Full && !a.list.Full && a.list.Revision < w.Revision
		w.Revision, w.Full = a.list.Revision, back
		if a.list.Full || len(a.list.Endpoints) > 0 {
			list := a.list
			w.OnList(&list)
		}
		if a.last {
			w.sure = true
			return errors.New("discovery closed the connection")
		}
		if a = c.call(back, w.Revision, holdFor, hopeless); a.err != nil {
			w.doubts(a.err)
			return a.err
		}
	}
}

// doubts gives up the version that is known where discovery finds the call itself at fault, and tells whether it did:
// asked for what is newer than a version that it never had, discovery may refuse each call, and the node never be told.
func (w *DiscoveryClient) doubts(err error) bool {
	given := !w.Full && errors.Is(err, protocol.ErrCallRejected)
	w.Full = w.Full || given
	return given
}

// answer is what came of one call.
type answer struct {
	from    *calls
	list    protocol.EndpointList
	last    bool // the connection ends with it
	err     error
	patient bool        // of the one look that waits long
	keep    func() bool // the connection is not to end with its look
}

// look is the first answer of several connections, tried one after another until one is answered.
func (w *DiscoveryClient) look(ctx context.Context) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends those that lost
	got, next, patient, told, out := make(chan answer), time.NewTimer(0), false, time.Now(), 0
	var came atomic.Int64 // bytes of answers
	seen := int64(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		case <-next.C:
			// Several that take in and parse a long list beside each other on one core would all be late, and each given up.
			flows := came.Load()-seen >= lookFlow
			seen = came.Load()
			if next.Reset(lookEvery); out >= mostLooks || flows {
				continue
			}
			out++
			wait, long := lookFor, !patient
			if long {
				wait, patient = hopeless, true
			}
			look := w.at()
			look.came = &came
			go func() {
				a := look.first(ctx, lookHold, wait)
				a.patient = long
				select {
				case got <- a:
				case <-ctx.Done():
					if a.err == nil {
						a.from.close()
					}
				}
			}()
		case a := <-got:
			out--
			if a.err == nil && a.keep() {
				return a
			}
			patient = patient && !a.patient
			w.doubts(a.err)
			if a.err != nil && time.Since(told) >= againLong {
				w.miss(a.err)
				told = time.Now()
			}
		}
	}
}

// at is where, and from what on, a look asks: of its own, as the watch may have moved on when it ends.
func (w *DiscoveryClient) at() *DiscoveryClient {
	return &DiscoveryClient{Addr: w.Addr, Revision: w.Revision, Full: w.Full, Limits: w.Limits, Log: w.Log, Counters: w.Counters}
}

// first opens a connection and makes its first call, both within a time.
func (w *DiscoveryClient) first(ctx context.Context, hold, wait time.Duration) answer {
	until := time.Now().Add(wait)
	d := net.Dialer{Timeout: max(w.Limits.ConnectTimeout, againLong), Deadline: until, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		return answer{err: err}
	}
	c := &calls{
		conn: conn, addr: w.Addr, log: w.Log, count: w.Counters, began: time.Now(),
		in: newRing(conn, conn, w.Limits.ring()), out: newRing(conn, conn, leastRing),
	}
	if w.came != nil {
		c.in.sock = &flow{Conn: conn, came: w.came, until: until, last: until.Add(hopeless - wait)}
	}
	c.br = bufio.NewReaderSize(&c.in, lookahead)
	keep := context.AfterFunc(ctx, func() { conn.Close() })
	a := c.call(w.Full, w.Revision, hold, time.Until(until))
	c.in.sock = conn // the flow's time is over
	if a.keep = keep; a.err != nil {
		keep()
		c.close()
	}
	return a
}

// flow is a look's connection. An answer that goes on coming in has as much longer as lookFlow stands for, up to the time that
// a call has in any case. It is of the first call alone.
type flow struct {
	net.Conn
	came        *atomic.Int64
	until, last time.Time
	n           int
}

func (f *flow) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	f.came.Add(int64(n))
	if f.n += n; f.n >= lookFlow && f.until.Before(f.last) {
		f.until, f.n = f.until.Add(lookEvery), f.n-lookFlow
		if f.until.After(f.last) {
			f.until = f.last
		}
		f.Conn.SetReadDeadline(f.until)
	}
	return n, err
}

// calls is one connection to discovery.
type calls struct {
	conn    net.Conn
	addr    string
	log     *zerolog.Logger
	count   *Counters
	in, out ring
	br      *bufio.Reader
	began   time.Time
	made    int
}

// call asks for what is newer than a version, or for all, and waits for so long at most.
func (c *calls) call(whole bool, rev uint64, hold, wait time.Duration) answer {
	a := answer{from: c}
	c.out.took(protocol.AppendDiscoveryCall(c.out.room(), c.addr, whole, rev, hold))
	c.conn.SetDeadline(time.Now().Add(wait))
	if a.err = c.out.Flush(); a.err != nil {
		return a
	}
	c.in.patient = true // the deadline above guards it
	c.in.Allow(protocol.MaxListBytes)
	c.made++
	if a.list, a.last, a.err = protocol.ReadEndpointList(c.br); a.err == nil { // also where its end is the connection's
		return a
	}
	if c.in.err != nil {
		a.err = c.in.err
	} else {
		c.count.MalformedLists.Add(1)
	}
	return a
}

func (c *calls) close() {
	c.conn.Close()
	logEnd(c.log, "discovery", c.addr, discoveryEnded, c.began, c.made)
}
