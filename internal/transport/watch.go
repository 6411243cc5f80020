package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// Times of the watch.
const (
	holdFor   = time.Second // a call waits so long for news: one that is lost leaves the node deaf for as long
	graceFor  = time.Second // and its answer may be so much later
	againLong = time.Second // between calls that fail
	againOnce = 50 * time.Millisecond
)

// Watch follows discovery over one connection at a time. While it is silent the last list stays.
type Watch struct {
	Addr   string
	Rev    uint64 // what is known
	Whole  bool   // nothing is known: ask for everything
	Limits Limits
	Log    *zerolog.Logger
	Count  *Counters

	Listed func(*protocol.List)
	Missed func()
	Asked  <-chan struct{} // where set, each run of calls waits for a word

	mu    sync.Mutex
	addr  string // where it has moved to
	leave context.CancelFunc
}

// Move makes the watch follow discovery at another address from now on. There it asks for the whole list: what
// one address told last need not be what the other counts from.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	if w.leave != nil {
		w.leave()
	}
}

// begin readies a run of calls, which ends with the context.
func (w *Watch) begin() (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	w.leave = cancel
	if w.addr != "" {
		w.Addr, w.Whole, w.addr = w.addr, true, ""
	}
	return ctx, cancel
}

// Run follows discovery for good.
func (w *Watch) Run() {
	pause := againOnce
	for moved := false; ; {
		ctx, cancel := w.begin()
		if w.Asked != nil && !moved {
			select {
			case <-w.Asked:
			case <-ctx.Done():
			}
		}
		began := time.Now()
		if err := w.follow(ctx); ctx.Err() == nil {
			if w.Missed != nil {
				w.Missed()
			}
			w.Log.Warn().Err(err).Msg("discovery's watch ended")
			if pause = min(2*pause, againLong); time.Since(began) > pause {
				pause = againOnce
			}
			if w.Asked == nil { // else the word to ask again is another's
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		}
		if moved = ctx.Err() != nil; moved { // nothing was missed: go on there at once
			pause = againOnce
		}
		cancel()
	}
}

// follow makes one call after another, each as soon as the last is answered, until one fails.
func (w *Watch) follow(ctx context.Context) error {
	d := net.Dialer{Timeout: max(w.Limits.Connect, againLong), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", w.Addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	began, calls := time.Now(), 0
	defer func() {
		conn.Close()
		logEnd(w.Log, "discovery", w.Addr, discoveryEnded, began, calls)
	}()
	in, out := newRing(conn, conn, w.Limits.ring()), newRing(conn, conn, leastRing)
	br := bufio.NewReaderSize(&in, lookahead)
	for {
		out.took(protocol.AppendWatch(out.room(), w.Addr, w.Whole, w.Rev, holdFor))
		conn.SetDeadline(time.Now().Add(holdFor + graceFor))
		if err := out.Flush(); err != nil {
			return err
		}
		in.patient = true // the deadline above guards it
		in.Allow(protocol.MostList)
		calls++
		list, last, err := protocol.ReadList(br)
		if in.err != nil {
			return in.err
		}
		if err != nil {
			w.Count.ListsBad.Add(1)
			return err
		}
		w.Count.Lists.Add(1)
		w.Rev, w.Whole = list.Rev, false
		if list.All || len(list.Targets) > 0 {
			w.Listed(&list)
		}
		if last {
			return errors.New("discovery closed the connection")
		}
	}
}
