package nodeprocess

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/protocol"
)

// startShell starts a shell script as a child process. The child is killed when the test ends.
func startShell(t *testing.T, script string) *Process {
	t.Helper()
	p, err := Start(Command{Program: "/bin/sh", Args: []string{"-c", script}, Env: []string{"GREETING=hello"}, Dir: t.TempDir(), Name: "child"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Stop(syscall.SIGKILL, time.Minute) })
	return p
}

// awaitLog waits until the last line of the child's log is the given one.
func awaitLog(t *testing.T, p *Process, line string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.LastLogLine() != line; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("last line of the child's log is %q after 10 s, want %q", p.LastLogLine(), line)
		}
	}
}

// Guards against a Stop that returns while the process still runs, and against a wrong result. A process that ignores the
// signal has to be killed.
func TestStopEndsOrKills(t *testing.T) {
	terminating := startShell(t, "echo $GREETING >&2; exec sleep 60")
	awaitLog(t, terminating, "hello")
	if terminating.HasExited() {
		t.Fatal("HasExited = true before Stop, want false")
	}
	if ending := terminating.Stop(syscall.SIGTERM, 10*time.Second); ending != EndedInTime || !terminating.HasExited() {
		t.Errorf("Stop of a process that ends on SIGTERM = %d, exited %v, want %d (ended in time), exited true", ending, terminating.HasExited(), EndedInTime)
	}
	if ending := terminating.Stop(syscall.SIGTERM, 0); ending != EndedInTime {
		t.Errorf("Stop of an ended process = %d, want %d (ended in time)", ending, EndedInTime)
	}
	ignoring := startShell(t, "trap '' TERM; echo ready >&2; while :; do sleep 60; done")
	awaitLog(t, ignoring, "ready")
	if ending := ignoring.Stop(syscall.SIGTERM, 50*time.Millisecond); ending != Killed || !ignoring.HasExited() {
		t.Errorf("Stop of a process that ignores SIGTERM = %d, exited %v, want %d (killed), exited true", ending, ignoring.HasExited(), Killed)
	}
}

// Guards against a start error that does not name the process, which would hide the child whose program is missing.
func TestStartOfAMissingProgramFails(t *testing.T) {
	_, err := Start(Command{Program: "/nonexistent", Dir: t.TempDir(), Name: "child"})
	if !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "child") {
		t.Errorf("Start of a missing program: got error %v, want one that names \"child\" and wraps os.ErrNotExist", err)
	}
}

// Guards against a wait that ends before the node is ready or continues without need. A node is ready once it responds to a
// health check with 200. The end of the process, the timeout and the end of ctx each end the wait with an error.
func TestAwaitReady(t *testing.T) {
	var checks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if checks.Add(1) < 3 || r.URL.Path != protocol.HealthPath {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	running := startShell(t, "echo up >&2; exec sleep 60")
	if err := running.AwaitReady(t.Context(), addr, 10*time.Second); err != nil || checks.Load() != 3 {
		t.Errorf("AwaitReady: got error %v after %d health checks, want no error after 3", err, checks.Load())
	}
	awaitLog(t, running, "up")
	server.Close()
	var notReady *NotReadyError
	if err := running.AwaitReady(t.Context(), addr, 30*time.Millisecond); !errors.As(err, &notReady) || notReady.Exited || notReady.LogLine != "up" {
		t.Errorf("AwaitReady of a node that does not respond: got error %v, want a NotReadyError with Exited false and log line \"up\"", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := running.AwaitReady(ctx, addr, time.Minute); !errors.Is(err, context.Canceled) {
		t.Errorf("AwaitReady with a cancelled context: got error %v, want %v", err, context.Canceled)
	}
	ended := startShell(t, "echo bad settings >&2")
	if err := ended.AwaitReady(t.Context(), addr, time.Minute); !errors.As(err, &notReady) || !notReady.Exited || notReady.LogLine != "bad settings" {
		t.Errorf("AwaitReady of an ended process: got error %v, want a NotReadyError with Exited true and log line \"bad settings\"", err)
	}
}

// Guards against a node that reads another configuration file than the one written for it.
func TestConfigFile(t *testing.T) {
	dir := t.TempDir()
	if err := WriteConfig(dir, "n1", []byte("{}")); err != nil {
		t.Fatal(err)
	}
	path := strings.TrimPrefix(ConfigEnv(dir, "n1")[0], "GW_CONFIG=")
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "{}" {
		t.Errorf("ReadFile(%s) = %q, %v, want \"{}\" and no error", path, raw, err)
	}
}

// Guards against a free address that is still in use when the caller opens it.
func TestFreeAddressCanBeOpened(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		addr, err := FreeAddress(network, "127.96.0.1:0")
		if err != nil {
			t.Fatalf("FreeAddress(%q, 127.96.0.1:0): %v", network, err)
		}
		if again, err := FreeAddress(network, addr); err != nil || again != addr {
			t.Errorf("FreeAddress(%q, %s) = %s, %v, want the same address and no error", network, addr, again, err)
		}
	}
}
