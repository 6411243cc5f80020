package node

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Signals holds the channels of the signals that Run handles. Each kind has its own channel with room for one signal, so many
// signals of one kind never displace another kind.
type Signals struct {
	terminate chan os.Signal // SIGTERM and SIGINT, which request a drain and the end of Run
	reload    chan os.Signal // SIGHUP, which requests a reload of the configuration
	counters  chan os.Signal // SIGUSR1, which requests a log line with the counters
}

// CatchSignals starts to catch the node's signals for the whole process. Further calls return the same channels. A program
// calls it before it reads any file, because an uncaught signal would end the process.
var CatchSignals = sync.OnceValue(func() Signals {
	s := Signals{
		terminate: make(chan os.Signal, 1),
		reload:    make(chan os.Signal, 1),
		counters:  make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // otherwise a write to a log that nothing reads would end the process
	return s
})
