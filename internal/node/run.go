package node

import "time"

// ReloadRetryInterval is the time between two attempts of a reload.
const ReloadRetryInterval = 100 * time.Millisecond

// reloadRetryTimeout is the time after SIGHUP within which retries of a reload are scheduled.
const reloadRetryTimeout = 20 * time.Second

// Serve runs a node from New to Close. It returns once the drain that SIGTERM begins is over, or with the error of Start.
func Serve(c *Config, caught Signals) error {
	n := New(c)
	defer n.Close()
	if err := n.Start(); err != nil {
		return err
	}
	n.Run(caught)
	return nil
}

// Run carries out the signals' requests. It returns once the drain that SIGTERM begins is over.
func (n *Node) Run(caught Signals) {
	drained := make(chan struct{})
	for {
		select {
		case <-caught.counters:
			n.LogCounters("counters")
		case <-caught.reload: // also during a drain, as open requests may still be forwarded
			n.reloadRetry = reloadRetry{until: time.Now().Add(reloadRetryTimeout)}
			if err := n.reloadAndRetry(); err != nil {
				n.log.Error().Err(err).Msg("configuration reload failed")
			}
		case <-n.reloadRetry.due:
			_ = n.reloadAndRetry() // the log has the first attempt's error
		case <-caught.terminate:
			caught.terminate = nil // a second signal starts no second drain
			go func() {            // ends with the last request
				n.Drain()
				close(drained)
			}()
		case <-drained:
			n.LogCounters("stopped")
			return
		}
	}
}

// reloadRetry is the scheduled retry of a reload that failed. The zero value schedules none.
type reloadRetry struct {
	due   <-chan time.Time // the next attempt; nil for none
	until time.Time        // the last moment at which a retry may be scheduled
}

// reloadAndRetry reloads the configuration. After an error that may be temporary it schedules another attempt, because SIGHUP
// is not sent again.
func (n *Node) reloadAndRetry() error {
	n.reloadRetry.due = nil
	err := n.Reload()
	if mayBeReadLater(err) && time.Now().Before(n.reloadRetry.until) {
		n.reloadRetry.due = time.After(ReloadRetryInterval)
	}
	return err
}

// Reload reads the platform's configuration again, and switches to the discovery address in it. All other values stay as
// they were at the start. After an error nothing has changed.
func (n *Node) Reload() error {
	next, err := n.config.reload(n.discovery.SwitchTo)
	if err != nil {
		return err
	}
	n.config = next
	n.warnOfKnownList()
	n.config.releaseKnownList()
	n.log.Info().Str("discovery", next.fileDiscovery).Msg("configuration reloaded")
	return nil
}
