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

	"cherrygap/internal/lab/appserver"
)

const connReadBufferBytes = 1024

// serverFleet holds the simulated app servers of the worker process, each with its own loopback address. A server waits a
// random service time before each response. It has no queue and is never overloaded.
type serverFleet struct {
	servers       []*simulatedServer
	randomSources sync.Pool // pool of *rand.Rand

	executions   appserver.Executions // executions of each request at all servers
	connections  atomic.Int64         // number of accepted connections
	openConns    atomic.Int64         // number of open connections
	maxOpenConns atomic.Int64         // maximum of openConns
	lateSends    atomic.Int64         // executions later than drainGrace and violationTolerance after a drain was published
	duplicates   atomic.Int64         // unsafe requests that servers executed a second time
	safeRepeats  atomic.Int64         // safe requests that servers executed a second time
}

// RunServers runs count app servers until in ends. It reads commands from in. To out it first writes the servers' addresses,
// and then one reply to each command. Each message is one line of JSON.
func RunServers(count int, seed uint64, in io.Reader, out io.Writer) error {
	f := &serverFleet{}
	var seeds atomic.Uint64
	f.randomSources.New = func() any { return rand.New(rand.NewPCG(seed, seeds.Add(1))) }
	first := serversReply{Addrs: make([]string, count)}
	for i := range count {
		s := newSimulatedServer(f, i)
		if err := s.listen(); err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		first.Addrs[i] = s.server.Addr()
	}
	return serveCommands(json.NewDecoder(in), out, first, f.execute)
}

// execute executes a command of the lab and returns the reply.
func (f *serverFleet) execute(command serversCommand) (reply serversReply) {
	for _, i := range command.Servers {
		if i < 0 || i >= len(f.servers) {
			return serversReply{Error: fmt.Sprintf("server %d does not exist", i)}
		}
		s := f.servers[i]
		switch command.Verb {
		case serversDrain:
			s.drainedAt.Store(command.At)
		case serversUndrain:
			s.drainedAt.Store(0)
		case serversKill:
			s.kill()
		case serversRestart:
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

// report returns all counts of the run.
func (f *serverFleet) report() serversReply {
	reply := serversReply{
		ExecutionsBegun: make([]int64, len(f.servers)), LateSends: f.lateSends.Load(), Duplicates: f.duplicates.Load(),
		SafeRepeats: f.safeRepeats.Load(), Connections: f.connections.Load(), MaxOpenConns: f.maxOpenConns.Load(),
	}
	for i, s := range f.servers {
		reply.ExecutionsBegun[i] = s.executionsBegun.Load()
	}
	return reply
}

// simulatedServer is a simulated app server. It stays the same over restarts of the server.
type simulatedServer struct {
	fleet           *serverFleet
	number          int
	server          *appserver.Server
	executionsBegun atomic.Int64 // number of executions begun
	drainedAt       atomic.Int64 // time at which the server's drain was published, Unix µs; 0: in service
	killed          atomic.Bool  // whether the lab has killed the server and not restarted it
}

// newSimulatedServer returns a server that does not listen yet.
func newSimulatedServer(f *serverFleet, number int) *simulatedServer {
	s := &simulatedServer{fleet: f, number: number}
	s.server = appserver.New(loopbackAddress(serverBlock, number), s.serve)
	return s
}

// listen opens the server's address, which stays the same after each kill.
func (s *simulatedServer) listen() error {
	s.killed.Store(false)
	if err := s.server.Listen(nil); err != nil {
		return fmt.Errorf("server %d: %w", s.number, err)
	}
	return nil
}

// kill closes the listener and resets the open connections, as if the server's process had been killed.
func (s *simulatedServer) kill() {
	s.killed.Store(true)
	s.server.Kill()
}

// serve serves the requests of a connection until the connection ends.
func (s *simulatedServer) serve(conn net.Conn) {
	s.fleet.connections.Add(1)
	if open := s.fleet.openConns.Add(1); open > s.fleet.maxOpenConns.Load() {
		s.fleet.maxOpenConns.Store(open)
	}
	defer s.fleet.openConns.Add(-1)
	reader := bufio.NewReaderSize(conn, connReadBufferBytes)
	for s.serveRequest(conn, reader) {
	}
}

// serveRequest serves one request and reports whether the connection can carry another one. A request without an ID is a
// health check, which needs no service time.
func (s *simulatedServer) serveRequest(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	request, err := appserver.ReadRequest(reader)
	if err != nil {
		return false
	}
	if request.ID != "" && request.Header.Get(directHeader) == "" {
		s.recordExecution(request)
	}
	if request.ID != "" {
		rng := s.fleet.randomSources.Get().(*rand.Rand)
		duration := drawServiceTime(rng)
		s.fleet.randomSources.Put(rng)
		time.Sleep(duration)
	}
	if s.killed.Load() {
		return false
	}
	body := "done " + request.ID + " " + strconv.Itoa(s.number) + "\n"
	return appserver.WriteResponse(conn, http.StatusOK, body) == nil
}

// recordExecution counts an execution of a request that begins now.
func (s *simulatedServer) recordExecution(request appserver.Request) {
	s.executionsBegun.Add(1)
	if at := s.drainedAt.Load(); at > 0 && time.Now().UnixMicro()-at > (drainGrace+violationTolerance).Microseconds() {
		s.fleet.lateSends.Add(1)
	}
	switch executions := s.fleet.executions.Begin(request.ID); {
	case executions != 2:
	case request.Method == http.MethodPost:
		s.fleet.duplicates.Add(1)
	default:
		s.fleet.safeRepeats.Add(1)
	}
}
