package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
)

// loggedNode is a node in a process of its own, whose log is read while it runs.
type loggedNode struct {
	cmd  *exec.Cmd
	file string
	conf string // its configuration
}

// startLogged starts a node by a configuration and an operator file's text.
func startLogged(t *testing.T, text, operator string) *loggedNode {
	t.Helper()
	dir := t.TempDir()
	p := &loggedNode{file: filepath.Join(dir, "log"), conf: filepath.Join(dir, "config.json")}
	p.configure(t, text)
	nodetest.WriteFile(t, filepath.Join(dir, "operator.toml"), operator)
	out, err := os.Create(p.file)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.CloseNow(t, out) // the process has it
	p.cmd = program(t, dir, []string{"GW_CONFIG=config.json"}, "serve", "--operator", "operator.toml")
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	nodetest.KillAtEnd(t, p.cmd)
	return p
}

// configure writes the node's configuration.
func (p *loggedNode) configure(t *testing.T, text string) {
	t.Helper()
	nodetest.WriteFile(t, p.conf, text)
}

// lines gives the log's lines so far in short: level, message and the other fields' names, and for an error its text.
// What comes by itself at any time is left out.
func (p *loggedNode) lines(t *testing.T) (out []string) {
	t.Helper()
	raw, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if !strings.HasSuffix(line, "\n") {
			break // not whole yet
		}
		var entry map[string]any
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		short := fmt.Sprint(entry["level"], " ", entry["message"], ":")
		if strings.HasPrefix(short, "info interval ") || strings.HasPrefix(short, "warn discovery call failed:") {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(entry)) {
			switch name {
			case "level", "message":
			case "error":
				short += fmt.Sprintf(" error=%q", entry[name])
			default:
				short += " " + name
			}
		}
		if strings.HasPrefix(short, "warn waiting for an address in use:") && slices.Contains(out, short) {
			continue // once each 0.1 s
		}
		out = append(out, short)
	}
	return out
}

// await waits until the log holds just these lines, in this order.
func (p *loggedNode) await(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = p.lines(t); slices.Equal(got, want) {
			return
		}
	}
	t.Fatalf("logged\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// The log lines of a start, of each signal and of the end keep their order, level, message and the names of their fields.
func TestLogLines(t *testing.T) {
	const all = "[shadow]\nenabled = true\n[health_checks]\nenabled = true\n[quota]\nstore = \"127.0.0.1:1\"\n"
	for _, c := range []struct{ name, operator, counters string }{
		{"no operator file's part", "", "counters node time"},
		{"all parts", all, "counters health_checks node quota shadow time"},
	} {
		t.Run(c.name, func(t *testing.T) {
			listenOn, discovery := nodetest.FreeAddress(t), nodetest.FreeAddress(t)
			held := nodetest.ListenPacket(t)
			peer := held.LocalAddr().String()
			text := strings.NewReplacer(
				`["127.0.0.5:7946"]`, `["127.0.0.1:1","127.0.0.1:2","`+peer+`"]`, `"peers":true`, `"peers":true,"probes":true`).Replace(nodetest.ConfigAt(listenOn, discovery, peer))
			odd := strings.Replace(text, `{"rev":41,"all":true,"targets":[]}`, "7", 1)
			p := startLogged(t, odd, c.operator)
			var want []string
			more := func(lines ...string) {
				t.Helper()
				want = append(want, lines...)
				p.await(t, want...)
			}
			more(`warn waiting for an address in use: error="listen udp ` + peer + `: bind: address already in use" node time`)
			nodetest.CloseNow(t, held)
			more(`warn known endpoint list rejected: error="config.json: known: malformed list" node time`, "info started: listen node time")
			nodetest.Signal(t, p.cmd.Process, syscall.SIGUSR1)
			more("info counters: " + c.counters)
			p.configure(t, text)
			nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
			more("info configuration reloaded: discovery node time")
			p.configure(t, odd)
			nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
			more(`warn known endpoint list rejected: error="config.json: known: malformed list" node time`, "info configuration reloaded: discovery node time")
			p.configure(t, text[:len(text)-9])
			nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
			more(`error configuration reload failed: error="config.json: unexpected end of JSON input" node time`)
			p.configure(t, strings.Replace(text, discovery, "there", 1))
			nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
			more(`error configuration reload failed: error="config.json: discovery: not an ip:port" node time`)
			nodetest.Signal(t, p.cmd.Process, syscall.SIGTERM)
			more("info stopped: " + c.counters)
			if err := p.cmd.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Lines below the log level are not written.
func TestLogLevel(t *testing.T) {
	listenOn := nodetest.FreeAddress(t)
	text := nodetest.ConfigAt(listenOn, nodetest.FreeAddress(t), nodetest.AnyPort)
	p := startLogged(t, text, "[log]\nlevel = \"error\"\n")
	nodetest.Eventually(t, 10*time.Second, "a listener", func() bool { return nodetest.Accepts(listenOn) })
	p.configure(t, "{")
	nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
	p.await(t, `error configuration reload failed: error="config.json: unexpected end of JSON input" node time`)
	nodetest.Signal(t, p.cmd.Process, syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	p.await(t, `error configuration reload failed: error="config.json: unexpected end of JSON input" node time`)
}

// A key that the operator file gives under an earlier name is taken, and the log, or standard error where there is none,
// says what to write.
func TestDeprecatedOperatorKeys(t *testing.T) {
	const file = "[duties]\non = true\n[authz]\nmost = 9\n"
	text := nodetest.ConfigAt(nodetest.FreeAddress(t), nodetest.FreeAddress(t), nodetest.AnyPort)
	p := startLogged(t, text, file)
	const warning = "warn deprecated key in the operator file: key line node time write"
	p.await(t, warning, warning, warning, "info started: listen node time")
	const notices = "operator.toml: line 1: duties: deprecated; write health_checks\n" +
		"operator.toml: line 2: duties.on: deprecated; write health_checks.enabled\n" +
		"operator.toml: line 4: authz.most: deprecated; write authz.max_in_flight\n"
	dir := filepath.Dir(p.file)
	for args, want := range map[string]string{
		"config check operator.toml": notices + "operator.toml: good\n",
		"lab load --operator operator.toml --target 127.0.0.1:1 --rate 0": notices +
			"cherrygap: lab.load.rate: 0 is out of range 0.01 to 1e+06\n",
	} {
		if out, err := program(t, dir, nil, strings.Fields(args)...).CombinedOutput(); string(out) != want {
			t.Errorf("%s: %q, %v; want %q", args, out, err, want)
		}
	}
}
