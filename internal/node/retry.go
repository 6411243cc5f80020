package node

import (
	"errors"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/netio"
)

// A start retries while an address is in use or the machine lacks resources. The timeout leaves a margin below 30 s, within
// which the platform expects the node to be ready.
const (
	startRetryTimeout  = 20 * time.Second
	startRetryInterval = 100 * time.Millisecond
)

// LoadConfigAtStart reads the configuration file that GW_CONFIG names. It retries for startRetryTimeout while the machine has
// no descriptors or memory left to read the file.
func LoadConfigAtStart() (*Config, error) {
	for deadline := time.Now().Add(startRetryTimeout); ; time.Sleep(startRetryInterval) {
		c, err := loadConfig()
		if !netio.IsResourceExhaustion(err) || time.Now().After(deadline) {
			return c, err
		}
	}
}

// retryOpen calls open until it succeeds. It retries for startRetryTimeout while the address is in use or the machine has no
// resources left, and returns any other error at once. An address stays in use while the previous process that listens on it
// has open requests.
func retryOpen(log *zerolog.Logger, open func() error) error {
	for deadline := time.Now().Add(startRetryTimeout); ; time.Sleep(startRetryInterval) {
		err := open()
		addressInUse, lacksResources := errors.Is(err, syscall.EADDRINUSE), netio.IsResourceExhaustion(err)
		switch {
		case !addressInUse && !lacksResources || time.Now().After(deadline):
			return err
		case addressInUse:
			log.Warn().Err(err).Msg("waiting for an address in use")
		default:
			log.Warn().Err(err).Msg("waiting for machine resources")
		}
	}
}
