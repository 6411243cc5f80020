package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// wire is one client connection.
type wire struct {
	c  net.Conn
	br *bufio.Reader
}

// wires keeps client connections that stand idle, by address.
type wires struct {
	most int

	mu   sync.Mutex
	idle map[string][]*wire
	kept int
}

func (w *wires) take(addr string) *wire {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.idle[addr]
	if len(s) == 0 {
		return nil
	}
	l := s[len(s)-1]
	w.idle[addr], w.kept = s[:len(s)-1], w.kept-1
	return l
}

func (w *wires) put(addr string, l *wire) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kept >= w.most {
		l.c.Close()
		return
	}
	w.idle[addr], w.kept = append(w.idle[addr], l), w.kept+1
}

// drop closes what is idle to an address; to all for "".
func (w *wires) drop(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a, s := range w.idle {
		if addr == "" || a == addr {
			for _, l := range s {
				l.c.Close()
			}
			w.kept -= len(s)
			delete(w.idle, a)
		}
	}
}

func (w *wires) dial(ctx context.Context, addr string) (*wire, error) {
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &wire{c, bufio.NewReaderSize(c, 1024)}, nil
}

// ask sends one request and reads its answer.
func (l *wire) ask(text string, until time.Time) (status int, body string, last bool, err error) {
	l.c.SetDeadline(until)
	if _, err := io.WriteString(l.c, text); err != nil {
		return 0, "", true, err
	}
	a, err := http.ReadResponse(l.br, nil)
	if err != nil {
		return 0, "", true, err
	}
	raw, err := io.ReadAll(a.Body)
	return a.StatusCode, string(raw), a.Close || err != nil, err
}

// tally counts one section's requests.
type tally struct {
	name                                              string
	began, ended                                      time.Time
	sent, completed, refused, failed, late            atomic.Int64
	unanswered, unreached, straightFailed, otherwords atomic.Int64
	mu                                                sync.Mutex
	through, straight                                 *hdr.Histogram // µs
}

func newTally(name string) *tally {
	return &tally{name: name, began: time.Now(), through: newHist(), straight: newHist()}
}

// clients are the open-loop clients of the real nodes.
type clients struct {
	cfg      *Config
	nodes    []*realNode
	crowds   []crowd
	servers  []string
	now      atomic.Pointer[tally] // the section under way
	loaded   atomic.Bool
	toNodes  *wires
	toApps   *wires
	open     sync.WaitGroup
	ids      atomic.Uint64
	answered atomic.Int64 // number of the server that last did

	mu  sync.Mutex
	lag *hdr.Histogram
}

func newClients(c *Config, nodes []*realNode, servers []string) *clients {
	return &clients{
		cfg: c, nodes: nodes, servers: servers, lag: newHist(),
		crowds:  crowds(*c, func(node int) bool { return node < c.Real }),
		toNodes: &wires{most: c.Real * c.Sockets / 2, idle: map[string][]*wire{}},
		toApps:  &wires{most: straightMax, idle: map[string][]*wire{}},
	}
}

func (c *clients) lagged(due time.Time) {
	late := max(1, time.Since(due).Microseconds())
	c.mu.Lock()
	_ = c.lag.RecordValue(late)
	c.mu.Unlock()
}

// arrive begins the requests of one node's clients, at times drawn in advance whatever becomes of those before. While
// the node is out its clients come by another.
func (c *clients) arrive(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 1<<33|uint64(n)))
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.cfg.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		to := n
		for k := 0; k < len(c.nodes) && !c.nodes[to].taking(); k++ {
			to = (to + 1) % len(c.nodes)
		}
		t, k, again := c.crowds[to].draw(rng), pickClass(rng), rng.Float64() < c.cfg.Straight
		if !c.loaded.Load() || !c.nodes[to].taking() {
			continue
		}
		c.open.Add(1)
		go c.send(ctx, to, t, k, due, again)
	}
}

func (c *clients) text(k *class, t tenant, host, more string) string {
	body := ""
	if !k.repeats {
		body = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %016x\r\nX-Tariff: %s\r\nX-Budget-Ms: %d\r\n"+
		"X-Weight: units=1,spread=%d,first=%d\r\n%s%s\r\n", k.method, k.name, t.key, host, c.ids.Add(1), plans[t.plan].name,
		k.wait.Milliseconds(), t.spread, t.first, more, body)
}

// send is one request of a client, and perhaps the same again, straight to the server that answered it.
func (c *clients) send(ctx context.Context, n int, t tenant, k *class, due time.Time, again bool) {
	defer c.open.Done()
	c.lagged(due)
	s, addr := c.now.Load(), c.nodes[n].listen
	s.sent.Add(1)
	l := c.toNodes.take(addr)
	if l == nil {
		var err error
		if l, err = c.toNodes.dial(context.Background(), addr); err != nil {
			s.unreached.Add(1)
			return
		}
	}
	status, body, last, err := l.ask(c.text(k, t, "edge", ""), due.Add(k.wait+time.Second))
	took := time.Since(due)
	if err != nil || last {
		l.c.Close()
	} else {
		c.toNodes.put(addr, l)
	}
	if err != nil {
		s.unanswered.Add(1)
		return
	}
	if took > k.wait+slack {
		s.late.Add(1)
	}
	switch status {
	case http.StatusOK:
		s.completed.Add(1)
		s.mu.Lock()
		_ = s.through.RecordValue(max(1, took.Microseconds()))
		s.mu.Unlock()
	case http.StatusServiceUnavailable:
		s.refused.Add(1)
	case http.StatusBadGateway:
		s.failed.Add(1)
	default:
		s.otherwords.Add(1)
	}
	if status != http.StatusOK {
		return
	}
	server, err := answeredBy(body)
	if err != nil || server < 0 || server >= len(c.servers) {
		s.otherwords.Add(1)
		return
	}
	c.answered.Store(int64(server))
	if again {
		if err := c.straight(ctx, s, t, k, c.servers[server]); err != nil {
			s.straightFailed.Add(1)
		}
	}
}

// answeredBy is the number of the server that wrote an answer.
func answeredBy(body string) (int, error) {
	f := strings.Fields(body)
	if len(f) != 3 {
		return 0, errWord
	}
	return strconv.Atoi(f[2])
}

var errWord = errors.New("an answer that is not an app server's")

// straight sends the same request to the server that answered it, over a connection that stands, measured as the
// others are: from when it was due.
func (c *clients) straight(ctx context.Context, s *tally, t tenant, k *class, addr string) error {
	l := c.toApps.take(addr)
	if l == nil {
		var err error
		if l, err = c.toApps.dial(ctx, addr); err != nil {
			return err
		}
		// An uncounted probe first: the server's side of a new connection is made with its first bytes.
		if _, _, _, err := l.ask("GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n", time.Now().Add(k.wait)); err != nil {
			l.c.Close()
			return err
		}
	}
	due := time.Now().Add(2 * time.Millisecond)
	time.Sleep(time.Until(due))
	status, _, last, err := l.ask(c.text(k, t, "app", "X-Straight: 1\r\n"), due.Add(k.wait))
	took := time.Since(due)
	if err != nil || last {
		l.c.Close()
	} else {
		c.toApps.put(addr, l)
	}
	if err != nil || status != http.StatusOK {
		return errWord
	}
	s.mu.Lock()
	_ = s.straight.RecordValue(max(1, took.Microseconds()))
	s.mu.Unlock()
	return nil
}
