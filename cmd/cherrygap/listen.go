package main

import (
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	addressTimeout = 20 * time.Second // for the node's own addresses; the platform wants it ready in 30 s
	addressRetry   = 100 * time.Millisecond
)

// retryWhileInUse opens one of the node's own sockets, again and again for addressTimeout while its address is in use:
// the previous process under the same address may still have requests open. Any other error is returned at once.
func retryWhileInUse(log *zerolog.Logger, open func() error) error {
	for deadline := time.Now().Add(addressTimeout); ; time.Sleep(addressRetry) {
		err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		log.Warn().Err(err).Msg("waiting for an address in use")
	}
}
