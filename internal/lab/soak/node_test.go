package soak

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrygap/internal/lab/nodeprocess"
	"cherrygap/internal/nettest"
)

// testRun returns a run without processes, whose only node is in service at an address.
func testRun(t *testing.T, addr string) *run {
	t.Helper()
	n := &node{number: testNode, nodeCount: testNodes, addr: addr, dir: t.TempDir(), accepting: true}
	if err := os.WriteFile(n.logPath(), []byte("{\"message\":\"started\"}\nlast line\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r := &run{checker: newChecker(newLagMeter(), time.Minute, testNodes), nodes: []*node{n}, faultCounts: map[string]int{}}
	r.cfg.Servers = 1
	r.clients = newClients(&r.cfg, r.checker, r.nodes)
	return r
}

// startCommand runs a command as the node's process.
func startCommand(t *testing.T, n *node, name string, args ...string) {
	t.Helper()
	process, err := nodeprocess.Start(nodeprocess.Command{Program: name, Args: args, Dir: n.dir, Name: n.fileBaseName()})
	if err != nil {
		t.Fatal(err)
	}
	n.process = process
	t.Cleanup(n.kill)
}

// startSleeping starts a sleeping process as the node's process. If ignoresTerm is true, it returns once the process ignores
// SIGTERM.
func startSleeping(t *testing.T, n *node, ignoresTerm bool) {
	t.Helper()
	if !ignoresTerm {
		startCommand(t, n, "sleep", "60")
		return
	}
	ready := filepath.Join(n.dir, "ready")
	startCommand(t, n, "sh", "-c", `trap "" TERM; : > "$0"; exec sleep 60`, ready)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, err := os.Stat(ready); err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the process did not create %s within 10s of its start", ready)
		}
	}
}

// wantRules checks that the violations so far are of exactly the wanted rules.
func wantRules(t *testing.T, r *run, want ...Rule) {
	t.Helper()
	if got := violatedRules(r.checker); !slices.Equal(got, want) {
		t.Errorf("violated rules = %v, want %v; violations are %+v", got, want, r.checker.violations)
	}
}

// A crash of a node stays unnoticed if nothing compares its exit with the signals that it was sent. A node that exits without a
// signal is reported once, with its last log line. A node that exits after SIGTERM is not reported.
func TestCheckerOfCrashes(t *testing.T) {
	for _, test := range []struct {
		name     string
		exits    bool
		stopping bool
		want     int
	}{{"runs", false, false, 0}, {"exits after SIGTERM", true, true, 0}, {"crashes", true, false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := testRun(t, "")
			r.nodes[0].stopping = test.stopping
			if test.exits {
				startCommand(t, r.nodes[0], "sh", "-c", "echo last line >&2")
				<-r.nodes[0].process.Exited()
			}
			ctx, stop := context.WithTimeout(t.Context(), 3*crashPollInterval)
			defer stop()
			r.watchForCrashes(ctx)
			got := r.checker.violations
			if len(got) != test.want {
				t.Fatalf("watchForCrashes reported %d violations, want %d: %+v", len(got), test.want, got)
			}
			if test.want > 0 && (got[0].Rule != ruleCrash || got[0].Node != testNode ||
				got[0].Detail != "the node crashed; last line of its log: last line") {
				t.Errorf("the violation is %+v, want rule %q, node %d and detail %q", got[0], ruleCrash, testNode,
					"the node crashed; last line of its log: last line")
			}
		})
	}
}

// Slow starts are a violation only if they are more than a tenth of all starts, as the machine may delay some. A node that exits
// during its start is reported at once.
func TestCheckerOfStarts(t *testing.T) {
	for _, test := range []struct {
		name         string
		late, inTime int
		want         []Rule
	}{
		{"no start", 0, 0, nil},
		{"a tenth late", 1, 9, nil},
		{"over a tenth late", 2, 17, []Rule{ruleReady}},
		{"the only start is late", 1, 0, []Rule{ruleReady}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRun(t, "")
			for range test.late {
				r.readyTimes = append(r.readyTimes, readyTimeout+ms)
			}
			for range test.inTime {
				r.readyTimes = append(r.readyTimes, readyTimeout)
			}
			r.checkStartTimes()
			wantRules(t, r, test.want...)
		})
	}
	t.Run("exits during its start", func(t *testing.T) {
		r := testRun(t, "127.0.0.1:1")
		program, err := exec.LookPath("false")
		if err != nil {
			t.Fatal(err)
		}
		r.cfg.Program = program
		r.startNode(t.Context(), r.nodes[0], nil)
		wantRules(t, r, ruleReady)
	})
}

// A node that hangs in its shutdown does not exit within killTimeout after SIGTERM. The run kills and reports it.
func TestCheckerOfShutdowns(t *testing.T) {
	for _, ignoresTerm := range []bool{false, true} {
		t.Run(map[bool]string{false: "exits", true: "ignores SIGTERM"}[ignoresTerm], func(t *testing.T) {
			t.Parallel()
			r := testRun(t, "")
			startSleeping(t, r.nodes[0], ignoresTerm)
			result, err := r.result()
			if err != nil {
				t.Fatalf("result() = %v, want no error", err)
			}
			if !ignoresTerm {
				wantRules(t, r)
				return
			}
			wantRules(t, r, ruleShutdown)
			if len(result.Violations) != 1 {
				t.Errorf("violations of the result are %+v, want exactly one", result.Violations)
			}
		})
	}
}

// A node counts violations of its own invariant checks and logs the counters when it exits. The run reports each counter above 0,
// also of an earlier process of the node, which a restart would otherwise hide.
func TestCheckerOfNodeViolations(t *testing.T) {
	const stopped = `{"message":"stopped","counters":{"requests":7,"violations_sending":%,"violations_closing":0}}` + "\n"
	for _, test := range []struct {
		name, log string
		want      []Rule
		sending   int64
	}{
		{"none", strings.ReplaceAll(stopped, "%", "0"), nil, 0},
		{"one", "not JSON\n" + strings.ReplaceAll(stopped, "%", "1"), []Rule{ruleNodeCheck}, 1},
		{
			"in an earlier process", strings.ReplaceAll(stopped, "%", "2") + strings.ReplaceAll(stopped, "%", "0"),
			[]Rule{ruleNodeCheck},
			2,
		},
		{"counters of a running node", strings.ReplaceAll(strings.ReplaceAll(stopped, "%", "1"), "stopped", "counters"), nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRun(t, "")
			if err := os.WriteFile(r.nodes[0].logPath(), []byte(test.log), 0o600); err != nil {
				t.Fatalf("write the log: %v", err)
			}
			startSleeping(t, r.nodes[0], false)
			result, err := r.result()
			if err != nil {
				t.Fatalf("result() = %v, want no error", err)
			}
			wantRules(t, r, test.want...)
			if got := result.NodeViolations["violations_sending"]; got != test.sending {
				t.Errorf("NodeViolations[%q] = %d, want %d", "violations_sending", got, test.sending)
			}
		})
	}
}

// A node that fails to listen refuses connections although it is in service. A node may refuse them after SIGTERM.
func TestCheckerOfRefusedConnections(t *testing.T) {
	listener := nettest.Listen(t)
	open := listener.Addr().String()
	closed, err := nodeprocess.FreeAddress("tcp", loopbackAddress(nodeBlock, testNode))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, addr string
		stopping   bool
		want       []Rule
	}{
		{"accepts", open, false, nil},
		{"refuses in service", closed, false, []Rule{ruleConnectionRefused}},
		{"refuses after SIGTERM", closed, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRun(t, test.addr)
			r.nodes[0].stopping = test.stopping
			if conn := r.clients.dial(0); conn != nil {
				nettest.Close(conn)
			}
			wantRules(t, r, test.want...)
		})
	}
}

// A node that waits forever for the rest of a malformed request keeps the connection open. The node must close the connection,
// with or without a response, within malformedTimeout.
func TestCheckerOfMalformedRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(conn net.Conn)
		want  []Rule
	}{
		{"closed at once", func(net.Conn) {}, nil},
		{"responded and closed", func(conn net.Conn) { nettest.WriteString(conn, "HTTP/1.1 400 Bad Request\r\n\r\n") }, nil},
		{"kept open", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, []Rule{ruleMalformed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := nettest.Listen(t)
			go nettest.ServeConns(listener, test.serve) // The goroutine ends with the listener.
			r := testRun(t, listener.Addr().String())
			r.clients.runMalformedClient(0, "nonsense\r\n\r\n")
			wantRules(t, r, test.want...)
		})
	}
}
