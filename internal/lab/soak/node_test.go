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

// testRun returns a run without processes, with one node in service at an address.
func testRun(t *testing.T, addr string) *run {
	t.Helper()
	n := &node{number: testNode, nodes: testNodes, addr: addr, dir: t.TempDir(), accepting: true}
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
	process, err := nodeprocess.Start(nodeprocess.Command{Program: name, Args: args, Dir: n.dir, Name: n.fileName()})
	if err != nil {
		t.Fatal(err)
	}
	n.process = process
	t.Cleanup(n.kill)
}

// startSleeping runs a process that sleeps as the node's, once it ignores SIGTERM if it should.
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
			t.Fatal("the process does not start")
		}
	}
}

func wantRules(t *testing.T, r *run, want ...Rule) {
	t.Helper()
	if got := violatedRules(r.checker); !slices.Equal(got, want) {
		t.Errorf("reports %v, want %v: %+v", got, want, r.checker.violations)
	}
}

// A node that ends by itself is reported once, with its last log line. One that was told to end is not.
func TestCheckerOfCrashes(t *testing.T) {
	for _, test := range []struct {
		name   string
		exits  bool
		ending bool
		want   int
	}{{"runs", false, false, 0}, {"was told to end", true, true, 0}, {"ends by itself", true, false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := testRun(t, "")
			r.nodes[0].ending = test.ending
			if test.exits {
				startCommand(t, r.nodes[0], "sh", "-c", "echo last line >&2")
				<-r.nodes[0].process.Exited()
			}
			ctx, stop := context.WithTimeout(t.Context(), 3*crashPollInterval)
			defer stop()
			r.watchForCrashes(ctx)
			got := r.checker.violations
			if len(got) != test.want {
				t.Fatalf("%d reports, want %d", len(got), test.want)
			}
			if test.want > 0 && (got[0].Rule != ruleCrash || got[0].Node != testNode || got[0].Detail != "last line") {
				t.Errorf("%+v", got[0])
			}
		})
	}
}

// One start in ten may take longer than readyTimeout. A node that ends at its start is reported at once.
func TestCheckerOfStarts(t *testing.T) {
	for _, test := range []struct {
		name         string
		late, inTime int
		want         []Rule
	}{
		{"no start", 0, 0, nil},
		{"a tenth late", 1, 9, nil},
		{"over a tenth late", 2, 17, []Rule{ruleReady}},
		{"the only one late", 1, 0, []Rule{ruleReady}},
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
	t.Run("ends at its start", func(t *testing.T) {
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

// A node has killTimeout to end after SIGTERM.
func TestCheckerOfShutdowns(t *testing.T) {
	for _, ignoresTerm := range []bool{false, true} {
		t.Run(map[bool]string{false: "ends", true: "ignores SIGTERM"}[ignoresTerm], func(t *testing.T) {
			t.Parallel()
			r := testRun(t, "")
			startSleeping(t, r.nodes[0], ignoresTerm)
			result, err := r.result()
			if err != nil {
				t.Fatal(err)
			}
			if !ignoresTerm {
				wantRules(t, r)
				return
			}
			wantRules(t, r, ruleShutdown)
			if len(result.Violations) != 1 {
				t.Errorf("the result has %+v", result.Violations)
			}
		})
	}
}

// A violation that a node's own checks have counted is one of the run, over all processes of the node.
func TestCheckerOfNodeViolations(t *testing.T) {
	const stopped = `{"message":"stopped","counters":{"requests":7,"violations_sending":%,"violations_closing":0}}` + "\n"
	for _, test := range []struct {
		name, log string
		want      []Rule
		sending   int64
	}{
		{"none", strings.ReplaceAll(stopped, "%", "0"), nil, 0},
		{"one", "not JSON\n" + strings.ReplaceAll(stopped, "%", "1"), []Rule{ruleNodeCheck}, 1},
		{"in an earlier process", strings.ReplaceAll(stopped, "%", "2") + strings.ReplaceAll(stopped, "%", "0"), []Rule{ruleNodeCheck}, 2},
		{"counters that are no final ones", strings.ReplaceAll(strings.ReplaceAll(stopped, "%", "1"), "stopped", "counters"), nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRun(t, "")
			if err := os.WriteFile(r.nodes[0].logPath(), []byte(test.log), 0o600); err != nil {
				t.Fatal(err)
			}
			startSleeping(t, r.nodes[0], false)
			result, err := r.result()
			if err != nil {
				t.Fatal(err)
			}
			wantRules(t, r, test.want...)
			if got := result.NodeViolations["violations_sending"]; got != test.sending {
				t.Errorf("counts %d, want %d", got, test.sending)
			}
		})
	}
}

// A node in service accepts connections. One that was told to end may refuse them.
func TestCheckerOfRefusedConnections(t *testing.T) {
	listener := nettest.Listen(t)
	open := listener.Addr().String()
	closed, err := nodeprocess.FreeAddress("tcp", loopbackAddress(nodeBlock, testNode))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name, addr string
		ending     bool
		want       []Rule
	}{
		{"accepts", open, false, nil},
		{"refuses in service", closed, false, []Rule{ruleConnectionRefused}},
		{"refuses after SIGTERM", closed, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := testRun(t, test.addr)
			r.nodes[0].ending = test.ending
			if conn := r.clients.dial(0); conn != nil {
				nettest.Close(conn)
			}
			wantRules(t, r, test.want...)
		})
	}
}

// A malformed request gets an error or a close within malformedTimeout.
func TestCheckerOfMalformedRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(conn net.Conn)
		want  []Rule
	}{
		{"closed at once", func(net.Conn) {}, nil},
		{"answered and closed", func(conn net.Conn) { nettest.WriteString(conn, "HTTP/1.1 400 Bad Request\r\n\r\n") }, nil},
		{"kept open", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, []Rule{ruleMalformed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := nettest.Listen(t)
			go nettest.ServeConns(listener, test.serve) // ends with the listener
			r := testRun(t, listener.Addr().String())
			r.clients.playMalformedClient(0, "nonsense\r\n\r\n")
			wantRules(t, r, test.want...)
		})
	}
}
