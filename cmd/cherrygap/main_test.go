package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/operatorfile"
)

const good = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.0.0.9:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.5:7946"],
	"peers_all":"127.0.0.6:7946","known":{"rev":41,"all":true,"targets":[]},
	"settings":{"slot_no":2,"limits":{"conn_idle":15000000,"connect_timeout":250000,"peers":true}}}`

func TestConfigurationIsRead(t *testing.T) {
	c, err := parseConfig([]byte(good), func(name string) string {
		return map[string]string{"GW_LISTEN": "127.0.0.7:80"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	l := c.limits()
	if c.Listen != "127.0.0.7:80" || c.seed != 0x8c1f30d27a5be964 || c.known.Revision != 41 || c.set["node"] != "2" ||
		l.Idle != 15*time.Second || l.Connect != 250*time.Millisecond || l.Sockets != 1024 {
		t.Errorf("read as %+v, limits %+v", c, l)
	}
}

// A known list that can't be read, by any of its entries, must not keep a node from its start, nor from following
// discovery to another address on SIGHUP; all else must, and `config check` goes on refusing such a file.
func TestOddKnownListIsNoReasonNotToStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	old, _ := parseConfig([]byte(good), os.Getenv)
	for _, known := range []string{
		`7`, `{"rev":"x"}`, `{"rev":1,"targets":[{"uid":"s","state":"later"}]}`,
		`{"rev":1,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":"in_service","pod_group":70000}]}`,
	} {
		text := strings.Replace(good, `{"rev":41,"all":true,"targets":[]}`, known, 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if c, err := startConfig(); err != nil || c.odd == nil || len(c.known.Endpoints) > 0 || c.set["node"] != "2" {
			t.Errorf("%s: %v", known, err)
		}
		if next, err := old.reload(func(string) { t.Error("moved") }); err != nil || next.odd == nil || next.set["node"] != "2" {
			t.Errorf("%s on SIGHUP: %v", known, err)
		}
		os.WriteFile(file, []byte(strings.Replace(text, "9:8500", "8:8500", 1)), 0o600)
		moved := ""
		if next, err := old.reload(func(addr string) { moved = addr }); err != nil || moved != "127.0.0.8:8500" || next.odd == nil {
			t.Errorf("%s on SIGHUP: moved to %q, %v", known, moved, err)
		}
		os.WriteFile(file, []byte(text), 0o600)
		if checkFile(file) == nil {
			t.Errorf("%s passes the check", known)
		}
		os.WriteFile(file, []byte(strings.Replace(text, "8c1f30d27a5be964", "seed", 1)), 0o600)
		if _, err := startConfig(); err == nil {
			t.Errorf("started without a seed")
		}
		if next, err := old.reload(func(string) { t.Error("moved") }); err == nil || next != old {
			t.Errorf("taken on SIGHUP without a seed")
		}
	}
}

// A new file changes nothing unless all of it is good, and discovery's address only where it names another.
func TestNewConfiguration(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	c, err := parseConfig([]byte(good), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]string{
		strings.Replace(good, "9:8500", "8:8500", 1):                                          "127.0.0.8:8500",
		strings.NewReplacer("9:8500", "8:8500", "8c1f30d27a5be964", "seed").Replace(good):     "",
		strings.NewReplacer("9:8500", "8:8500", `"settings":{`, `"settings":[`).Replace(good): "",
		strings.Replace(good, "127.0.0.9:8500", "there", 1):                                   "",
		good: "",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		moved := ""
		next, err := c.reload(func(addr string) { moved = addr })
		if moved != want || (err != nil) != (want == "" && text != good) || next == nil || err != nil && next != c {
			t.Errorf("moved to %q, want %q: %v", moved, want, err)
		}
	}
}

func TestBadConfigurationIsOneError(t *testing.T) {
	none := func(string) string { return "" }
	for _, c := range [][2]string{
		{good, ""},
		{`"127.0.0.4:9000"`, `"here"`},
		{"8c1f30d27a5be964", "seed"},
		{"192", "0"},
		{`"rev":41`, `"rev":"x"`},
		{`"127.0.0.5:7946"`, `"peer"`},
		{`"settings":{`, `"settings":[{`},
	} {
		_, err := parseConfig([]byte(strings.Replace(good, c[0], c[1], 1)), none)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.30q for %.30q: %v", c[1], c[0], err)
		}
	}
}

// port is an address that was free a moment ago.
func port(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// The whole node: it serves by its known list while discovery is down, follows a new file to another discovery
// on SIGHUP, passes over a bad one, and SIGTERM ends it once it has answered what it took.
func TestNodeServesAndDrains(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	started, answer := make(chan struct{}), make(chan struct{})
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		close(started)
		<-answer
		io.Copy(w, q.Body)
	}))
	listen := port(t)
	text := strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", port(t), "127.0.0.4:7946", "127.0.0.1:0",
		`"targets":[]`, `"targets":[{"uid":"s","endpoint":"`+ln.Addr().String()+`","state":"in_service"}]`,
		`"slot_no":2`, `"replicas_of_me":1,"tick":2000,"services":[{"name":"seats","slo":2000000,"semantics":"at_most_once"}],
		"tiers_of_service":[{"name":"team"}]`).Replace(good)
	c, err := parseConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	conn, err := net.Dial("tcp", listen)
	for end := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(end); conn, err = net.Dial("tcp", listen) {
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 9\r\nX-Tariff: team\r\nX-Budget-Ms: 9000\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nbody")
	<-started
	disco, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer disco.Close()
	asked := make(chan string, 1)
	go http.Serve(disco, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		asked <- q.RequestURI
		<-answer
	}))
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	t.Setenv("GW_DISCOVERY", c.Discovery)
	moved := strings.Replace(text, c.Discovery, disco.Addr().String(), 1)
	for _, now := range []string{moved[:len(moved)-9], moved} {
		if err := os.WriteFile(file, []byte(now), 0o600); err != nil {
			t.Fatal(err)
		}
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case uri := <-asked:
		if uri != "/v1/servers" {
			t.Errorf("the new discovery was asked %s", uri)
		}
	case <-time.After(3 * time.Second):
		t.Error("the new discovery was never asked")
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	time.Sleep(acceptFor + 100*time.Millisecond)
	select {
	case err := <-ended:
		t.Fatalf("ended with a ticket open: %v", err)
	default:
	}
	close(answer)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(a.Body); a.StatusCode != 200 || string(body) != "body" || !a.Close || err != nil {
		t.Errorf("status %d, %q, closes %v, %v", a.StatusCode, body, a.Close, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Nobody reads the log: the node serves, and ends on SIGTERM, all the same.
func TestAStuckLogHoldsUpNoEnd(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stderr
	os.Stderr = w
	defer func() { os.Stderr = old; r.Close(); w.Close() }()
	w.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for err == nil { // until the pipe is full
		_, err = w.Write(make([]byte, 1<<12))
	}
	w.SetWriteDeadline(time.Time{})
	listen := port(t)
	c, err := parseConfig([]byte(strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", port(t),
		"127.0.0.4:7946", "127.0.0.1:0").Replace(good)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			break
		}
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(acceptFor + 3*time.Second):
		t.Error("the node does not end")
	}
}

// The operator file's settings are written over the platform's; none given changes nothing, and a band that the
// platform does not name ends the start with its name.
func TestOperatorSettings(t *testing.T) {
	text := strings.Replace(good, `"slot_no":2`, `"slot_no":2,"services":[{"name":"seats","semantics":"at_most_once"}]`, 1)
	for _, c := range []struct{ operator, repeats, watched, fault string }{
		{"", "single-use", "", ""},
		{"[[settings.band]]\nname = \"seats\"\nrepeats = \"replayable\"\n", "replayable", "", ""},
		{"[watch.settings]\nexecutions = 2\n", "single-use", "", ""},
		{"[watch]\non = true\n[[watch.settings.band]]\nname = \"seats\"\nrepeats = \"referenced\"\n", "single-use", "referenced", ""},
		{"[[settings.band]]\nname = \"other\"\nrepeats = \"replayable\"\n", "", "", "settings: band \"other\": the platform's settings name seats"},
	} {
		conf, err := parseConfig([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		op, faults := operatorfile.Parse(c.operator)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		err = conf.take(op)
		if c.fault != "" {
			if err == nil || err.Error() != c.fault {
				t.Errorf("%q: %v", c.operator, err)
			}
			continue
		}
		if err != nil || conf.set["band.0.repeats"] != c.repeats || conf.watch["band.0.repeats"] != c.watched {
			t.Errorf("%q: %v, %v, watched %v", c.operator, err, conf.set, conf.watch)
		}
	}
}

// Shared duties are done only where the operators want them and the platform allows probes and peers.
func TestDutiesNeedThePlatformsLeave(t *testing.T) {
	text := strings.NewReplacer(`"peers":true`, `"peers":true,"probes":true`, `["127.0.0.5:7946"]`,
		`["127.0.0.5:7946","127.0.0.5:7947","127.0.0.4:7946"]`).Replace(good)
	for k, c := range []struct {
		old, new string
		on, want bool
	}{
		{"", "", true, true},
		{"", "", false, false},
		{`"probes":true`, `"probes":false`, true, false},
		{`"peers":true`, `"peers":false`, true, false},
		{`"slot_no":2`, `"slot_no":3`, true, false},
	} {
		conf, err := parseConfig([]byte(strings.Replace(text, c.old, c.new, 1)), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		op := operatorfile.Default()
		op.HealthChecks.Enabled = c.on
		if err := conf.take(op); err != nil {
			t.Fatal(err)
		}
		if conf.shares() != c.want {
			t.Errorf("%d: shares %v", k, !c.want)
		}
		if d := conf.duties(); k == 0 && (d.Me != 2 || d.Nodes != 3 || d.Bytes != 4096 || d.Every != 5*time.Second) {
			t.Errorf("told %+v", d)
		}
	}
}

// Signals that come before the node listens, many at once, and during the drain: none ends the process, none is lost
// for another. A SIGHUP during the drain moves discovery, as open tickets may still be sent on.
func TestSignalsAtAnyMoment(t *testing.T) {
	file, asked := filepath.Join(t.TempDir(), "config.json"), make(chan string, 99)
	disco := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go http.Serve(ln, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			asked <- q.Host
			<-q.Context().Done()
		}))
		return ln
	}
	first, second := disco(), disco()
	got, answer := make(chan struct{}), make(chan struct{})
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { close(got); <-answer; io.Copy(w, q.Body) }))
	listen := port(t)
	text := strings.NewReplacer("127.0.0.4:9000", listen, "127.0.0.9:8500", port(t), "127.0.0.4:7946", "127.0.0.1:0",
		`"targets":[]`, `"targets":[{"uid":"s","endpoint":"`+server.Addr().String()+`","state":"in_service"}]`,
		`"slot_no":2`, `"replicas_of_me":1,"tick":2000,"services":[{"name":"seats","slo":2000000,"semantics":"at_most_once"}],
		"tiers_of_service":[{"name":"team"}]`).Replace(good)
	c, err := parseConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	names := func(ln net.Listener) {
		if err := os.WriteFile(file, []byte(strings.Replace(text, c.named, ln.Addr().String(), 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	heard := func(ln net.Listener) {
		t.Helper()
		for end := time.After(3 * time.Second); ; {
			select {
			case host := <-asked:
				if host == ln.Addr().String() {
					return
				}
			case <-end:
				t.Fatal("discovery was not followed there")
			}
		}
	}
	t.Setenv("GW_CONFIG", file)
	names(first)
	s := heed() // as main does, before it reads anything
	for range 20 {
		syscall.Kill(syscall.Getpid(), syscall.SIGUSR1)
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	if len(s.hup) != 1 || len(s.count) != 1 || len(s.term) != 0 {
		t.Errorf("%d, %d, %d wait", len(s.hup), len(s.count), len(s.term))
	}
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	heard(first)
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /seats/0000000000000005 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 9\r\nX-Tariff: team\r\nX-Budget-Ms: 9000\r\n"+
		"X-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nbody")
	<-got
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	time.Sleep(10 * time.Millisecond)
	names(second)
	for range 9 {
		syscall.Kill(syscall.Getpid(), syscall.SIGUSR1)
		syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	}
	heard(second)
	close(answer)
	if a, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || a.StatusCode != 200 || !a.Close {
		t.Errorf("%v, %v", a, err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(acceptFor + 3*time.Second):
		t.Error("the node does not end")
	}
	for len(s.term)+len(s.hup)+len(s.count) > 0 { // what else waits is no other test's
		select {
		case <-s.term:
		case <-s.hup:
		case <-s.count:
		}
	}
}

// A node that is started while the process before it still holds its addresses waits for them; any other fault of an
// address ends the start at once.
func TestStartWaitsForItsAddresses(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.4:9000", tcp.Addr().String(), "127.0.0.9:8500", port(t),
		"127.0.0.4:7946", udp.LocalAddr().String()).Replace(good)
	c, err := parseConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	time.Sleep(2 * freeAgain)
	udp.Close()
	time.Sleep(2 * freeAgain)
	select {
	case err := <-ended:
		t.Fatal(err)
	default:
	}
	tcp.Close()
	answered := false
	for end := time.Now().Add(5 * time.Second); !answered && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a, err := http.Get("http://" + c.Listen + "/healthz")
		if answered = err == nil; answered {
			a.Body.Close()
		}
	}
	if !answered {
		t.Error("it does not listen")
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := onceFree(nil, func() error { return syscall.EACCES }); err != syscall.EACCES {
		t.Error(err)
	}
}

// The log's reader goes, as when it restarts: a node is not ended by that. The test runs itself as the process that writes.
func TestALogWhoseReaderWentEndsNoNode(t *testing.T) {
	if os.Getenv("LOG_READER_WENT") != "" {
		heed()
		for range 3 {
			fmt.Fprintln(os.Stderr, "a line that nobody reads")
		}
		fmt.Println("goes on")
		return
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	cmd := exec.Command(os.Args[0], "-test.run=^TestALogWhoseReaderWentEndsNoNode$")
	cmd.Env, cmd.Stderr = append(os.Environ(), "LOG_READER_WENT=1"), w
	if out, err := cmd.Output(); err != nil || !strings.Contains(string(out), "goes on") {
		t.Errorf("%q, %v", out, err)
	}
}
