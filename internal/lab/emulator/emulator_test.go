package emulator

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
)

// startServer starts a fleet of one server with a schedule.
func startServer(t *testing.T, schedule string) *Fleet {
	t.Helper()
	cfg := operatorfile.Default().Lab.Emulator
	cfg.Servers, cfg.ServiceMs, cfg.WarmupS, cfg.HandshakeMs, cfg.DrainMs = 1, 1, 0, 0, 200
	s, err := ParseSchedule(schedule, cfg.Servers)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Start(cfg, 7, s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func get(addr, id string) (*http.Response, string, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/seat-purchase/0000000000000001", nil)
	if id != "" {
		req.Header.Set(protocol.HeaderRequestID, id)
	}
	req.Header.Set(protocol.HeaderTimeout, "1000")
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestInvalidSchedules(t *testing.T) {
	for text, want := range map[string]string{
		"[[fault]]\nkind = \"melt\"\nat_s = 0\nfor_s = 1\n":             "unknown",
		"[[fault]]\nkind = \"slow\"\nserver = 9\nat_s = 0\nfor_s = 1\n": "server 9",
		"[[fault]]\nkind = \"slow\"\nat_s = 0\nfor_s = 0\n":             "for_s",
		"[[fault]]\nkind = \"slow\"\nat_s = 0\nfor_s = 1\np = 2\n":      "p 2",
		"[[fault]]\nkind = \"slow\"\nwhen = 1\n":                        "no such key",
		"[[fault]]\nkind = = \"slow\"\n":                                "line 2",
	} {
		if _, err := ParseSchedule(text, 2); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// A server that resets in mid-body leaves the client with a short body and an error. The request counts as executed.
func TestResetInMidBody(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"reset\"\nat_s = 0\nfor_s = 60\n")
	_, body, err := get(f.Servers[0].Addr(), "a1")
	if err == nil {
		t.Fatalf("no error; body %q", body)
	}
	if f.Servers[0].TimesBegun("a1") != 1 || f.Servers[0].Stats().Resets != 1 {
		t.Fatalf("runs %d, stats %+v", f.Servers[0].TimesBegun("a1"), f.Servers[0].Stats())
	}
}

// A second execution of the same request ID is counted.
func TestExecutionsAreCountedAndNoIDIs404(t *testing.T) {
	f := startServer(t, "")
	addr := f.Servers[0].Addr()
	for range 2 {
		if resp, body, err := get(addr, "b2"); err != nil || resp.StatusCode != 200 || body != "done b2\n" {
			t.Fatalf("%v %v %q", resp, err, body)
		}
	}
	if resp, _, _ := get(addr, ""); resp.StatusCode != 404 {
		t.Fatalf("no id: %d", resp.StatusCode)
	}
	if st := f.Servers[0].Stats(); st.BegunTwice != 1 || st.Begun != 2 || st.NoID != 1 {
		t.Fatalf("%+v", st)
	}
}

// A draining server rejects requests without executing them.
func TestDrainRejectsWithoutExecution(t *testing.T) {
	f := startServer(t, "")
	s := f.Servers[0]
	s.mu.Lock()
	s.draining = true // as Drain sets it, but without the grace timer
	s.mu.Unlock()
	resp, _, err := get(s.Addr(), "c3")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get(protocol.HeaderRejected) != protocol.RejectedValue || s.TimesBegun("c3") != 0 {
		t.Fatalf("%v %v runs %d", resp, err, s.TimesBegun("c3"))
	}
}

// A restart refuses connections for its duration, and then the server is back at the same address.
func TestRestartRefusesThenReturns(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"restart\"\nat_s = 0.05\nfor_s = 0.3\n")
	addr := f.Servers[0].Addr()
	time.Sleep(150 * time.Millisecond)
	if _, _, err := get(addr, "d4"); err == nil {
		t.Fatal("answered while down")
	}
	time.Sleep(400 * time.Millisecond)
	if resp, _, err := get(addr, "d5"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("not back: %v %v", resp, err)
	}
	if f.Servers[0].Stats().Restarts != 1 {
		t.Fatal("restart not counted")
	}
}

// During a scheduled drain the server rejects new requests on new connections. It closes after the grace.
func TestScheduledDrain(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"drain\"\nat_s = 0.05\nfor_s = 1\n")
	addr := f.Servers[0].Addr()
	time.Sleep(100 * time.Millisecond)
	resp, _, err := get(addr, "e6")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get(protocol.HeaderRejected) != protocol.RejectedValue {
		t.Fatalf("while draining: %v %v", resp, err)
	}
	time.Sleep(300 * time.Millisecond) // the grace is 200 ms
	if _, _, err := get(addr, "e7"); err == nil {
		t.Fatal("answered after the grace")
	}
}
