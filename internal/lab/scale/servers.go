package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// appServers are the hollow app servers, which share a process: each its own listener on its own loopback address. They
// read the platform's requests, wait a drawn service time, answer, and count. They have no queue and don't fall over.
type appServers struct {
	list []*appServer
	ids  [64]struct {
		sync.Mutex
		runs map[string]int
	}
	conns, late, doubled, repeated atomic.Int64
	open, most                     atomic.Int64
	rngs                           sync.Pool
}

type appServer struct {
	of      *appServers
	number  int
	addr    string
	load    atomic.Int64
	drained atomic.Int64 // when its drain was told, Unix µs; 0: not
	dead    atomic.Bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

// serverOrder is a line on the servers' standard input; each gets one serverWord.
type serverOrder struct {
	Do      string `json:"do"`      // drain, undrain, kill, revive, report
	Servers []int  `json:"servers"` // which
	At      int64  `json:"at"`      // drain: when it was told, Unix µs
}

type serverWord struct {
	Addrs    []string `json:"addrs,omitempty"` // the first word
	Error    string   `json:"error,omitempty"`
	Load     []int64  `json:"load,omitempty"` // requests begun, by server
	Late     int64    `json:"late"`           // begun later after the drain than grace and slack
	Doubled  int64    `json:"doubled"`        // unsafe requests that began a second time
	Repeated int64    `json:"repeated"`       // safe ones that did
	Conns    int64    `json:"conns"`          // connections taken in, and
	MostOpen int64    `json:"most_open"`      // most open at once
}

// RunServers plays so many app servers until standard input ends.
func RunServers(many int, seed uint64, in io.Reader, out io.Writer) error {
	f := &appServers{}
	for i := range f.ids {
		f.ids[i].runs = map[string]int{}
	}
	var seeds atomic.Uint64
	f.rngs.New = func() any { return rand.New(rand.NewPCG(seed, seeds.Add(1))) }
	word := serverWord{Addrs: make([]string, many)}
	for i := range many {
		s := &appServer{of: f, number: i, addr: loopback(32, i, 0), conns: map[net.Conn]struct{}{}}
		if err := s.listen(); err != nil {
			return err
		}
		f.list = append(f.list, s)
		word.Addrs[i] = s.addr
	}
	enc, dec := json.NewEncoder(out), json.NewDecoder(in)
	for err := enc.Encode(word); ; err = enc.Encode(word) {
		if err != nil {
			return err
		}
		var o serverOrder
		if err := dec.Decode(&o); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		word = f.do(o)
	}
}

// loopback is the i-th address of a block of 127/8.
func loopback(block, i, port int) string {
	i++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(block + i>>16), byte(i >> 8), byte(i)}), uint16(port)).String()
}

func (f *appServers) do(o serverOrder) (w serverWord) {
	for _, i := range o.Servers {
		if i < 0 || i >= len(f.list) {
			return serverWord{Error: fmt.Sprintf("no server %d", i)}
		}
		s := f.list[i]
		switch o.Do {
		case "drain":
			s.drained.Store(o.At)
		case "undrain":
			s.drained.Store(0)
		case "kill":
			s.kill()
		case "revive":
			if err := s.listen(); err != nil {
				w.Error = err.Error()
			}
		}
	}
	if o.Do == "report" {
		w.Load = make([]int64, len(f.list))
		for i, s := range f.list {
			w.Load[i] = s.load.Load()
		}
		w.Late, w.Doubled, w.Repeated = f.late.Load(), f.doubled.Load(), f.repeated.Load()
		w.Conns, w.MostOpen = f.conns.Load(), f.most.Load()
	}
	return w
}

// listen opens the server's address, the same as before if it had one.
func (s *appServer) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	s.dead.Store(false)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.of.conns.Add(1)
			if n := s.of.open.Add(1); n > s.of.most.Load() {
				s.of.most.Store(n)
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// kill refuses the address and breaks what is open, as a machine that lost its power and whose address is routed.
func (s *appServer) kill() {
	s.dead.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *appServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.of.open.Add(-1)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 1024)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Call-Id")
		if id != "" && q.Header.Get("X-Straight") == "" {
			s.begun(id, q.Method)
		}
		if id != "" {
			rng := s.of.rngs.Get().(*rand.Rand)
			took := serviceTime(rng)
			s.of.rngs.Put(rng)
			time.Sleep(took)
		}
		body := "done " + id + " " + strconv.Itoa(s.number) + "\n"
		if s.dead.Load() {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
			return
		}
	}
}

// begun counts a request that begins to run.
func (s *appServer) begun(id, method string) {
	s.load.Add(1)
	if at := s.drained.Load(); at > 0 && time.Now().UnixMicro()-at > (grace+slack).Microseconds() {
		s.of.late.Add(1)
	}
	sum := 0
	for _, b := range []byte(id) {
		sum = sum*31 + int(b)
	}
	part := &s.of.ids[uint(sum)%uint(len(s.of.ids))]
	part.Lock()
	part.runs[id]++
	runs := part.runs[id]
	part.Unlock()
	switch {
	case runs != 2:
	case method == http.MethodPost:
		s.of.doubled.Add(1)
	default:
		s.of.repeated.Add(1)
	}
}
