package transport

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cherrygap/internal/healthcheck"
	"cherrygap/internal/protocol"
	"cherrygap/internal/routing"
)

// Twelve nodes on loopback, killed and started again at random: no app server goes unchecked for more than two
// periods, few are checked twice, and a drained one is not checked at all.
func TestSharedChecksSurviveTheirOwners(t *testing.T) {
	const nodes, servers = 12, 8
	r := rand.New(rand.NewSource(4))
	var mu sync.Mutex
	last, worst, checks := [servers]time.Time{}, [servers]time.Duration{}, [servers]int{}
	seen := func(k int) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		worst[k] = max(worst[k], now.Sub(last[k]))
		last[k] = now
	}
	list := &protocol.EndpointList{Full: true}
	for k := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != "/healthz" || q.Header.Get("X-Call-Id") != "" {
				t.Errorf("%s with id %q", q.URL, q.Header.Get("X-Call-Id"))
			}
			seen(k)
			mu.Lock()
			checks[k]++
			mu.Unlock()
		}))
		mu.Lock() // the network is no order that the race detector sees
		last[k] = time.Now()
		mu.Unlock()
		list.Endpoints = append(list.Endpoints, protocol.Endpoint{
			UID: fmt.Sprint(k), Weight: 1,
			Addr: netip.MustParseAddrPort(ln.Addr().String()),
		})
	}
	list.Endpoints[0].State = protocol.Terminating
	addrs := make([]netip.AddrPort, nodes)
	for k := range addrs {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addrs[k] = netip.MustParseAddrPort(c.LocalAddr().String())
		c.Close()
	}
	peers, log := protocol.NewPeerTable(addrs, netip.AddrPort{}), zerolog.Nop()
	running := make([]func(), nodes)
	var every time.Duration
	startNode := func(k int) {
		mail, err := OpenPeerSocket(addrs[k], peers, &Counters{})
		if err != nil {
			t.Fatal(err)
		}
		router := routing.New(routing.Config{
			Seed: 3, Settings: map[string]string{
				"nodes": "12", "tick": "20",
				"band.0.contract": "20000",
			}, SetTimer: func(time.Duration) {}, SendToPeer: func(int, []byte) {}, PollEndpoints: func() {},
			LogSummary: func([]byte) {},
		})
		router.UpdateEndpoints(list, true)
		d := NewHealthChecker(healthcheck.Config{Me: k, Nodes: nodes, Seed: r.Uint64(), Take: 400, Bytes: 1 << 14, Every: time.Second},
			router, NewPool(roomyLimits, &log, &Counters{}), mail.Send, &log)
		every = d.node.Every()
		go d.Run()
		go mail.Receive(d.ReceivePeerMessage)
		running[k] = func() { d.Close(); mail.conn.Close() }
	}
	for k := range nodes {
		startNode(k)
	}
	began := time.Now()
	for time.Since(began) < 8*time.Second {
		time.Sleep(time.Duration(200+r.Intn(400)) * time.Millisecond)
		if k := r.Intn(nodes); running[k] != nil {
			running[k]()
			running[k] = nil
		} else {
			startNode(k)
		}
		if k := r.Intn(nodes); running[k] == nil && r.Intn(2) == 0 {
			startNode(k)
		}
	}
	for k := range nodes {
		if running[k] != nil {
			running[k]()
		}
	}
	span := time.Since(began)
	for k := 1; k < servers; k++ {
		seen(k)
		if worst[k] > 2*every+every/4 || checks[k] < int(span/every/2) || checks[k] > int(3*span/every) {
			t.Errorf("server %d: unchecked for %v, checked %d times in %v; the period is %v", k, worst[k], checks[k], span, every)
		}
	}
	if checks[0] > 0 {
		t.Errorf("a draining server was checked %d times", checks[0])
	}
}
