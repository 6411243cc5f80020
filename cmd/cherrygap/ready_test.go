package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// The platform's limits on restarts: nine in ten processes are ready within readyIn, with a list of manyServers servers and
// leastMemory of memory.
const (
	readyIn     = 10 * time.Second
	manyServers = 13000
	leastMemory = 128 // MiB
)

// listText is a list in the protocol's form, as large as the largest fleet's.
func listText(t *testing.T, indented bool) string {
	t.Helper()
	type target struct {
		UID      string  `json:"uid"`
		Endpoint string  `json:"endpoint"`
		Zone     string  `json:"az"`
		Model    string  `json:"model"`
		Cell     int     `json:"pod_group"`
		State    string  `json:"state"`
		Weight   float64 `json:"capacity_hint"`
		BootMs   int64   `json:"boot_ms"`
	}
	l := struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{Rev: 41, All: true}
	for i := range manyServers {
		l.Targets = append(l.Targets, target{
			UID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), State: "in_service", Weight: 1,
			Endpoint: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Zone: string(rune('a' + i%3)),
			Model: fmt.Sprintf("m%d", i%4), Cell: i / 8, BootMs: int64(i%7) * 1_700_000_000_000,
		})
	}
	marshal := json.Marshal
	if indented {
		marshal = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "    ") }
	}
	text, err := marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var builtIn string // a directory of the tests' own, removed at their end

// built is the program itself, as the race detector's would take several times the memory.
var built = sync.OnceValues(func() (string, error) {
	var err error
	if builtIn, err = os.MkdirTemp("", "cherrygap"); err != nil {
		return "", err
	}
	file := filepath.Join(builtIn, "cherrygap")
	if out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// restarted is one node as the platform starts it.
type restarted struct {
	cmd    *exec.Cmd
	listen string
	log    bytes.Buffer
	ended  chan struct{}
}

// mustBuild builds the program, if no test did so yet, and gives its file.
func mustBuild(t *testing.T) string {
	t.Helper()
	file, err := built()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// startBuilt starts the program under a configuration, until the test's end.
func startBuilt(t *testing.T, text, listenOn string) *restarted {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	nodetest.WriteFile(t, file, text)
	p := &restarted{cmd: exec.Command(mustBuild(t)), listen: listenOn, ended: make(chan struct{})}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), node.EnvConfig+"="+file), &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { // ends with the process
		_ = p.cmd.Wait() // a process that was killed is no failure; the tests look at what it did
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	})
	return p
}

// ready waits until the node's health check succeeds. It returns the time since a moment, and whether it succeeded.
func (p *restarted) ready(since time.Time) (time.Duration, bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(since) < 3*readyIn {
		if response, err := client.Get("http://" + p.listen + protocol.HealthPath); err == nil {
			if err := response.Body.Close(); err == nil && response.StatusCode == http.StatusOK {
				return time.Since(since), true
			}
		}
		select {
		case <-p.ended:
			return time.Since(since), false
		case <-time.After(5 * time.Millisecond):
		}
	}
	return time.Since(since), false
}

// memory returns the process's resident memory now and at most, in KiB.
func (p *restarted) memory(t *testing.T) (now, most int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Error(err)
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		for name, value := range map[string]*int{"VmRSS:": &now, "VmHWM:": &most} {
			if text, ok := strings.CutPrefix(line, name); ok {
				if _, err := fmt.Sscanf(text, "%d kB", value); err != nil {
					t.Error(err)
				}
			}
		}
	}
	if now == 0 || most == 0 {
		t.Errorf("no memory in %q", raw)
	}
	return now, most
}

// configOf returns a node's configuration with addresses that were free a moment ago.
func configOf(t *testing.T, mode, known, discovery string) (text, listenOn string) {
	t.Helper()
	listenOn = nodetest.FreeAddress(t)
	udp := nodetest.ListenPacket(t)
	nodetest.CloseNow(t, udp)
	return strings.NewReplacer(`{"rev":41,"all":true,"targets":[]}`, known, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, leastMemory),
		`"slot_no":2`, `"slot_no":0,"registry_mode":"`+mode+`","replicas_of_me":300,"tick":2000,"services":[{"name":"seats","slo":2000000,
		"semantics":"at_most_once"}],"tiers_of_service":[{"name":"team"}],"specifics":{"peer_in_per_s":40}`).Replace(nodetest.ConfigAt(listenOn, discovery, udp.LocalAddr().String())), listenOn
}

// serveList is a discovery service: it sends the whole list after a while, or is silent without one.
func serveList(t *testing.T, list string, delay time.Duration) (address string) {
	t.Helper()
	return nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		switch {
		case list == "":
			<-q.Context().Done()
		case q.FormValue(protocol.QueryRevision) == "":
			time.Sleep(delay)
			w.Header().Set("Content-Length", strconv.Itoa(len(list)))
			_, _ = io.WriteString(w, list)
		default:
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, `{"rev":42,"all":false,"targets":[]}`)
		}
	}).Addr().String()
}

// restartCase is a way to start nodes: the mode of discovery, the known list, and the discovery service.
type restartCase struct {
	name, mode, known string
	discovery         func() (address string)
}

// Of ten processes that start at once on one machine, nine are ready in time and none takes more than leastMemory. They start
// by a known list of manyServers servers while discovery is silent or gone, or by discovery's list where the known list is
// malformed.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	plain, indented := listText(t, false), listText(t, true)
	odd := plain[:len(plain)-2] + `,{"uid":7}]}`
	t.Logf("lists of %d and %d bytes", len(plain), len(indented))
	mustBuild(t) // ahead of the clock
	for _, c := range []restartCase{
		{"known, discovery silent", "automatic", plain, func() string { return serveList(t, "", 0) }},
		{"known, discovery gone", "subscribe", plain, func() string { return nodetest.FreeAddress(t) }},
		{"known, indented", "automatic", indented, func() string { return serveList(t, indented, 0) }},
		{"odd list, sent at once", "automatic", odd, func() string { return serveList(t, plain, 0) }},
		{"odd list, sent indented", "subscribe", odd, func() string { return serveList(t, indented, 0) }},
		{"odd list, sent late", "subscribe", odd, func() string { return serveList(t, plain, 500*time.Millisecond) }},
	} {
		testRestart(t, c) // no test of its own: those of the cases before run on
	}
}

func testRestart(t *testing.T, c restartCase) {
	t.Helper()
	const together = 10
	discovery := c.discovery()
	var all sync.WaitGroup
	var mu sync.Mutex // guards what the processes' goroutines write
	var took []time.Duration
	now, most := 0, 0
	for range together {
		text, listenOn := configOf(t, c.mode, c.known, discovery)
		all.Add(1)
		began := time.Now()
		p := startBuilt(t, text, listenOn)
		go func() { // ends once the process is ready, or after 3 x readyIn
			defer all.Done()
			d, ok := p.ready(began)
			mu.Lock()
			defer mu.Unlock()
			if took = append(took, d); !ok {
				t.Errorf("%s: not ready after %v: %.300s", c.name, d, p.log.String())
				return
			}
			rss, hwm := p.memory(t)
			now, most = max(now, rss), max(most, hwm)
		}()
	}
	all.Wait()
	if slices.Sort(took); took[together*9/10-1] > readyIn {
		t.Errorf("%s: nine in ten ready after %v", c.name, took[together*9/10-1])
	}
	if most > leastMemory<<10 {
		t.Errorf("%s: %d KiB", c.name, most)
	}
	t.Logf("%s: ready after %v to %v; %d KiB, %d at most", c.name, took[0], took[together-1], now, most)
}

// Discovery sends the full list of manyServers servers many times, as after restarts. The node's memory stays under
// leastMemory, and its health checks succeed.
func TestRepeatedFullListsFitTheMemory(t *testing.T) {
	const times = 30
	mustBuild(t)
	listed := make(chan struct{}, times)
	rest := strings.TrimPrefix(listText(t, true), "{\n    \"rev\": 41")
	if len(rest) < 1<<20 {
		t.Fatal("a list of another form")
	}
	revision := 41
	discovery := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		if revision++; revision > 41+times {
			<-q.Context().Done()
			return
		}
		listed <- struct{}{}
		_, _ = fmt.Fprintf(w, "{\"rev\": %d%s", revision, rest)
	})
	text, listenOn := configOf(t, "subscribe", listText(t, false), discovery.Addr().String())
	p := startBuilt(t, text, listenOn)
	if d, ok := p.ready(time.Now()); !ok {
		t.Fatalf("not ready after %v: %.300s", d, p.log.String())
	}
	for k := range times {
		select {
		case <-listed:
		case <-time.After(20 * time.Second):
			t.Fatalf("%d lists taken", k)
		}
	}
	time.Sleep(300 * time.Millisecond) // the last one is read
	if d, ok := p.ready(time.Now()); !ok || d > time.Second {
		t.Errorf("%v after %v", ok, d)
	}
	now, most := p.memory(t)
	if most > leastMemory<<10 {
		t.Errorf("%d KiB at most", most)
	}
	t.Logf("%d KiB, %d at most, after %d lists", now, most, times)
}

// Processes that are started at the moment of SIGTERM wait for the addresses of the old ones, which drain until shortly before
// SIGKILL would follow. The new ones are ready in time, and every request of the old ones gets its response.
func TestRestartIsReadyInTimeBehindADrain(t *testing.T) {
	const together, lasts = 4, 3500 * time.Millisecond
	mustBuild(t)
	got, answer := make(chan struct{}, together), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		got <- struct{}{}
		<-answer
		_, _ = io.Copy(w, q.Body)
	})
	plain, few := listText(t, false), `{"rev":41,"all":true,"targets":[`+inService(server)+`]}`
	discovery := serveList(t, "", 0)
	var olds []*restarted
	var texts []string
	var conns []net.Conn
	for range together {
		text, listenOn := configOf(t, "automatic", few, discovery)
		old := startBuilt(t, text, listenOn)
		if d, ok := old.ready(time.Now()); !ok {
			t.Fatalf("the old one is not ready after %v: %s", d, old.log.String())
		}
		conns = append(conns, nodetest.SendRequest(t, listenOn, "9", 9*time.Second))
		olds, texts = append(olds, old), append(texts, strings.Replace(text, few, plain, 1))
	}
	for range together {
		<-got
	}
	time.AfterFunc(lasts, func() { close(answer) })
	var all sync.WaitGroup
	for i, old := range olds {
		began := time.Now()
		nodetest.Signal(t, old.cmd.Process, syscall.SIGTERM)
		next := startBuilt(t, texts[i], old.listen)
		all.Add(1)
		go func() { // ends once both are done, the new one after 3 x readyIn at most
			defer all.Done()
			if response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("the old one's request: %v, %v", response, err)
			}
			<-old.ended // until then it may be the one that says it is ready
			d, ok := next.ready(began)
			if !ok || d > readyIn {
				t.Errorf("ready %v after %v: %.300s", ok, d, next.log.String())
			}
			t.Logf("%d: ready %v after SIGTERM", i, d)
		}()
	}
	all.Wait()
}
