package node

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals are the signals that Run handles. Each kind has a channel of its own with room for one signal, so that many of one
// kind never displace another.
type Signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT: drain and end
	reload    chan os.Signal // SIGHUP: read the configuration again
	counters  chan os.Signal // SIGUSR1: log the counters
}

// CatchSignals begins to catch the node's signals, for the whole process; further calls return the same channels. A program
// calls it before it reads anything, because an early signal would end the process by default.
var CatchSignals = sync.OnceValue(func() Signals {
	s := Signals{
		terminate: make(chan os.Signal, 1),
		reload:    make(chan os.Signal, 1),
		counters:  make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // by default a write to a log without a reader would end the process
	return s
})
