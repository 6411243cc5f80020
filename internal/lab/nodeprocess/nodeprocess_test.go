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

// startShell starts a shell script as a child process, which the test's end kills.
func startShell(t *testing.T, script string) *Process {
	t.Helper()
	p, err := Start(Command{Program: "/bin/sh", Args: []string{"-c", script}, Env: []string{"GREETING=hello"}, Dir: t.TempDir(), Name: "child"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Stop(syscall.SIGKILL, time.Minute) })
	return p
}

// awaitLog waits until the child's log has a line.
func awaitLog(t *testing.T, p *Process, line string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.LastLogLine() != line; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the log's last line is %q", p.LastLogLine())
		}
	}
}

func TestStopEndsOrKills(t *testing.T) {
	obedient := startShell(t, "echo $GREETING >&2; exec sleep 60")
	awaitLog(t, obedient, "hello")
	if obedient.HasExited() {
		t.Fatal("ended before Stop")
	}
	if ending := obedient.Stop(syscall.SIGTERM, 10*time.Second); ending != EndedInTime || !obedient.HasExited() {
		t.Errorf("ending %d", ending)
	}
	if ending := obedient.Stop(syscall.SIGTERM, 0); ending != EndedInTime {
		t.Errorf("a second stop: ending %d", ending)
	}
	stubborn := startShell(t, "trap '' TERM; echo ready >&2; while :; do sleep 60; done")
	awaitLog(t, stubborn, "ready")
	if ending := stubborn.Stop(syscall.SIGTERM, 50*time.Millisecond); ending != Killed || !stubborn.HasExited() {
		t.Errorf("ending %d", ending)
	}
}

func TestStartOfAMissingProgramFails(t *testing.T) {
	_, err := Start(Command{Program: "/nonexistent", Dir: t.TempDir(), Name: "child"})
	if !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), "child") {
		t.Errorf("got %v", err)
	}
}

// A node is ready once its health check is answered with 200. Its end, a timeout and ctx each end the wait.
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
		t.Errorf("%v after %d checks", err, checks.Load())
	}
	awaitLog(t, running, "up")
	server.Close()
	var notReady *NotReadyError
	if err := running.AwaitReady(t.Context(), addr, 30*time.Millisecond); !errors.As(err, &notReady) || notReady.Exited || notReady.LogLine != "up" {
		t.Errorf("no health check is answered: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := running.AwaitReady(ctx, addr, time.Minute); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
	ended := startShell(t, "echo bad settings >&2")
	if err := ended.AwaitReady(t.Context(), addr, time.Minute); !errors.As(err, &notReady) || !notReady.Exited || notReady.LogLine != "bad settings" {
		t.Errorf("ended: %v", err)
	}
}

func TestConfigFile(t *testing.T) {
	dir := t.TempDir()
	if err := WriteConfig(dir, "n1", []byte("{}")); err != nil {
		t.Fatal(err)
	}
	path := strings.TrimPrefix(ConfigEnv(dir, "n1")[0], "GW_CONFIG=")
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "{}" {
		t.Errorf("%q, %v", raw, err)
	}
}

func TestFreeAddressCanBeOpened(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		addr, err := FreeAddress(network, "127.96.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if again, err := FreeAddress(network, addr); err != nil || again != addr {
			t.Errorf("%s: %s, %v", network, again, err)
		}
	}
}
