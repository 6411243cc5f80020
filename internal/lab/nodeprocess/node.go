package nodeprocess

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"cherrygap/internal/protocol"
)

const (
	readyCheckInterval = 20 * time.Millisecond
	readyCheckTimeout  = time.Second
)

// NotReadyError is the error of a node that did not become ready.
type NotReadyError struct {
	Name    string
	After   time.Duration // since the wait began
	Exited  bool          // the process ended before it was ready
	LogLine string        // last line of the process's log
}

// Error names the node and the last line of its log.
func (e *NotReadyError) Error() string {
	if e.Exited {
		return fmt.Sprintf("%s ended during its start: %s", e.Name, e.LogLine)
	}
	return fmt.Sprintf("%s is not ready %v after its start: %s", e.Name, e.After.Round(time.Millisecond), e.LogLine)
}

// ConfigPath returns the path of a node's configuration file in dir.
func ConfigPath(dir, name string) string { return filepath.Join(dir, name+".json") }

// WriteConfig writes a node's configuration file to dir.
func WriteConfig(dir, name string, config []byte) error {
	return os.WriteFile(ConfigPath(dir, name), config, 0o600)
}

// ConfigEnv returns the environment variables with which a node reads its configuration file in dir. They override those of the
// laboratory's own environment, except for GW_OPERATOR, which the node inherits.
func ConfigEnv(dir, name string) []string {
	return []string{"GW_CONFIG=" + ConfigPath(dir, name), "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}
}

// AwaitReady waits until the node at addr answers its health check. It returns a *NotReadyError if the process ends before
// or timeout passes, and ctx's error if ctx ends.
func (p *Process) AwaitReady(ctx context.Context, addr string, timeout time.Duration) error {
	startedAt := time.Now()
	for time.Since(startedAt) < timeout {
		if answersHealthCheck(ctx, addr) {
			return nil
		}
		select {
		case <-p.exited:
			return &NotReadyError{Name: p.name, After: time.Since(startedAt), Exited: true, LogLine: p.LastLogLine()}
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyCheckInterval):
		}
	}
	return &NotReadyError{Name: p.name, After: timeout, LogLine: p.LastLogLine()}
}

// answersHealthCheck reports whether the node at addr answers a health check with 200. It leaves no connection open, as an
// idle one would count against the node's descriptors.
func answersHealthCheck(ctx context.Context, addr string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+protocol.HealthPath, nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: readyCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// FreeAddress returns addr (network "tcp" or "udp", port 0) with a port that is free now. Another process may take the port
// before the caller does, so addr should be an address that only the caller uses.
func FreeAddress(network, addr string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket(network, addr)
		if err != nil {
			return "", err
		}
		defer func() { _ = conn.Close() }()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen(network, addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
