package transport

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/protocol"
)

// Times of the watch.
const (
	holdFor   = 20 * time.Second // a call waits so long for news
	graceFor  = 2 * time.Second  // and its answer may be so much later
	againLong = time.Second      // between calls that fail
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
}

// Run follows discovery for good.
func (w *Watch) Run() {
	pause := againOnce
	for {
		if w.Asked != nil {
			<-w.Asked
		}
		began := time.Now()
		err := w.follow()
		if w.Missed != nil {
			w.Missed()
		}
		w.Log.Warn().Err(err).Msg("discovery's watch ended")
		if pause = min(2*pause, againLong); time.Since(began) > pause {
			pause = againOnce
		}
		time.Sleep(pause)
	}
}

// follow makes one call after another, each as soon as the last is answered, until one fails.
func (w *Watch) follow() error {
	conn, err := net.DialTimeout("tcp", w.Addr, max(w.Limits.Connect, againLong))
	if err != nil {
		return err
	}
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
