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

// These are the platform's limits on restarts. Nine in ten processes must be ready within readyLimit, with a list of largestFleet
// servers and a memory limit of memoryLimitMiB.
const (
	readyLimit     = 10 * time.Second
	largestFleet   = 13000
	memoryLimitMiB = 128
)

// endpointListText returns an endpoint list of largestFleet servers in the protocol's form.
func endpointListText(t *testing.T, indented bool) string {
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
	list := struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{Rev: 41, All: true}
	for i := range largestFleet {
		list.Targets = append(list.Targets, target{
			UID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), State: "in_service", Weight: 1,
			Endpoint: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Zone: string(rune('a' + i%3)),
			Model: fmt.Sprintf("m%d", i%4), Cell: i / 8, BootMs: int64(i%7) * 1_700_000_000_000,
		})
	}
	marshal := json.Marshal
	if indented {
		marshal = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "    ") }
	}
	text, err := marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// buildDir is the temporary directory of the built program. TestMain removes it.
var buildDir string

// buildOnce builds the program, at the first call, and returns its path. A program with the race detector would take several
// times the memory, so the tests on memory can't use the test program itself.
var buildOnce = sync.OnceValues(func() (string, error) {
	var err error
	if buildDir, err = os.MkdirTemp("", "cherrygap"); err != nil {
		return "", err
	}
	file := filepath.Join(buildDir, "cherrygap")
	if out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return file, nil
})

// builtProcess is a process of the built program that runs a node as the platform starts one.
type builtProcess struct {
	cmd     *exec.Cmd
	address string
	log     bytes.Buffer
	ended   chan struct{} // closed once the process has ended
}

// builtProgram returns the path of the program, and builds it if no test has done so.
func builtProgram(t *testing.T) string {
	t.Helper()
	file, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// startBuiltProgram starts a node with a configuration that listens at listenAddress. The process is killed at the test's end.
func startBuiltProgram(t *testing.T, config, listenAddress string) *builtProcess {
	t.Helper()
	return startProgram(t, exec.Command(builtProgram(t)), config, listenAddress)
}

// startProgram starts a node by a command, as startBuiltProgram does.
func startProgram(t *testing.T, cmd *exec.Cmd, config, listenAddress string) *builtProcess {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	nodetest.WriteFile(t, file, config)
	p := &builtProcess{cmd: cmd, address: listenAddress, ended: make(chan struct{})}
	p.cmd.Env, p.cmd.Stderr = append(p.cmd.Environ(), node.EnvConfig+"="+file), &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { // The goroutine ends with the process.
		_ = p.cmd.Wait() // A killed process is no failure. The tests check the process by its effects.
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // The process may have ended already.
		<-p.ended
	})
	return p
}

// ready waits until the node's health check succeeds, the process ends, or 3 x readyLimit have passed since the given time. It
// returns the time since the given time, and whether the check succeeded.
func (p *builtProcess) ready(since time.Time) (time.Duration, bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(since) < 3*readyLimit {
		if response, err := client.Get("http://" + p.address + protocol.HealthPath); err == nil {
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

// residentMemory returns the process's current and peak resident memory in KiB.
func (p *builtProcess) residentMemory(t *testing.T) (current, peak int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Errorf("reading /proc/%d/status of the node at %s: error %v, want none", p.cmd.Process.Pid, p.address, err)
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		for name, value := range map[string]*int{"VmRSS:": &current, "VmHWM:": &peak} {
			if text, ok := strings.CutPrefix(line, name); ok {
				if _, err := fmt.Sscanf(text, "%d kB", value); err != nil {
					t.Errorf("parsing %q in the process status of the node at %s: error %v, want a number of kB", line, p.address, err)
				}
			}
		}
	}
	if current == 0 || peak == 0 {
		t.Errorf("node at %s: resident memory %d KiB, peak %d KiB, want both above 0; process status: %q", p.address, current, peak, raw)
	}
	return current, peak
}

// restartConfig returns a node's configuration and the address at which the node listens. Its addresses were free a moment ago.
func restartConfig(t *testing.T, discoveryMode, knownList, discovery string) (config, address string) {
	t.Helper()
	address = nodetest.FreeAddress(t)
	udp := nodetest.ListenPacket(t)
	nodetest.CloseNow(t, udp)
	return strings.NewReplacer(`{"rev":41,"all":true,"targets":[]}`, knownList, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, memoryLimitMiB),
		`"slot_no":2`, `"slot_no":0,"registry_mode":"`+discoveryMode+`","replicas_of_me":300,"tick":2000,"services":[{"name":"seats","slo":2000000,
		"semantics":"at_most_once"}],"tiers_of_service":[{"name":"team"}],"specifics":{"peer_in_per_s":40}`).Replace(nodetest.ConfigAt(address, discovery, udp.LocalAddr().String())), address
}

// serveEndpointList serves discovery at the returned address. A call without a revision gets the full list, after a delay.
// Any other call gets a list without changes, after 200 ms. If list is empty, the service never responds.
func serveEndpointList(t *testing.T, list string, delay time.Duration) (address string) {
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

// restartCase is a way to start nodes. discovery returns the address of the discovery service.
type restartCase struct {
	name, discoveryMode, knownList string
	discovery                      func() (address string)
}

// Processes that start together on one machine must be ready in time, nine in ten of them, and none may take more than
// memoryLimitMiB. Large endpoint lists cost the time and memory. The processes start with a known list of largestFleet servers
// while discovery is silent, is down or has no changes. Where the known list is malformed, they start with discovery's list.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	plain, indented := endpointListText(t, false), endpointListText(t, true)
	malformed := plain[:len(plain)-2] + `,{"uid":7}]}`
	t.Logf("lists of %d and %d bytes", len(plain), len(indented))
	builtProgram(t) // The build must not count as starting time.
	for _, c := range []restartCase{
		{"known list, discovery silent", "automatic", plain, func() string { return serveEndpointList(t, "", 0) }},
		{"known list, discovery down", "subscribe", plain, func() string { return nodetest.FreeAddress(t) }},
		{"indented known list", "automatic", indented, func() string { return serveEndpointList(t, indented, 0) }},
		{"malformed known list, list sent at once", "automatic", malformed, func() string { return serveEndpointList(t, plain, 0) }},
		{"malformed known list, indented list sent at once", "subscribe", malformed, func() string { return serveEndpointList(t, indented, 0) }},
		{"malformed known list, list sent late", "subscribe", malformed, func() string { return serveEndpointList(t, plain, 500*time.Millisecond) }},
	} {
		testRestart(t, c) // testRestart runs no subtest, so the processes of earlier cases keep running.
	}
}

func testRestart(t *testing.T, c restartCase) {
	t.Helper()
	const processes = 10
	discovery := c.discovery()
	var checks sync.WaitGroup
	var mu sync.Mutex // guards delays, current and peak
	var delays []time.Duration
	current, peak := 0, 0
	for range processes {
		config, address := restartConfig(t, c.discoveryMode, c.knownList, discovery)
		checks.Add(1)
		startedAt := time.Now()
		process := startBuiltProgram(t, config, address)
		go func() { // The goroutine ends when ready returns, at the latest after 3 x readyLimit.
			defer checks.Done()
			delay, ok := process.ready(startedAt)
			mu.Lock()
			defer mu.Unlock()
			if delays = append(delays, delay); !ok {
				t.Errorf("%s: node at %s ended or timed out %v after its start without being ready, want it ready within %v; node's log: %.300s",
					c.name, address, delay, 3*readyLimit, process.log.String())
				return
			}
			ownCurrent, ownPeak := process.residentMemory(t)
			current, peak = max(current, ownCurrent), max(peak, ownPeak)
		}()
	}
	checks.Wait()
	if slices.Sort(delays); delays[processes*9/10-1] > readyLimit {
		t.Errorf("%s: nine in ten nodes are ready %v after their start, want at most %v", c.name, delays[processes*9/10-1], readyLimit)
	}
	if peak > memoryLimitMiB<<10 {
		t.Errorf("%s: largest peak memory of a node's process %d KiB, want at most %d KiB", c.name, peak, memoryLimitMiB<<10)
	}
	t.Logf("%s: ready after %v to %v; largest current memory %d KiB, peak %d KiB", c.name, delays[0], delays[processes-1], current, peak)
}

// A node must not run out of memory if discovery sends the full list of largestFleet servers many times, as after restarts of
// discovery. The node's memory must stay under memoryLimitMiB, and its health checks must succeed.
func TestRepeatedFullListsFitTheMemory(t *testing.T) {
	const lists = 30
	builtProgram(t)
	listSent := make(chan struct{}, lists)
	afterRevision := strings.TrimPrefix(endpointListText(t, true), "{\n    \"rev\": 41")
	if len(afterRevision) < 1<<20 {
		t.Fatalf("the endpoint list without its revision has %d bytes, want at least %d", len(afterRevision), 1<<20)
	}
	revision := 41
	discovery := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		if revision++; revision > 41+lists {
			<-q.Context().Done()
			return
		}
		listSent <- struct{}{}
		_, _ = fmt.Fprintf(w, "{\"rev\": %d%s", revision, afterRevision)
	})
	config, address := restartConfig(t, "subscribe", endpointListText(t, false), discovery.Addr().String())
	process := startBuiltProgram(t, config, address)
	if delay, ok := process.ready(time.Now()); !ok {
		t.Fatalf("node ended or timed out %v after its start without being ready, want it ready within %v; node's log: %.300s",
			delay, 3*readyLimit, process.log.String())
	}
	for k := range lists {
		select {
		case <-listSent:
		case <-time.After(20 * time.Second):
			t.Fatalf("discovery sent the node %d lists and then none for 20 s, want %d lists", k, lists)
		}
	}
	time.Sleep(300 * time.Millisecond) // This leaves the node time to read the last list.
	if delay, ok := process.ready(time.Now()); !ok || delay > time.Second {
		t.Errorf("node's health check after all %d lists: success %v after %v, want true within %v", lists, ok, delay, time.Second)
	}
	current, peak := process.residentMemory(t)
	if peak > memoryLimitMiB<<10 {
		t.Errorf("peak memory of the node's process %d KiB after %d lists, want at most %d KiB", peak, lists, memoryLimitMiB<<10)
	}
	t.Logf("current memory of the node's process %d KiB, peak %d KiB, after %d lists", current, peak, lists)
}

// A restart must neither lose a request of the old process nor delay the new process too much. New processes start when the old
// ones get SIGTERM, and wait for their addresses. The old ones drain until shortly before SIGKILL would follow. Every request to
// an old process must get its response, and the new processes must be ready in time.
func TestRestartIsReadyInTimeBehindADrain(t *testing.T) {
	const processes, requestTime = 4, 3500 * time.Millisecond
	builtProgram(t)
	requestReceived, respond := make(chan struct{}, processes), make(chan struct{})
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
		requestReceived <- struct{}{}
		<-respond
		_, _ = io.Copy(w, q.Body)
	})
	largeList, smallList := endpointListText(t, false), `{"rev":41,"all":true,"targets":[`+listEntry(server)+`]}`
	discovery := serveEndpointList(t, "", 0)
	var oldProcesses []*builtProcess
	var newConfigs []string
	var conns []net.Conn
	for range processes {
		config, address := restartConfig(t, "automatic", smallList, discovery)
		old := startBuiltProgram(t, config, address)
		if delay, ok := old.ready(time.Now()); !ok {
			t.Fatalf("old node at %s ended or timed out %v after its start without being ready, want it ready within %v; node's log: %s",
				address, delay, 3*readyLimit, old.log.String())
		}
		conns = append(conns, nodetest.SendRequest(t, address, "9", 9*time.Second))
		oldProcesses, newConfigs = append(oldProcesses, old), append(newConfigs, strings.Replace(config, smallList, largeList, 1))
	}
	for range processes {
		<-requestReceived
	}
	time.AfterFunc(requestTime, func() { close(respond) })
	var checks sync.WaitGroup
	for i, old := range oldProcesses {
		terminatedAt := time.Now()
		nodetest.Signal(t, old.cmd.Process, syscall.SIGTERM)
		newProcess := startBuiltProgram(t, newConfigs[i], old.address)
		checks.Add(1)
		go func() { // The goroutine ends once the old process has ended and ready has returned for the new one.
			defer checks.Done()
			if response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("request to old node %d: response %v, error %v, want status %d", i, response, err, http.StatusOK)
			}
			<-old.ended // Until it ends, the old node may be the one that answers the health check.
			delay, ok := newProcess.ready(terminatedAt)
			if !ok || delay > readyLimit {
				t.Errorf("new node %d is ready: %v, %v after SIGTERM to the old node, want true within %v; new node's log: %.300s",
					i, ok, delay, readyLimit, newProcess.log.String())
			}
			t.Logf("new node %d: ready %v after SIGTERM", i, delay)
		}()
	}
	checks.Wait()
}
