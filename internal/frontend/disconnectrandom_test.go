package frontend_test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/frontend/frontendtest"
	"cherrygap/internal/netio"
	"cherrygap/internal/nettest"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
	"cherrygap/internal/settings"
)

// No byte of an attempt may arrive at an app server more than 0.1 s after the client's disconnect. Clients disconnect at
// random times, by a close, a reset or a half-close, with or without pipelined bytes. At that time an attempt may be dialling,
// in flight, rejected, failed or reset, or the request may wait for a quota owner or a free connection. One run uses one core.
func TestNothingIsForwardedAfterDisconnect(t *testing.T) {
	fewDescriptors := frontendtest.Limits
	fewDescriptors.MaxDescriptors = netio.MinReserved + 16
	for _, test := range []disconnectConfig{
		{name: "many", seed: 30, targetDisconnects: 200, pool: frontendtest.Limits},
		{
			name: "quota owner", seed: 31, targetDisconnects: 60, pool: frontendtest.Limits,
			settings: settings.Values{
				settings.Nodes: "60", settings.Node: "0", settings.Peers: settings.On, settings.PeerRate: "40",
			},
		},
		{name: "few connections", seed: 32, targetDisconnects: 60, pool: fewDescriptors},
		{name: "no cancelling", seed: 33, targetDisconnects: 60, pool: frontendtest.Limits, settings: settings.Values{settings.CancelAttempts: "false"}},
		{name: "one core", seed: 34, targetDisconnects: 100, pool: frontendtest.Limits, oneCore: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.oneCore {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			}
			test.run(t)
		})
	}
}

const (
	maxArrivalDelay = 100 * time.Millisecond // platform's limit on the start of an attempt after a disconnect
	maxCloseTime    = 5 * time.Millisecond   // duration of a close above which the time of the disconnect is inexact
)

// disconnectConfig is the configuration of one run in which clients disconnect from one node.
type disconnectConfig struct {
	name              string
	seed              int64
	targetDisconnects int // number of disconnects with a request in flight that ends the run
	settings          settings.Values
	pool              netio.Limits // limits of the connection pool
	oneCore           bool
}

// disconnectRun holds the state and the results of one run.
type disconnectRun struct {
	*disconnectConfig
	node     *frontendtest.Node
	arrivals *arrivalRecorder
	clients  sync.WaitGroup

	mu             sync.Mutex // guards the fields below
	rand           *rand.Rand
	disconnectedAt map[string]time.Time // time of the disconnect, keyed by request id
	inexactTimes   int                  // number of disconnects whose time is inexact
}

// randomInt returns a random number from 0 to n-1.
func (d *disconnectRun) randomInt(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Intn(n)
}

// hasEnough reports whether enough clients have disconnected.
func (d *disconnectRun) hasEnough() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.disconnectedAt) >= d.targetDisconnects
}

func (c *disconnectConfig) run(t *testing.T) {
	d := &disconnectRun{
		disconnectConfig: c, node: frontendtest.StartWith(t, frontendtest.Config{Settings: c.settings, RetrySafety: settings.RetrySafe, Limits: frontendtest.Limits, PoolLimits: &c.pool}),
		arrivals: &arrivalRecorder{arrivals: map[string][]arrival{}},
		rand:     rand.New(rand.NewSource(c.seed)), disconnectedAt: map[string]time.Time{},
	}
	list := &protocol.EndpointList{}
	for range 20 {
		list.Endpoints = append(list.Endpoints, d.arrivals.startServer(t, d.answer))
	}
	addr, startAccepting := nettest.FullServer(t)
	list.Endpoints = append(list.Endpoints, protocol.Endpoint{UID: "full", Weight: 4, Addr: addr})
	d.node.Router.UpdateEndpoints(list, routing.FromDiscovery)
	maxWaitMs := 400 // upper bound of the time to a disconnect, in ms; longer with a quota owner
	if c.settings[settings.Peers] == settings.On {
		maxWaitMs = 1600
	}
	for range 3000 {
		client := disconnectingClient{disconnectAfter: time.Duration(d.randomInt(maxWaitMs)) * time.Millisecond}
		pause := time.Duration(d.randomInt(10)) * time.Millisecond
		client.closeMode = d.randomInt(6)
		client.pipelined = strings.Repeat("more ", d.randomInt(2)*(1+d.randomInt(4000)))
		if d.hasEnough() {
			break
		}
		client.text = strings.Replace(frontendtest.RequestText(4000, "x"), "spread=1", fmt.Sprint("spread=", min(2, 1+len(c.settings)/4)), 1)
		client.id = fmt.Sprint(frontendtest.LastRequestID.Load())
		d.clients.Add(1)
		go d.runClient(t, client)
		time.Sleep(pause)
	}
	go d.arrivals.listen(startAccepting(), func(net.Conn) bool { return false }) // accepts the connections that are still being dialled
	d.clients.Wait()
	nettest.Eventually(t, "the close of all client connections", func() bool { return d.node.Server.OpenClients() == 0 })
	time.Sleep(2 * maxArrivalDelay) // time for late attempts to arrive
	d.check(t)
}

// answer sends a random response to an attempt and reports whether the connection stays open.
func (d *disconnectRun) answer(conn net.Conn) bool {
	action := d.randomInt(10)
	time.Sleep(time.Duration(50+d.randomInt(600)) * time.Millisecond)
	response := "HTTP/1.1 503 Busy\r\n" + protocol.HeaderRejected + ": " + protocol.RejectedValue + "\r\nContent-Length: 0\r\n\r\n"
	switch {
	case action < 4:
		response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	case action < 5:
		response = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	case action < 6:
		nettest.ResetOnClose(conn)
		return false
	}
	_, err := io.WriteString(conn, response)
	return err == nil
}

// disconnectingClient is a client that disconnects at a given time unless it has a response by then.
type disconnectingClient struct {
	id, text, pipelined string        // request id, text of the request, and pipelined bytes behind it
	disconnectAfter     time.Duration // time from the request to the disconnect
	closeMode           int           // kind of disconnect: 0 and 1 reset, 2 half-close, 3 and above close
}

// runClient runs one client.
func (d *disconnectRun) runClient(t *testing.T, client disconnectingClient) {
	defer d.clients.Done()
	conn, err := net.Dial("tcp", d.node.Server.Addr().String())
	if err != nil {
		t.Errorf("dial the node: %v", err)
		return
	}
	defer nettest.Close(conn)
	nettest.WriteString(conn, client.text)
	nettest.WriteString(conn, client.pipelined)
	netio.SetReadDeadline(conn, time.Now().Add(client.disconnectAfter))
	_, err = conn.Read(make([]byte, 1))
	if !netio.TimedOut(err) { // the client has a response, or the connection has ended
		return
	}
	startedAt := time.Now()
	switch {
	case client.closeMode < 2:
		nettest.ResetOnClose(conn)
		nettest.Close(conn)
	case client.closeMode < 3:
		nettest.CloseWrite(conn)
	default:
		nettest.Close(conn)
	}
	endedAt := time.Now()
	d.recordDisconnect(client.id, startedAt, endedAt)
	if client.closeMode == 2 {
		nettest.DiscardAll(conn)
	}
}

// recordDisconnect records the time of a client's disconnect, which began at startedAt and was complete at endedAt.
func (d *disconnectRun) recordDisconnect(id string, startedAt, endedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.disconnectedAt[id] = startedAt.Round(0); endedAt.Sub(startedAt) > maxCloseTime { // the disconnect may have happened as late as endedAt
		d.disconnectedAt[id] = endedAt.Round(0)
		d.inexactTimes++
	}
}

// check compares the arrivals of attempts with the times of the disconnects.
func (d *disconnectRun) check(t *testing.T) {
	t.Helper()
	d.arrivals.mu.Lock()
	defer d.arrivals.mu.Unlock()
	late, withoutAttempt, retries, arrivedAfter, longest := 0, 0, 0, 0, time.Duration(0)
	for id, disconnectedAt := range d.disconnectedAt {
		arrivals := d.arrivals.arrivals[id]
		if len(arrivals) == 0 {
			withoutAttempt++
		}
		retries += max(0, len(arrivals)-1)
		for _, arrival := range arrivals {
			delay := arrival.first.Sub(disconnectedAt)
			if !arrival.last.IsZero() {
				delay = arrival.last.Sub(disconnectedAt)
			}
			if longest = max(longest, delay); delay > 0 {
				arrivedAfter++
			}
			if delay > maxArrivalDelay {
				late++
				t.Errorf("request %s: an attempt arrived %v after the disconnect, want at most %v", id, delay, maxArrivalDelay)
			}
		}
	}
	if late > 0 || len(d.disconnectedAt) < d.targetDisconnects || withoutAttempt == 0 || d.targetDisconnects >= 200 && retries == 0 {
		t.Errorf("disconnects: %d, want at least %d; late attempts: %d, want 0; requests without an attempt: %d, want at least 1; "+
			"retries: %d, want at least 1 if at least 200 disconnects are wanted", len(d.disconnectedAt), d.targetDisconnects, late, withoutAttempt, retries)
	}
	t.Logf("%d disconnects with a request in flight (%d with a time uncertain by more than %v), %d requests without an attempt, %d retries; "+
		"%d attempts arrived after the disconnect, the last %v after it, %d more than %v after it; %d attempts without a request id",
		len(d.disconnectedAt), d.inexactTimes, maxCloseTime, withoutAttempt, retries, arrivedAfter, longest, late, maxArrivalDelay, d.arrivals.unattributed)
}
