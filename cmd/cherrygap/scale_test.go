package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/lab/scale"
)

// offspring are the processes that this one started and that are there still, by id.
func offspring(t *testing.T) (out []string) {
	t.Helper()
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		raw, err := os.ReadFile(dir + "/stat")
		if err != nil {
			continue // it has ended
		}
		_, rest, _ := bytes.Cut(raw, []byte(") "))
		if f := strings.Fields(string(rest)); len(f) > 1 && f[1] == fmt.Sprint(os.Getpid()) {
			out = append(out, filepath.Base(dir)+" "+f[0])
		}
	}
	return out
}

func smallScale(t *testing.T) scale.Config {
	t.Helper()
	t.Setenv(asProgram, "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0") // else each child's end takes a second under the race detector
	cfg := scale.Default()
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		t.Fatal(err)
	}
	cfg.Dir = t.TempDir()
	cfg.Nodes, cfg.Real, cfg.Servers, cfg.Tenants = 8, 2, 40, 200
	cfg.Rate, cfg.SimulatedRate, cfg.Duration, cfg.Sockets = 40, 10, 6*time.Second, 256
	return cfg
}

// The small form of lab scale with all its faults: nothing runs twice, all is answered, nothing goes to a server that was
// drained, every change comes into force at every node, real nodes receive messages from each other and from simulated ones,
// and every child ends.
func TestScaleInSmall(t *testing.T) {
	cfg := smallScale(t)
	before := offspring(t)
	r, err := scale.Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	checkScaleRequests(t, r)
	checkScaleFleet(t, r)
	for _, name := range []string{"servers", "nodes", "real0", "real1"} {
		if log, err := os.ReadFile(filepath.Join(cfg.Dir, name+".log")); err != nil || bytes.Contains(log, []byte("DATA RACE")) {
			t.Errorf("%v, %s", err, log)
		}
	}
	for k := range cfg.Real {
		received, bad := peerMessages(t, filepath.Join(cfg.Dir, fmt.Sprintf("real%d.log", k)))
		if received < 50 || bad > 0 { // of each of seven peers, three a second
			t.Errorf("real node %d received %v messages, and %v that it could not read", k, received, bad)
		}
	}
	if after := offspring(t); !slices.Equal(before, after) {
		t.Errorf("processes before %v, after %v", before, after)
	}
	if t.Failed() {
		t.Logf("%s", line)
	}
}

// checkScaleRequests checks how the requests of a small run ended.
func checkScaleRequests(t *testing.T, r *scale.Result) {
	t.Helper()
	if r.Sent < 200 || r.Completed < r.Sent*9/10 || r.SimulatedRequests.Completed < 100 || r.Direct < 10 {
		t.Error("too little was done")
	}
	if r.Duplicates+r.Unanswered+r.SimulatedRequests.Unanswered+r.ConnectFailed+r.SendsToDrained+r.OtherStatus != 0 {
		t.Error("duplicates, requests with no answer or no sense, or sends to drained servers")
	}
}

// checkScaleFleet checks that the faults of a small run took effect and that its result is complete.
func checkScaleFleet(t *testing.T, r *scale.Result) {
	t.Helper()
	if r.Changes < 6 || r.ChangesNotApplied != 0 || r.MaxAppliedAll > 6 {
		t.Error("changes not in force in time")
	}
	if r.Exited+r.Killed != 0 || r.Restarts != 2 || r.SimulatedRestarts != 6 {
		t.Error("a node ended by itself, or not on SIGTERM, or was not started again")
	}
	if r.ViaNodeP99 <= 0 || r.DirectP50 <= 0 || r.PeakRSSMiB <= 0 || r.DiscoveryFullLists < 1 || r.Peers["use"].InBytes <= 0 || len(r.Sections) != 6 {
		t.Error("figures are missing")
	}
}

// peerMessages is how many messages a node received from its peers, and how many it could not read, by its log over all
// its starts.
func peerMessages(t *testing.T, path string) (received, bad float64) {
	t.Helper()
	log, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(log) {
		var entry struct {
			Message  string
			Counters struct {
				Received float64 `json:"peer_messages_received"`
				Dropped  float64 `json:"peer_messages_dropped"`
			}
		}
		if json.Unmarshal(line, &entry) == nil && entry.Message == "stopped" {
			received, bad = received+entry.Counters.Received, bad+entry.Counters.Dropped
		}
	}
	return received, bad
}

// A run that is interrupted, or whose child can't start, leaves no process behind, and its error names the cause.
func TestScaleInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		change func(*testing.T, *scale.Config)
		want   string
	}{
		"under way":    {time.Second, func(*testing.T, *scale.Config) {}, "stopped by"},
		"at its start": {30 * time.Millisecond, func(*testing.T, *scale.Config) {}, "stopped by"},
		"hard stop":    {time.Minute, func(_ *testing.T, c *scale.Config) { c.Duration, c.TimeLimit = time.Second, time.Second }, "hard stop"},
		"no node":      {time.Minute, blockNodeFile, "real1.json"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := smallScale(t)
			c.change(t, &cfg)
			before := offspring(t)
			ctx, cancel := context.WithTimeout(t.Context(), c.after)
			defer cancel()
			r, err := scale.Run(ctx, cfg)
			if err == nil || r != nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%+v, %v", r, err)
			}
			if after := offspring(t); !slices.Equal(before, after) {
				t.Errorf("processes before %v, after %v", before, after)
			}
		})
	}
}

// blockNodeFile puts a folder where a node's configuration is to be written.
func blockNodeFile(t *testing.T, c *scale.Config) {
	t.Helper()
	if err := os.Mkdir(filepath.Join(c.Dir, "real1.json"), 0o700); err != nil {
		t.Fatal(err)
	}
}

// Without enough descriptors the command fails with one line that names them, and starts nothing.
func TestScaleNamesMissingDescriptors(t *testing.T) {
	cfg := smallScale(t)
	cmd := exec.Command("sh", "-c", `ulimit -n 640; exec "$0" lab scale --nodes 8 --real 1 --servers 40 --sockets 64 --dir "$1"`,
		cfg.Program, cfg.Dir)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 2 ||
		string(out) != "cherrygap: the simulated app servers need 650 descriptors in one process, which may have 640 (ulimit -n): lower --servers\n" {
		t.Errorf("%q, %v", out, err)
	}
	if files, _ := os.ReadDir(cfg.Dir); len(files) > 0 {
		t.Errorf("it began: %v", files)
	}
}
