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

// Clients disconnect at random moments, by a close, a reset or a half-close, with or without pipelined bytes. Attempts
// are being dialled, in flight, rejected, failed or reset, or wait for a quota owner or a free connection; one run has
// one core. No byte of an attempt arrives at an app server more than 0.1 s after the disconnect.
func TestNothingIsForwardedAfterDisconnect(t *testing.T) {
	few := frontendtest.Limits
	few.Sockets = netio.MinReserved + 16
	for _, test := range []randomDisconnects{
		{name: "many", seed: 30, most: 200, pool: frontendtest.Limits},
		{
			name: "quota owner", seed: 31, most: 60, pool: frontendtest.Limits,
			settings: settings.Values{
				settings.Nodes: "60", settings.Node: "0", settings.Peers: settings.On, settings.PeerRate: "40",
			},
		},
		{name: "few connections", seed: 32, most: 60, pool: few},
		{name: "no cancelling", seed: 33, most: 60, pool: frontendtest.Limits, settings: settings.Values{settings.CancelAttempts: "false"}},
		{name: "one core", seed: 34, most: 100, pool: frontendtest.Limits, oneCore: true},
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
	startTerm = 100 * time.Millisecond // bound of the platform on starts after a disconnect
	unsureBy  = 5 * time.Millisecond   // longer closes have no exact time
)

// randomDisconnects is one run with clients that disconnect from one node.
type randomDisconnects struct {
	name     string
	seed     int64
	most     int // disconnects with a request in flight that end the run
	settings settings.Values
	pool     netio.Limits // limits of the connection pool
	oneCore  bool
}

// disconnects is the state and result of a run.
type disconnects struct {
	*randomDisconnects
	node     *frontendtest.Node
	arrivals *arrivalRecorder
	clients  sync.WaitGroup

	mu      sync.Mutex // guards all below
	rand    *rand.Rand
	at      map[string]time.Time // by request id
	unclear int                  // disconnects without an exact time
}

func (d *disconnects) chance(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Intn(n)
}

func (d *disconnects) enough() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.at) >= d.most
}

func (r *randomDisconnects) run(t *testing.T) {
	d := &disconnects{
		randomDisconnects: r, node: frontendtest.StartWith(t, frontendtest.Config{Settings: r.settings, Retries: settings.RetrySafe, Limits: frontendtest.Limits, PoolLimits: &r.pool}),
		arrivals: &arrivalRecorder{arrivals: map[string][]arrival{}},
		rand:     rand.New(rand.NewSource(r.seed)), at: map[string]time.Time{},
	}
	list := &protocol.EndpointList{}
	for range 20 {
		list.Endpoints = append(list.Endpoints, d.arrivals.app(t, d.answer))
	}
	addr, empty := nettest.FullServer(t)
	list.Endpoints = append(list.Endpoints, protocol.Endpoint{UID: "full", Weight: 4, Addr: addr})
	d.node.Router.UpdateEndpoints(list, routing.FromDiscovery)
	within := 400 // ms; longer with a quota owner
	if r.settings[settings.Peers] == settings.On {
		within = 1600
	}
	for range 3000 {
		client := leavingClient{after: time.Duration(d.chance(within)) * time.Millisecond}
		pause := time.Duration(d.chance(10)) * time.Millisecond
		client.how = d.chance(6)
		client.more = strings.Repeat("more ", d.chance(2)*(1+d.chance(4000)))
		if d.enough() {
			break
		}
		client.text = strings.Replace(frontendtest.RequestText(4000, "x"), "spread=1", fmt.Sprint("spread=", min(2, 1+len(r.settings)/4)), 1)
		client.id = fmt.Sprint(frontendtest.LastID.Load())
		d.clients.Add(1)
		go d.play(t, client)
		time.Sleep(pause)
	}
	go d.arrivals.listen(empty(), func(net.Conn) bool { return false }) // accepts the dials that are still open
	d.clients.Wait()
	nettest.Eventually(t, "all ended", func() bool { return d.node.Server.OpenClients() == 0 })
	time.Sleep(2 * startTerm) // for late attempts
	d.check(t)
}

// answer answers an attempt at random and reports whether the connection stays open.
func (d *disconnects) answer(conn net.Conn) bool {
	does := d.chance(10)
	time.Sleep(time.Duration(50+d.chance(600)) * time.Millisecond)
	text := "HTTP/1.1 503 Busy\r\n" + protocol.HeaderRejected + ": " + protocol.RejectedValue + "\r\nContent-Length: 0\r\n\r\n"
	switch {
	case does < 4:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	case does < 5:
		text = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	case does < 6:
		nettest.ResetOnClose(conn)
		return false
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// leavingClient is a client that disconnects after a time if it has no response by then.
type leavingClient struct {
	id, text, more string // the request, and the bytes behind it
	after          time.Duration
	how            int
}

func (d *disconnects) play(t *testing.T, client leavingClient) {
	defer d.clients.Done()
	conn, err := net.Dial("tcp", d.node.Server.Addr().String())
	if err != nil {
		t.Error(err)
		return
	}
	defer nettest.Close(conn)
	nettest.WriteString(conn, client.text)
	nettest.WriteString(conn, client.more)
	netio.SetReadDeadline(conn, time.Now().Add(client.after))
	_, err = conn.Read(make([]byte, 1))
	if !netio.TimedOut(err) { // answered
		return
	}
	before := time.Now()
	switch {
	case client.how < 2:
		nettest.ResetOnClose(conn)
		nettest.Close(conn)
	case client.how < 3:
		nettest.CloseWrite(conn)
	default:
		nettest.Close(conn)
	}
	gone := time.Now()
	d.note(client.id, before, gone)
	if client.how == 2 {
		nettest.DiscardAll(conn)
	}
}

// note records when a client disconnected.
func (d *disconnects) note(id string, before, gone time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at[id] = before.Round(0); gone.Sub(before) > unsureBy { // the exact time is unknown
		d.at[id] = gone.Round(0)
		d.unclear++
	}
}

// check compares the arrivals of attempts with the disconnects.
func (d *disconnects) check(t *testing.T) {
	t.Helper()
	d.arrivals.mu.Lock()
	defer d.arrivals.mu.Unlock()
	late, unsent, again, after, worst := 0, 0, 0, 0, time.Duration(0)
	for id, at := range d.at {
		arrivals := d.arrivals.arrivals[id]
		if len(arrivals) == 0 {
			unsent++
		}
		again += max(0, len(arrivals)-1)
		for _, arrival := range arrivals {
			past := arrival.first.Sub(at)
			if !arrival.last.IsZero() {
				past = arrival.last.Sub(at)
			}
			if worst = max(worst, past); past > 0 {
				after++
			}
			if past > startTerm {
				late++
				t.Errorf("%s: an attempt %v after", id, past)
			}
		}
	}
	if late > 0 || len(d.at) < d.most || unsent == 0 || d.most >= 200 && again == 0 {
		t.Errorf("%d left, %d unsent, %d again", len(d.at), unsent, again)
	}
	t.Logf("%d left while their request waited (%d at a moment known to more than %v only), %d of them never sent, %d sent again; %d attempts "+
		"came after, worst %v, %d later than %v; %d of no request known", len(d.at), d.unclear, unsureBy, unsent, again, after, worst, late, startTerm,
		d.arrivals.unattributed)
}
