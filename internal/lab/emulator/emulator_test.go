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

// startServer starts a fleet of one server with the given schedule. The fleet is closed when the test ends.
func startServer(t *testing.T, schedule string) *Fleet {
	t.Helper()
	cfg := operatorfile.Default().Lab.Emulator
	cfg.Servers, cfg.ServiceMs, cfg.WarmupS, cfg.HandshakeMs, cfg.DrainMs = 1, 1, 0, 0, 200
	s, err := ParseSchedule(schedule, cfg.Servers)
	if err != nil {
		t.Fatalf("ParseSchedule(%q): %v", schedule, err)
	}
	f, err := Start(cfg, 7, s, zerolog.Nop())
	if err != nil {
		t.Fatalf("Start: %v", err)
	}
	t.Cleanup(f.Close)
	return f
}

// post sends a request with an ID (empty for none) over a new connection, and returns the response and its body.
func post(addr, id string) (*http.Response, string, error) {
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

// Guards against an invalid schedule that is accepted, and against an error that does not name the invalid key, value or line.
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
			t.Errorf("ParseSchedule(%q): got error %v, want one that contains %q", text, err, want)
		}
	}
}

// Guards against a reset that the client can take for a complete response, or that does not count as an execution. The server
// resets the connection in the middle of the body, so the client gets an error.
func TestResetInMidBody(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"reset\"\nat_s = 0\nfor_s = 60\n")
	_, body, err := post(f.Servers[0].Addr(), "a1")
	if err == nil {
		t.Fatalf("request under the fault reset: got body %q and no error, want an error", body)
	}
	if f.Servers[0].ExecutionCount("a1") != 1 || f.Servers[0].Stats().Resets != 1 {
		t.Fatalf("after one reset: ExecutionCount(\"a1\") = %d, Stats().Resets = %d, want 1 and 1",
			f.Servers[0].ExecutionCount("a1"), f.Servers[0].Stats().Resets)
	}
}

// Guards against a second execution of a request ID that is not counted, which would hide that an unsafe request ran twice. A
// request without an ID gets 404 and is counted separately.
func TestExecutionsAreCountedAndNoIDIs404(t *testing.T) {
	f := startServer(t, "")
	addr := f.Servers[0].Addr()
	for call := range 2 {
		if resp, body, err := post(addr, "b2"); err != nil || resp.StatusCode != 200 || body != "done b2\n" {
			t.Fatalf("request b2, call %d: got error %v, response %v, body %q, want no error, status 200, body \"done b2\\n\"", call+1, err, resp, body)
		}
	}
	if resp, _, _ := post(addr, ""); resp.StatusCode != 404 {
		t.Fatalf("request without an ID: got status %d, want 404", resp.StatusCode)
	}
	if st := f.Servers[0].Stats(); st.ExecutedTwice != 1 || st.ExecutionsBegun != 2 || st.NoID != 1 {
		t.Fatalf("Stats() = %+v, want ExecutedTwice 1, ExecutionsBegun 2, NoID 1", st)
	}
}

// Guards against a draining server that executes a new request, or that rejects it without the header that allows a retry.
func TestDrainRejectsWithoutExecution(t *testing.T) {
	f := startServer(t, "")
	s := f.Servers[0]
	s.mu.Lock()
	s.draining = true // Drain would also start the timer of the grace.
	s.mu.Unlock()
	resp, _, err := post(s.Addr(), "c3")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get(protocol.HeaderRejected) != protocol.RejectedValue || s.ExecutionCount("c3") != 0 {
		t.Fatalf("request to a draining server: got error %v, response %v, %d executions, want no error, status 503 with %s: %s, and 0 executions",
			err, resp, s.ExecutionCount("c3"), protocol.HeaderRejected, protocol.RejectedValue)
	}
}

// Guards against a restart during which the server still responds, or after which it does not return to its address.
func TestRestartRefusesThenReturns(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"restart\"\nat_s = 0.05\nfor_s = 0.3\n")
	addr := f.Servers[0].Addr()
	time.Sleep(150 * time.Millisecond)
	if _, _, err := post(addr, "d4"); err == nil {
		t.Fatal("request during the restart: got no error, want one")
	}
	time.Sleep(400 * time.Millisecond)
	if resp, _, err := post(addr, "d5"); err != nil || resp.StatusCode != 200 {
		t.Fatalf("request after the restart: got error %v, response %v, want no error and status 200", err, resp)
	}
	if f.Servers[0].Stats().Restarts != 1 {
		t.Fatalf("Stats().Restarts = %d, want 1", f.Servers[0].Stats().Restarts)
	}
}

// Guards against a scheduled drain that refuses connections at once or leaves the server open. The server accepts connections
// and rejects requests until the end of the grace, and then closes.
func TestScheduledDrain(t *testing.T) {
	f := startServer(t, "[[fault]]\nkind = \"drain\"\nat_s = 0.05\nfor_s = 1\n")
	addr := f.Servers[0].Addr()
	time.Sleep(100 * time.Millisecond)
	resp, _, err := post(addr, "e6")
	if err != nil || resp.StatusCode != 503 || resp.Header.Get(protocol.HeaderRejected) != protocol.RejectedValue {
		t.Fatalf("request while draining: got error %v, response %v, want no error and status 503 with %s: %s",
			err, resp, protocol.HeaderRejected, protocol.RejectedValue)
	}
	time.Sleep(300 * time.Millisecond) // The grace is 200 ms.
	if _, _, err := post(addr, "e7"); err == nil {
		t.Fatal("request after the grace: got no error, want one")
	}
}
