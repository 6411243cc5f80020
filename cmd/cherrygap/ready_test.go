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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The terms of a restart: nine in ten processes are ready within readyIn, under a list of so many servers; the platform's
// smallest limit on memory.
const (
	readyIn     = 10 * time.Second
	manyServers = 13000
	leastMemory = 128 // MiB
)

// listText is a list in the protocol's form, as large as the largest fleet's.
func listText(rev int, indented bool) string {
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
	}{Rev: rev, All: true}
	for i := range manyServers {
		l.Targets = append(l.Targets, target{
			UID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), State: "in_service", Weight: 1,
			Endpoint: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Zone: string(rune('a' + i%3)),
			Model: fmt.Sprintf("m%d", i%4), Cell: i / 8, BootMs: int64(i%7) * 1_700_000_000_000,
		})
	}
	text, _ := json.Marshal(l)
	if indented {
		var b bytes.Buffer
		json.Indent(&b, text, "", "    ")
		text = b.Bytes()
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

// node starts the program under a configuration.
func node(t *testing.T, text, listen string) *restarted {
	t.Helper()
	file, err := built()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &restarted{cmd: exec.Command(file), listen: listen, ended: make(chan struct{})}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), "GW_CONFIG="+config), &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// ready waits until the node says that it is, and tells how long that took.
func (p *restarted) ready(since time.Time) (time.Duration, bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(since) < 3*readyIn {
		if a, err := client.Get("http://" + p.listen + "/healthz"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
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

// memory is what the process holds, and what it held at most, in KiB.
func (p *restarted) memory(t *testing.T) (now, most int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &now)
		fmt.Sscanf(line, "VmHWM: %d kB", &most)
	}
	return now, most
}

// configOf is a node's configuration at addresses that were free a moment ago.
func configOf(t *testing.T, mode, known, discovery string) (text, listen string) {
	listen = port(t)
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	return strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", discovery, "127.0.0.4:7946",
		udp.LocalAddr().String(), `{"rev":41,"all":true,"targets":[]}`, known, `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, leastMemory),
		`"slot_no":2`, `"slot_no":0,"registry_mode":"`+mode+`","replicas_of_me":300,"tick":2000,"services":[{"name":"seats","slo":2000000,
		"semantics":"at_most_once"}],"tiers_of_service":[{"name":"team"}],"specifics":{"peer_in_per_s":40}`).Replace(good), listen
}

// registryOf is discovery: it tells the whole list after a while, or is silent without one.
func registryOf(t *testing.T, list string, late time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case list == "":
			<-q.Context().Done()
		case q.FormValue("from") == "":
			time.Sleep(late)
			w.Header().Set("Content-Length", fmt.Sprint(len(list)))
			io.WriteString(w, list)
		default:
			time.Sleep(200 * time.Millisecond)
			io.WriteString(w, `{"rev":42,"all":false,"targets":[]}`)
		}
	}))
	return ln.Addr().String()
}

// Nine in ten of the processes that are restarted at once, as a tenth of a fleet on one machine, are ready in time: by a
// known list of 13,000 servers, indented or not, while discovery is silent or gone; by what discovery tells where the known
// list can't be read. None takes more memory than the platform's smallest limit.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	const together = 10
	plain, indented := listText(41, false), listText(41, true)
	t.Logf("lists of %d and %d bytes", len(plain), len(indented))
	if _, err := built(); err != nil { // ahead of the clock
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, mode, known string
		discovery         func() string
	}{
		{"known, discovery silent", "automatic", plain, func() string { return registryOf(t, "", 0) }},
		{"known, discovery gone", "subscribe", plain, func() string { return port(t) }},
		{"known, indented", "automatic", indented, func() string { return registryOf(t, indented, 0) }},
		{"odd list, told at once", "automatic", plain[:len(plain)-2] + `,{"uid":7}]}`, func() string { return registryOf(t, plain, 0) }},
		{"odd list, told indented", "subscribe", plain[:len(plain)-2] + `,{"uid":7}]}`, func() string { return registryOf(t, indented, 0) }},
		{"odd list, told late", "subscribe", plain[:len(plain)-2] + `,{"uid":7}]}`, func() string { return registryOf(t, plain, 500*time.Millisecond) }},
	} {
		discovery := c.discovery()
		var all sync.WaitGroup
		var mu sync.Mutex
		var took []time.Duration
		now, most := 0, 0
		for range together {
			text, listen := configOf(t, c.mode, c.known, discovery)
			all.Add(1)
			began := time.Now()
			p := node(t, text, listen)
			go func() {
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
}

// Discovery tells 13,000 servers anew again and again, as where it restarts and counts anew: the node's memory stays under
// the platform's smallest limit, and it goes on saying that it is ready.
func TestListsToldAgainAndAgainFitTheMemory(t *testing.T) {
	const times = 30
	if _, err := built(); err != nil {
		t.Fatal(err)
	}
	told := make(chan struct{}, times)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	rest := strings.TrimPrefix(listText(41, true), "{\n    \"rev\": 41")
	if len(rest) < 1<<20 {
		t.Fatal("a list of another form")
	}
	rev := 41
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if rev++; rev > 41+times {
			<-q.Context().Done()
			return
		}
		told <- struct{}{}
		fmt.Fprintf(w, "{\"rev\": %d%s", rev, rest)
	}))
	text, listen := configOf(t, "subscribe", listText(41, false), ln.Addr().String())
	p := node(t, text, listen)
	if d, ok := p.ready(time.Now()); !ok {
		t.Fatalf("not ready after %v: %.300s", d, p.log.String())
	}
	for k := range times {
		select {
		case <-told:
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

// The processes before hold their addresses until their last tickets end, which are answered shortly before SIGKILL could
// come: the ones that are started at the moment of SIGTERM are ready in time, and each ticket of the old ones is answered.
func TestRestartIsReadyInTimeBehindADrain(t *testing.T) {
	const together, lasts = 4, 3500 * time.Millisecond
	if _, err := built(); err != nil {
		t.Fatal(err)
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	got, answer := make(chan struct{}, together), make(chan struct{})
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		got <- struct{}{}
		<-answer
		io.Copy(w, q.Body)
	}))
	target := `{"uid":"s","endpoint":"` + server.Addr().String() + `","state":"in_service"}`
	plain, few := listText(41, false), `{"rev":41,"all":true,"targets":[`+target+`]}`
	discovery := registryOf(t, "", 0)
	var olds []*restarted
	var texts []string
	var conns []net.Conn
	for range together {
		text, listen := configOf(t, "automatic", few, discovery)
		old := node(t, text, listen)
		if d, ok := old.ready(time.Now()); !ok {
			t.Fatalf("the old one is not ready after %v: %s", d, old.log.String())
		}
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 9\r\nX-Tariff: team\r\nX-Budget-Ms: 9000\r\n"+
			"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nbody")
		olds, conns, texts = append(olds, old), append(conns, conn), append(texts, strings.Replace(text, few, plain, 1))
	}
	for range together {
		<-got
	}
	time.AfterFunc(lasts, func() { close(answer) })
	var all sync.WaitGroup
	for i, old := range olds {
		began := time.Now()
		old.cmd.Process.Signal(syscall.SIGTERM)
		next := node(t, texts[i], old.listen)
		all.Add(1)
		go func() {
			defer all.Done()
			if a, err := http.ReadResponse(bufio.NewReader(conns[i]), nil); err != nil || a.StatusCode != http.StatusOK {
				t.Errorf("the old one's ticket: %v, %v", a, err)
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
