// Package store is the laboratory's stand-in for a shared store that speaks Redis's protocol (RESP2, on the wire by
// redcon): the few commands that the project uses, on loopback, and faults on a schedule from a seed. It is written
// from the protocol's public specification and holds no code of a store.
package store

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/tidwall/redcon"
)

// Kinds are the faults that a store can have.
var Kinds = []string{"stall", "slow", "cut", "empty", "failover", "forget", "full", "split"}

// Fault is one trouble, from At after the start for For (seconds).
type Fault struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at_s"`
	For     float64 `toml:"for_s"`
	DelayMs float64 `toml:"delay_ms"` // slow: of each answer
	Chance  float64 `toml:"chance"`   // forget: of each write
	LoseMs  float64 `toml:"lose_ms"`  // failover: writes of so long before it are gone; half come back at its end
}

// Check tells what is wrong with a fault; nil for nothing.
func (f Fault) Check() error {
	known := false
	for _, k := range Kinds {
		known = known || f.Kind == k
	}
	switch {
	case !known:
		return fmt.Errorf("kind %q is none of %s", f.Kind, strings.Join(Kinds, ", "))
	case !(f.At >= 0 && f.For >= 0 && f.DelayMs >= 0 && f.LoseMs >= 0 && f.Chance >= 0 && f.Chance <= 1):
		return fmt.Errorf("%s at %v s: a figure is out of range", f.Kind, f.At)
	}
	return nil
}

// LoadSchedule reads the faults of a schedule file (TOML, one [[fault]] table each). It refuses keys that nobody reads
// and faults that can't be, and names them.
func LoadSchedule(path string) ([]Fault, error) {
	var file struct {
		Fault []Fault `toml:"fault"`
	}
	md, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, err
	}
	for _, k := range md.Undecoded() {
		return nil, fmt.Errorf("%s: %s: no such key", path, k)
	}
	for i, f := range file.Fault {
		if err := f.Check(); err != nil {
			return nil, fmt.Errorf("%s: fault %d: %w", path, i, err)
		}
	}
	return file.Fault, nil
}

// write is one that may be lost when another store takes over.
type write struct {
	at                time.Time
	key, field, value string
}

// data is what one store, or one half of a split one, holds.
type data struct {
	words  map[string]string
	hashes map[string]map[string]string
	until  map[string]time.Time
	last   []write
}

func newData() *data {
	return &data{words: map[string]string{}, hashes: map[string]map[string]string{}, until: map[string]time.Time{}}
}

func (d *data) copy() *data {
	c := newData()
	for k, v := range d.words {
		c.words[k] = v
	}
	for k, h := range d.hashes {
		c.hashes[k] = map[string]string{}
		for f, v := range h {
			c.hashes[k][f] = v
		}
	}
	for k, v := range d.until {
		c.until[k] = v
	}
	return c
}

// peer is one connection.
type peer struct {
	name  string
	multi bool
	queue [][]string
}

// Server is a stand-in store.
type Server struct {
	srv   *redcon.Server
	ln    net.Listener
	began time.Time
	stop  chan struct{}

	mu      sync.Mutex
	chance  *rand.Rand
	halves  [2]*data // the same, unless split
	on      map[string]Fault
	conns   map[redcon.Conn]bool
	applied map[string]int64
}

// Start starts a store on a loopback address (port 0 for a free one). Its faults are on from now on.
func Start(addr string, seed uint64, faults []Fault) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if !ln.Addr().(*net.TCPAddr).IP.IsLoopback() {
		ln.Close()
		return nil, fmt.Errorf("%s is not a loopback address", addr)
	}
	d := newData()
	s := &Server{
		ln: ln, began: time.Now(), stop: make(chan struct{}), chance: rand.New(rand.NewPCG(seed, 3)),
		halves: [2]*data{d, d}, on: map[string]Fault{}, conns: map[redcon.Conn]bool{}, applied: map[string]int64{},
	}
	for _, f := range faults {
		if err := f.Check(); err != nil {
			ln.Close()
			return nil, err
		}
		go s.trouble(f)
	}
	s.srv = redcon.NewServer("", s.handle, func(c redcon.Conn) bool {
		c.SetContext(&peer{})
		s.mu.Lock()
		defer s.mu.Unlock()
		_, cut := s.on["cut"]
		s.conns[c] = !cut
		return !cut
	}, func(c redcon.Conn, _ error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	})
	go s.srv.Serve(ln)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	close(s.stop)
	s.srv.Close()
}

// Applied counts commands by name.
func (s *Server) Applied() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, v := range s.applied {
		out[k] = v
	}
	return out
}

// wait waits until so long after the start, and tells whether the server is still on.
func (s *Server) wait(after float64) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(time.Until(s.began.Add(time.Duration(after * float64(time.Second))))):
		return true
	}
}

// trouble switches one fault on and off.
func (s *Server) trouble(f Fault) {
	if !s.wait(f.At) {
		return
	}
	s.mu.Lock()
	s.on[f.Kind] = f
	var gone []write
	switch f.Kind {
	case "empty":
		d := newData()
		s.halves = [2]*data{d, d}
	case "split":
		s.halves[1] = s.halves[0].copy()
	case "failover":
		from := time.Now().Add(-time.Duration(f.LoseMs * float64(time.Millisecond)))
		for _, w := range s.halves[0].last {
			if w.at.After(from) {
				delete(s.halves[0].hashes[w.key], w.field)
				gone = append(gone, w)
			}
		}
	}
	if f.Kind == "cut" || f.Kind == "empty" || f.Kind == "failover" { // another process: no connection outlives it
		for c := range s.conns {
			c.NetConn().Close()
		}
	}
	s.mu.Unlock()
	if !s.wait(f.At + f.For) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.on, f.Kind)
	switch f.Kind {
	case "split": // the first half's word holds
		s.halves[1] = s.halves[0]
	case "failover": // late and doubled: what was taken for lost
		for _, w := range gone {
			if s.chance.IntN(2) == 0 {
				s.halves[0].put(w.key, w.field, w.value)
			}
		}
	}
}

// handle takes in one command. Each connection has its own goroutine, which a stall holds up.
func (s *Server) handle(c redcon.Conn, cmd redcon.Command) {
	words := make([]string, len(cmd.Args))
	for k, a := range cmd.Args {
		words[k] = string(a)
	}
	words[0] = strings.ToUpper(words[0])
	p := c.Context().(*peer)
	switch words[0] {
	case "MULTI":
		p.multi, p.queue = true, nil
		c.WriteString("OK")
		return
	case "DISCARD":
		p.multi, p.queue = false, nil
		c.WriteString("OK")
		return
	case "EXEC":
		if !p.multi {
			c.WriteError("ERR EXEC without MULTI")
			return
		}
		queue := p.queue
		p.multi, p.queue = false, nil
		s.hold()
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, full := s.on["full"]; full {
			c.WriteError("EXECABORT Transaction discarded because of: OOM command not allowed when used memory > 'maxmemory'.")
			return
		}
		c.WriteArray(len(queue))
		for _, w := range queue {
			s.do(c, p, w)
		}
		return
	}
	if p.multi {
		p.queue = append(p.queue, words)
		c.WriteString("QUEUED")
		return
	}
	s.hold()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do(c, p, words)
}

// hold waits while a fault wants it.
func (s *Server) hold() {
	for {
		s.mu.Lock()
		slow, isSlow := s.on["slow"]
		_, stalled := s.on["stall"]
		s.mu.Unlock()
		if isSlow {
			time.Sleep(time.Duration(slow.DelayMs * float64(time.Millisecond)))
		}
		if !stalled {
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// fresh drops what is over.
func (d *data) fresh(key string) {
	if at, ok := d.until[key]; ok && time.Now().After(at) {
		delete(d.words, key)
		delete(d.hashes, key)
		delete(d.until, key)
	}
}

func (d *data) put(key, field, value string) (added bool) {
	h := d.hashes[key]
	if h == nil {
		h = map[string]string{}
		d.hashes[key] = h
	}
	_, was := h[field]
	h[field] = value
	return !was
}

const mostLast = 4096 // writes that a take-over may lose

// do carries out one command; the lock is held.
func (s *Server) do(c redcon.Conn, p *peer, w []string) {
	d := s.halves[0]
	if _, split := s.on["split"]; split { // a client's name ends with its number
		if last := p.name; last != "" && last[len(last)-1]%2 == 1 {
			d = s.halves[1]
		}
	}
	s.applied[w[0]]++
	writes := w[0] == "SET" || w[0] == "SETNX" || w[0] == "INCRBY" || w[0] == "HSET"
	if _, full := s.on["full"]; full && writes {
		c.WriteError("OOM command not allowed when used memory > 'maxmemory'.")
		return
	}
	forget, on := s.on["forget"]
	lost := on && writes && s.chance.Float64() < forget.Chance
	if len(w) > 1 {
		d.fresh(w[1])
	}
	need := map[string]int{"GET": 2, "SET": 3, "SETNX": 3, "INCRBY": 3, "HSET": 4, "HGETALL": 2, "EXPIRE": 3, "PEXPIRE": 3, "DEL": 2}
	if len(w) < need[w[0]] {
		c.WriteError("ERR wrong number of arguments for '" + strings.ToLower(w[0]) + "' command")
		return
	}
	switch w[0] {
	case "PING":
		c.WriteString("PONG")
	case "SELECT":
		c.WriteString("OK")
	case "CLIENT":
		if len(w) > 2 && strings.EqualFold(w[1], "SETNAME") {
			p.name = w[2]
		}
		c.WriteString("OK")
	case "GET":
		if v, ok := d.words[w[1]]; ok {
			c.WriteBulkString(v)
		} else {
			c.WriteNull()
		}
	case "SET":
		for _, option := range w[3:] {
			if _, there := d.words[w[1]]; there && strings.EqualFold(option, "NX") {
				c.WriteNull()
				return
			}
		}
		if !lost {
			d.words[w[1]] = w[2]
			delete(d.until, w[1])
		}
		c.WriteString("OK")
	case "SETNX":
		if _, there := d.words[w[1]]; there {
			c.WriteInt(0)
			return
		}
		d.words[w[1]] = w[2]
		c.WriteInt(1)
	case "INCRBY":
		by, err := strconv.ParseInt(w[2], 10, 64)
		have, err2 := int64(0), error(nil)
		if v, ok := d.words[w[1]]; ok {
			have, err2 = strconv.ParseInt(v, 10, 64)
		}
		if err != nil || err2 != nil {
			c.WriteError("ERR value is not an integer or out of range")
			return
		}
		if !lost {
			d.words[w[1]] = strconv.FormatInt(have+by, 10)
		}
		c.WriteInt64(have + by)
	case "HSET":
		added := 0
		for k := 2; k+1 < len(w); k += 2 {
			if lost {
				added++
				continue
			}
			if d.put(w[1], w[k], w[k+1]) {
				added++
			}
			d.last = append(d.last, write{time.Now(), w[1], w[k], w[k+1]})
		}
		if len(d.last) > mostLast {
			d.last = append(d.last[:0], d.last[mostLast/2:]...)
		}
		c.WriteInt(added)
	case "HGETALL":
		h := d.hashes[w[1]]
		c.WriteArray(2 * len(h))
		for f, v := range h {
			c.WriteBulkString(f)
			c.WriteBulkString(v)
		}
	case "EXPIRE", "PEXPIRE":
		n, err := strconv.ParseInt(w[2], 10, 64)
		unit := time.Second
		if w[0] == "PEXPIRE" {
			unit = time.Millisecond
		}
		_, word := d.words[w[1]]
		_, hash := d.hashes[w[1]]
		switch {
		case err != nil:
			c.WriteError("ERR value is not an integer or out of range")
		case !word && !hash:
			c.WriteInt(0)
		default:
			d.until[w[1]] = time.Now().Add(time.Duration(n) * unit)
			c.WriteInt(1)
		}
	case "DEL":
		n := 0
		for _, k := range w[1:] {
			_, word := d.words[k]
			_, hash := d.hashes[k]
			if word || hash {
				n++
			}
			delete(d.words, k)
			delete(d.hashes, k)
			delete(d.until, k)
		}
		c.WriteInt(n)
	default:
		c.WriteError("ERR unknown command '" + w[0] + "'")
	}
}
