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
	readyCheckInterval = 20 * time.Millisecond // time between two checks of AwaitReady
	readyCheckTimeout  = time.Second           // time limit of one check
)

// NotReadyError is the error for a node that did not become ready.
type NotReadyError struct {
	Name    string        // name of the process
	After   time.Duration // time that AwaitReady waited
	Exited  bool          // whether the process ended before it was ready
	LogLine string        // last line of the process's log
}

// Error names the node, the time waited (unless the node ended) and the last line of its log.
func (e *NotReadyError) Error() string {
	if e.Exited {
		return fmt.Sprintf("%s ended before it was ready; last log line: %s", e.Name, e.LogLine)
	}
	return fmt.Sprintf("%s is not ready after %v; last log line: %s", e.Name, e.After.Round(time.Millisecond), e.LogLine)
}

// ConfigPath returns the path of a node's configuration file in dir.
func ConfigPath(dir, name string) string { return filepath.Join(dir, name+".json") }

// WriteConfig writes a node's configuration file to dir.
func WriteConfig(dir, name string, config []byte) error {
	return os.WriteFile(ConfigPath(dir, name), config, 0o600)
}

// ConfigEnv returns environment variables that make a node read its configuration file in dir. They override the node settings
// in the laboratory's own environment, except for GW_OPERATOR, which the node inherits.
func ConfigEnv(dir, name string) []string {
	return []string{"GW_CONFIG=" + ConfigPath(dir, name), "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}
}

// AwaitReady waits until the node at addr responds to a health check with 200. It returns a *NotReadyError if the process ends
// first or timeout passes, and the error of ctx if ctx ends.
func (p *Process) AwaitReady(ctx context.Context, addr string, timeout time.Duration) error {
	startedAt := time.Now()
	for time.Since(startedAt) < timeout {
		if passesHealthCheck(ctx, addr) {
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

// passesHealthCheck reports whether the node at addr responds to a health check with 200. It leaves no connection open,
// because an idle connection would count against the node's file descriptors.
func passesHealthCheck(ctx context.Context, addr string) bool {
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

// FreeAddress returns addr (network "tcp" or "udp", port 0) with a currently free port. Another process may take the port before
// the caller does, so only the caller should use the IP address of addr.
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
