package node

import (
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

const (
	addressTimeout = 20 * time.Second // for the node's own addresses; the platform wants it ready in 30 s
	addressRetry   = 100 * time.Millisecond
)

// LoadConfigAtStart is loadConfig, again and again for addressTimeout while the machine lacks what it takes to read a file.
func LoadConfigAtStart() (*Config, error) {
	for deadline := time.Now().Add(addressTimeout); ; time.Sleep(addressRetry) {
		c, err := loadConfig()
		if !netio.LacksResources(err) || time.Now().After(deadline) {
			return c, err
		}
	}
}

// retryOpen opens one of the node's own descriptors, again and again for addressTimeout while its address is in use, as
// the previous process under the same address may still have requests open, or the machine lacks what it takes. Any other
// error is returned at once.
func retryOpen(log *zerolog.Logger, open func() error) error {
	for deadline := time.Now().Add(addressTimeout); ; time.Sleep(addressRetry) {
		err := open()
		inUse, short := errors.Is(err, syscall.EADDRINUSE), netio.LacksResources(err)
		switch {
		case !inUse && !short || time.Now().After(deadline):
			return err
		case inUse:
			log.Warn().Err(err).Msg("waiting for an address in use")
		default:
			log.Warn().Err(err).Msg("waiting for what this machine lacks")
		}
	}
}
