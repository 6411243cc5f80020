package frontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend"
	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/settings"
)

// timeoutSlack is the tolerance of the test: by this much a response may be late, and an attempt timeout may exceed the time
// left to the client.
const timeoutSlack = 150 * time.Millisecond

// The timeout of a pipelined request must start when its bytes arrive, not when the node begins to handle it. Otherwise the
// attempt timeout exceeds the time left to the client, and the response comes after the client's deadline.
func TestPipelinedRequestsKeepTheirTimeouts(t *testing.T) {
	const requests, timeout, work = 4, time.Second, 400 * time.Millisecond
	var mu sync.Mutex // guards the variables below
	var sentAt time.Time
	var excesses []time.Duration
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		timeoutMs, _ := strconv.Atoi(request.Header.Get(protocol.HeaderTimeout))
		mu.Lock()
		excesses = append(excesses, time.Duration(timeoutMs)*time.Millisecond-(timeout-time.Since(sentAt)))
		mu.Unlock()
		time.Sleep(work)
		return frontendtest.Echo(conn, request)
	})
	conn := node.Dial(t)
	mu.Lock()
	sentAt = time.Now()
	mu.Unlock()
	nettest.WriteString(conn, pipelined(requests, int(timeout.Milliseconds())))
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("read the response to request %d: %v", i, err)
		}
		nettest.DiscardAll(response.Body)
		if late := time.Since(sentAt) - timeout; late > timeoutSlack {
			t.Errorf("response to request %d came %v after its deadline, want at most %v", i, late, timeoutSlack)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i, excess := range excesses {
		if excess > timeoutSlack {
			t.Errorf("timeout of attempt %d exceeds the time left by %v, want at most %v", i, excess, timeoutSlack)
		}
	}
}

// pipelined returns the text of several requests. timeout is in milliseconds.
func pipelined(requests, timeout int) string {
	var text strings.Builder
	for range requests {
		text.WriteString(frontendtest.RequestText(timeout, "x"))
	}
	return text.String()
}

// A drain that begins after pipelined requests were read must not lose them: only the last response closes the connection.
func TestDrainAnswersWhatWasReadAhead(t *testing.T) {
	const requests = 3
	started := make(chan struct{}, requests)
	proceed := make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		started <- struct{}{}
		<-proceed
		return frontendtest.Echo(conn, request)
	})
	conn := node.Dial(t)
	nettest.WriteString(conn, pipelined(requests, 3000))
	<-started
	var client *frontend.ClientConn
	node.Server.Mutex().Lock()
	for c := range node.Server.ClientConns() {
		client = c
	}
	node.Server.Mutex().Unlock()
	nettest.Eventually(t, "the read of the pipelined requests", func() bool { return !netio.HasPendingInput(client.Conn()) })
	drained := startDrain(node, 10*time.Millisecond)
	nettest.Eventually(t, "the drain to begin", node.Server.Draining().Load)
	close(proceed)
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("read the response to request %d, which the node has read: %v", i, err)
		}
		nettest.DiscardAll(response.Body)
		if last := i == requests-1; response.Close != last {
			t.Errorf("response %d closes the connection: %v, want %v", i, response.Close, last)
		}
	}
	if _, err := io.ReadAll(reader); err != nil {
		t.Errorf("read after the last response: %v, want a close", err)
	}
	waitDrained(t, drained, 3*time.Second)
}
