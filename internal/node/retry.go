package node

import (
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

// A start waits for addresses and resources. The platform wants the node ready within 30 s.
const (
	startRetryTimeout  = 20 * time.Second
	startRetryInterval = 100 * time.Millisecond
)

// LoadConfigAtStart reads the configuration that GW_CONFIG names. It retries for startRetryTimeout while the machine has no
// descriptors or memory left to read a file.
func LoadConfigAtStart() (*Config, error) {
	for deadline := time.Now().Add(startRetryTimeout); ; time.Sleep(startRetryInterval) {
		c, err := loadConfig()
		if !netio.IsResourceExhaustion(err) || time.Now().After(deadline) {
			return c, err
		}
	}
}

// retryOpen opens one of the node's own descriptors. It retries for startRetryTimeout while the address is in use or the
// machine has no resources left; any other error is returned at once. An address is in use as long as the previous process
// under it has requests open.
func retryOpen(log *zerolog.Logger, open func() error) error {
	for deadline := time.Now().Add(startRetryTimeout); ; time.Sleep(startRetryInterval) {
		err := open()
		inUse, lacksResources := errors.Is(err, syscall.EADDRINUSE), netio.IsResourceExhaustion(err)
		switch {
		case !inUse && !lacksResources || time.Now().After(deadline):
			return err
		case inUse:
			log.Warn().Err(err).Msg("waiting for an address in use")
		default:
			log.Warn().Err(err).Msg("waiting for machine resources")
		}
	}
}
