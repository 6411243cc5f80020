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

// budgetSlack is how much an attempt timeout may exceed the time left to the client.
const budgetSlack = 150 * time.Millisecond

// The timeout of each pipelined request starts when it was sent, however long the requests before it take. No attempt
// timeout exceeds the time left, and late requests are answered at once.
func TestPipelinedRequestsKeepTheirOwnTime(t *testing.T) {
	const requests, timeout, work = 4, time.Second, 400 * time.Millisecond
	var mu sync.Mutex // guards both below
	var sentAt time.Time
	var overstated []time.Duration
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		sentMs, _ := strconv.Atoi(request.Header.Get(protocol.HeaderTimeout))
		mu.Lock()
		overstated = append(overstated, time.Duration(sentMs)*time.Millisecond-(timeout-time.Since(sentAt)))
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
			t.Fatalf("request %d: %v", i, err)
		}
		nettest.DiscardAll(response.Body)
		if late := time.Since(sentAt) - timeout; late > budgetSlack {
			t.Errorf("request %d answered %v late", i, late)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i, more := range overstated {
		if more > budgetSlack {
			t.Errorf("attempt %d had a timeout %v over the time left", i, more)
		}
	}
}

// pipelined returns several requests in one text.
func pipelined(requests, timeout int) string {
	var text strings.Builder
	for range requests {
		text.WriteString(frontendtest.RequestText(timeout, "x"))
	}
	return text.String()
}

// Pipelined requests that were read are answered, even if the node starts to drain meanwhile.
func TestDrainAnswersWhatWasReadAhead(t *testing.T) {
	const requests = 3
	began := make(chan struct{}, requests)
	goOn := make(chan struct{})
	node := frontendtest.Start(t, settings.RetrySafe, frontendtest.Limits, 1, func(conn net.Conn, request *http.Request) bool {
		began <- struct{}{}
		<-goOn
		return frontendtest.Echo(conn, request)
	})
	conn := node.Dial(t)
	nettest.WriteString(conn, pipelined(requests, 3000))
	<-began
	var client *frontend.ClientConn
	node.Server.Mutex().Lock()
	for c := range node.Server.ClientConns() {
		client = c
	}
	node.Server.Mutex().Unlock()
	nettest.Eventually(t, "a second request read", func() bool { return !netio.HasPendingInput(client.Conn()) })
	drained := startDrain(node, 10*time.Millisecond)
	nettest.Eventually(t, "the drain", node.Server.Draining().Load)
	close(goOn)
	reader := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d, which was read, was not answered: %v", i, err)
		}
		nettest.DiscardAll(response.Body)
		if last := i == requests-1; response.Close != last {
			t.Errorf("response %d: closes %v", i, response.Close)
		}
	}
	if _, err := io.ReadAll(reader); err != nil {
		t.Errorf("%v instead of a close", err)
	}
	waitDrained(t, drained, 3*time.Second)
}
