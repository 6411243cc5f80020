package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cherrygap/internal/protocol"
)

// serverFleet is the process of the simulated app servers, each with its own listener on its own loopback address. They
// read the platform's requests, wait a drawn service time, answer, and count. They have no queue and don't overload.
type serverFleet struct {
	servers []*simulatedServer
	randoms sync.Pool // of *rand.Rand

	begunByID    [idParts]idPart // how often each request ID began
	connections  atomic.Int64
	openConns    atomic.Int64
	maxOpenConns atomic.Int64
	lateSends    atomic.Int64
	duplicates   atomic.Int64
	safeRepeats  atomic.Int64
}

// idParts is how many locks the request IDs are spread over.
const idParts = 64

type idPart struct {
	sync.Mutex // guards begun
	begun      map[string]int
}

const connReadBuffer = 1024

// RunServers plays so many app servers until in ends: commands, a JSON line each.
func RunServers(count int, seed uint64, in io.Reader, out io.Writer) error {
	f := &serverFleet{}
	for i := range f.begunByID {
		f.begunByID[i].begun = map[string]int{}
	}
	var seeds atomic.Uint64
	f.randoms.New = func() any { return rand.New(rand.NewPCG(seed, seeds.Add(1))) }
	first := serversReply{Addrs: make([]string, count)}
	for i := range count {
		s := &simulatedServer{fleet: f, number: i, addr: loopbackAddress(serverBlock, i), conns: map[net.Conn]struct{}{}}
		if err := s.listen(); err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		first.Addrs[i] = s.addr
	}
	return serveCommands(json.NewDecoder(in), out, first, f.execute)
}

func (f *serverFleet) execute(command serversCommand) (reply serversReply) {
	for _, i := range command.Servers {
		if i < 0 || i >= len(f.servers) {
			return serversReply{Error: fmt.Sprintf("no server %d", i)}
		}
		s := f.servers[i]
		switch command.Verb {
		case serversDrain:
			s.drainedAt.Store(command.At)
		case serversUndrain:
			s.drainedAt.Store(0)
		case serversKill:
			s.kill()
		case serversRevive:
			if err := s.listen(); err != nil {
				reply.Error = err.Error()
			}
		}
	}
	if command.Verb == serversReport {
		reply = f.report()
	}
	return reply
}

func (f *serverFleet) report() serversReply {
	reply := serversReply{
		Begun: make([]int64, len(f.servers)), LateSends: f.lateSends.Load(), Duplicates: f.duplicates.Load(),
		SafeRepeats: f.safeRepeats.Load(), Connections: f.connections.Load(), MaxOpenConns: f.maxOpenConns.Load(),
	}
	for i, s := range f.servers {
		reply.Begun[i] = s.begun.Load()
	}
	return reply
}

// recordID counts a request that begins to run, and tells how often it has.
func (f *serverFleet) recordID(id string) int {
	sum := 0
	for _, b := range []byte(id) {
		sum = sum*31 + int(b)
	}
	part := &f.begunByID[uint(sum)%idParts]
	part.Lock()
	defer part.Unlock()
	part.begun[id]++
	return part.begun[id]
}

// simulatedServer is one app server.
type simulatedServer struct {
	fleet     *serverFleet
	number    int
	begun     atomic.Int64 // requests
	drainedAt atomic.Int64 // when its drain was published, Unix µs; 0: it doesn't drain
	dead      atomic.Bool

	mu       sync.Mutex // guards what follows
	addr     string     // with the port that the first listen got
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// listen opens the server's address, the same as before if it had one. The goroutine that accepts connections ends with
// the listener; each connection has one of its own, which ends with it.
func (s *simulatedServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.number, err)
	}
	s.listener, s.addr = listener, listener.Addr().String()
	s.dead.Store(false)
	go s.accept(listener)
	return nil
}

func (s *simulatedServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.fleet.connections.Add(1)
		if open := s.fleet.openConns.Add(1); open > s.fleet.maxOpenConns.Load() {
			s.fleet.maxOpenConns.Store(open)
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// kill refuses the address and resets what is open, as a machine that lost its power and whose address is routed.
func (s *simulatedServer) kill() {
	s.dead.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *simulatedServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.fleet.openConns.Add(-1)
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, connReadBuffer)
	for s.answerRequest(conn, reader) {
	}
}

// answerRequest serves one request and tells whether the connection goes on.
func (s *simulatedServer) answerRequest(conn net.Conn, reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	id := request.Header.Get(protocol.HeaderRequestID)
	if id != "" && request.Header.Get(directHeader) == "" {
		s.recordBegun(id, request.Method)
	}
	if id != "" {
		rng := s.fleet.randoms.Get().(*rand.Rand)
		duration := drawServiceTime(rng)
		s.fleet.randoms.Put(rng)
		time.Sleep(duration)
	}
	if s.dead.Load() {
		return false
	}
	body := "done " + id + " " + strconv.Itoa(s.number) + "\n"
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// recordBegun counts a request that begins to run.
func (s *simulatedServer) recordBegun(id, method string) {
	s.begun.Add(1)
	if at := s.drainedAt.Load(); at > 0 && time.Now().UnixMicro()-at > (drainGrace+countSlack).Microseconds() {
		s.fleet.lateSends.Add(1)
	}
	switch times := s.fleet.recordID(id); {
	case times != 2:
	case method == http.MethodPost:
		s.fleet.duplicates.Add(1)
	default:
		s.fleet.safeRepeats.Add(1)
	}
}
