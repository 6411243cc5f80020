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

// childProcesses returns the id and state of each process that this process has started and that still exists.
func childProcesses(t *testing.T) (children []string) {
	t.Helper()
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		t.Fatalf("list the processes in /proc: %v", err)
	}
	for _, dir := range dirs {
		raw, err := os.ReadFile(dir + "/stat")
		if err != nil {
			continue // This process has ended.
		}
		_, rest, _ := bytes.Cut(raw, []byte(") "))
		if fields := strings.Fields(string(rest)); len(fields) > 1 && fields[1] == fmt.Sprint(os.Getpid()) {
			children = append(children, filepath.Base(dir)+" "+fields[0])
		}
	}
	return children
}

// smallScaleConfig returns the configuration of a short run of lab scale with a small fleet. The children are processes of this
// test program.
func smallScaleConfig(t *testing.T) scale.Config {
	t.Helper()
	t.Setenv(envRunAsProgram, "1")
	t.Setenv("GORACE", "atexit_sleep_ms=0") // Without this, each child's end takes a second under the race detector.
	cfg := scale.Default()
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		t.Fatalf("find the test program's path: %v", err)
	}
	cfg.Dir = t.TempDir()
	cfg.Nodes, cfg.Real, cfg.Servers, cfg.Tenants = 8, 2, 40, 200
	cfg.Rate, cfg.SimulatedRate, cfg.Duration, cfg.Sockets = 40, 10, 6*time.Second, 256
	return cfg
}

// A small run of lab scale with all its faults must show a working fleet. No request is executed twice or stays unanswered, and
// none goes to a drained server. Every change comes into force at every node. Real nodes receive messages from each other and
// from simulated ones, and every child process ends.
func TestScaleInSmall(t *testing.T) {
	cfg := smallScaleConfig(t)
	before := childProcesses(t)
	result, err := scale.Run(t.Context(), cfg)
	if err != nil {
		t.Fatalf("scale.Run of a small fleet: error %v, want none", err)
	}
	line, err := json.Marshal(result)
	if err != nil {
		t.Fatalf("encode the result of scale.Run: %v", err)
	}
	checkScaleRequests(t, result)
	checkScaleFleet(t, result)
	for _, name := range []string{"servers", "nodes", "real0", "real1"} {
		if log, err := os.ReadFile(filepath.Join(cfg.Dir, name+".log")); err != nil || bytes.Contains(log, []byte("DATA RACE")) {
			t.Errorf("log of the child %s: read error %v, want none and no DATA RACE in the log:\n%s", name, err, log)
		}
	}
	for k := range cfg.Real {
		received, dropped := peerMessages(t, filepath.Join(cfg.Dir, fmt.Sprintf("real%d.log", k)))
		if received < 50 || dropped > 0 { // Each of the seven peers sends about three a second.
			t.Errorf("real node %d received %v messages from peers and dropped %v, want at least 50 and 0", k, received, dropped)
		}
	}
	if after := childProcesses(t); !slices.Equal(before, after) {
		t.Errorf("child processes (id and state) after the run: %v, want %v as before the run", after, before)
	}
	if t.Failed() {
		t.Logf("result of the run: %s", line)
	}
}

// checkScaleRequests checks how the requests of a small run ended, and that there were enough of them.
func checkScaleRequests(t *testing.T, result *scale.Result) {
	t.Helper()
	if result.Sent < 200 || result.Completed < result.Sent*9/10 || result.SimulatedRequests.Completed < 100 || result.Direct < 10 {
		t.Errorf("%v requests sent, want at least 200; %v completed, want at least %v; "+
			"%v of simulated nodes completed, want at least 100; %v sent directly to app servers, want at least 10",
			result.Sent, result.Completed, result.Sent*9/10, result.SimulatedRequests.Completed, result.Direct)
	}
	if result.Duplicates+result.Unanswered+result.SimulatedRequests.Unanswered+result.ConnectFailed+result.SendsToDrained+
		result.OtherStatus != 0 {
		t.Errorf("%v duplicates, %v unanswered, %v unanswered of simulated nodes, %v failed connects, %v sends to drained servers, "+
			"%v responses of other statuses, want 0 of each",
			result.Duplicates, result.Unanswered, result.SimulatedRequests.Unanswered, result.ConnectFailed, result.SendsToDrained,
			result.OtherStatus)
	}
}

// checkScaleFleet checks that the faults of a small run took effect and that its result is complete.
func checkScaleFleet(t *testing.T, result *scale.Result) {
	t.Helper()
	if result.Changes < 6 || result.ChangesNotApplied != 0 || result.MaxAppliedAll > 6 {
		t.Errorf("%v changes of the endpoint list, want at least 6; %v not applied, want 0; longest time until all nodes applied a change %v s, want at most 6 s",
			result.Changes, result.ChangesNotApplied, result.MaxAppliedAll)
	}
	if result.Exited+result.Killed != 0 || result.Restarts != 2 || result.SimulatedRestarts != 6 {
		t.Errorf("%v nodes ended by themselves and %v had to be killed, want 0 of both; %v restarts of real nodes, want 2; "+
			"%v restarts of simulated nodes, want 6",
			result.Exited, result.Killed, result.Restarts, result.SimulatedRestarts)
	}
	if result.ViaNodeP99 <= 0 || result.DirectP50 <= 0 || result.PeakRSSMiB <= 0 || result.DiscoveryFullLists < 1 ||
		result.Peers["use"].InBytes <= 0 || len(result.Sections) != 6 {
		t.Errorf("p99 latency through a node %v ms, direct p50 latency %v ms, peak memory of a node %v MiB, want each above 0; "+
			"%v full lists from discovery, want at least 1; %v bytes of peers' use messages, want above 0; %d sections, want 6",
			result.ViaNodeP99, result.DirectP50, result.PeakRSSMiB, result.DiscoveryFullLists, result.Peers["use"].InBytes,
			len(result.Sections))
	}
}

// peerMessages returns how many messages from peers a node received and dropped, over all its starts, according to its log.
func peerMessages(t *testing.T, path string) (received, dropped float64) {
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
			received, dropped = received+entry.Counters.Received, dropped+entry.Counters.Dropped
		}
	}
	return received, dropped
}

// A run that is interrupted, or whose child can't start, must not leave processes behind. Its error must name the cause.
func TestScaleInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration
		change func(*testing.T, *scale.Config)
		want   string
	}{
		"cancelled while running": {time.Second, func(*testing.T, *scale.Config) {}, "stopped by"},
		"cancelled at the start":  {30 * time.Millisecond, func(*testing.T, *scale.Config) {}, "stopped by"},
		"time limit":              {time.Minute, func(_ *testing.T, c *scale.Config) { c.Duration, c.TimeLimit = time.Second, time.Second }, "time limit of 1s"},
		"node not started":        {time.Minute, blockNodeFile, "real1.json"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := smallScaleConfig(t)
			c.change(t, &cfg)
			before := childProcesses(t)
			ctx, cancel := context.WithTimeout(t.Context(), c.after)
			defer cancel()
			result, err := scale.Run(ctx, cfg)
			if err == nil || result != nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("scale.Run = %+v, %v, want no result and an error with %q", result, err, c.want)
			}
			if after := childProcesses(t); !slices.Equal(before, after) {
				t.Errorf("child processes (id and state) after the run: %v, want %v as before the run", after, before)
			}
		})
	}
}

// blockNodeFile creates a directory in place of the configuration file of a node, which then can't be written.
func blockNodeFile(t *testing.T, c *scale.Config) {
	t.Helper()
	if err := os.Mkdir(filepath.Join(c.Dir, "real1.json"), 0o700); err != nil {
		t.Fatal(err)
	}
}

// With too few descriptors a run would fail midway. The command must instead fail with one line that names the missing
// descriptors, before it starts anything.
func TestScaleNamesMissingDescriptors(t *testing.T) {
	cfg := smallScaleConfig(t)
	cmd := exec.Command("sh", "-c", `ulimit -n 640; exec "$0" lab scale --nodes 8 --real 1 --servers 40 --sockets 64 --dir "$1"`,
		cfg.Program, cfg.Dir)
	const want = "cherrygap: the simulated app servers need 650 descriptors in one process, which may have 640 (ulimit -n): lower --servers\n"
	out, err := cmd.CombinedOutput()
	if code := cmd.ProcessState.ExitCode(); code != 2 || string(out) != want {
		t.Errorf("lab scale with 640 descriptors: exit code %d, want 2; output %q, want %q; error %v", code, out, want, err)
	}
	if files, _ := os.ReadDir(cfg.Dir); len(files) > 0 {
		t.Errorf("lab scale without enough descriptors wrote the files %v, want none", files)
	}
}
