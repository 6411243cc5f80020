package node

import "time"

// ReloadRetryInterval is the delay before a failed reload is retried.
const ReloadRetryInterval = 100 * time.Millisecond

// reloadRetryTimeout is the time after SIGHUP during which a failed reload may be scheduled again.
const reloadRetryTimeout = 20 * time.Second

// Serve runs a node from New to Close. It returns nil once the drain after SIGTERM or SIGINT has ended, or the error of Start.
func Serve(c *Config, signals Signals) error {
	n := New(c)
	defer n.Close()
	if err := n.Start(); err != nil {
		return err
	}
	n.Run(signals)
	return nil
}

// Run handles the signals. It returns once the drain after SIGTERM or SIGINT has ended.
func (n *Node) Run(signals Signals) {
	drained := make(chan struct{})
	for {
		select {
		case <-signals.counters:
			n.LogCounters("counters")
		case <-signals.reload: // handled during a drain too, because open requests may still be forwarded
			n.reloadRetry = reloadRetry{deadline: time.Now().Add(reloadRetryTimeout)}
			if err := n.reloadWithRetry(); err != nil {
				n.log.Error().Err(err).Msg("configuration reload failed")
			}
		case <-n.reloadRetry.due:
			_ = n.reloadWithRetry() // the error of the first attempt is in the log
		case <-signals.terminate:
			signals.terminate = nil // a second signal must not start a second drain
			go func() {             // ends with the last request
				n.Drain()
				close(drained)
			}()
		case <-drained:
			n.LogCounters("stopped")
			return
		}
	}
}

// reloadRetry is the scheduled retry of a failed reload. The zero value means that none is scheduled.
type reloadRetry struct {
	due      <-chan time.Time // channel that delivers a value when the retry is due; nil if none is scheduled
	deadline time.Time        // time after which no retry may be scheduled
}

// reloadWithRetry reloads the configuration. After an error that may be temporary it schedules another attempt, because the
// platform does not send SIGHUP again.
func (n *Node) reloadWithRetry() error {
	n.reloadRetry.due = nil
	err := n.Reload()
	if mayBeTemporary(err) && time.Now().Before(n.reloadRetry.deadline) {
		n.reloadRetry.due = time.After(ReloadRetryInterval)
	}
	return err
}

// Reload reads the platform's configuration again and switches to the file's discovery address if that has changed. The
// running parts keep all other values of the start. After an error nothing has changed.
func (n *Node) Reload() error {
	next, err := n.config.reload(n.discovery.SwitchTo)
	if err != nil {
		return err
	}
	n.config = next
	n.logKnownListError()
	n.config.releaseKnownList()
	n.log.Info().Str("discovery", next.fileDiscovery).Msg("configuration reloaded")
	return nil
}
