package node

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals are the signals that the node handles. Each kind has a channel of its own with room for one, so that many
// of one kind never displace another.
type Signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT: drain and end
	reload    chan os.Signal // SIGHUP: read the configuration again
	counters  chan os.Signal // SIGUSR1: log the counters
}

// CatchSignals begins to catch the node's signals, once in the process. main calls it before anything is read: by default
// a signal that comes early would end the process.
var CatchSignals = sync.OnceValue(func() Signals {
	s := Signals{
		terminate: make(chan os.Signal, 1),
		reload:    make(chan os.Signal, 1),
		counters:  make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // from a log whose reader has gone: by default it ends the process
	return s
})
