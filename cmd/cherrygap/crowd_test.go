package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"cherrygap/internal/lab/crowd"
	"cherrygap/internal/lab/memusage"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// The least limits that the platform's pages name.
const (
	leastMemoryMB    = 32
	leastDescriptors = 1024
)

const (
	crowdConnections = 600 // more than a node with leastDescriptors accepts
	crowdTime        = 4 * time.Second
	floodConnections = 1
	manyFloods       = 300
	floodTime        = 4 * time.Second
	usualTimeout     = 1500 * time.Millisecond
	usualSlack       = 500 * time.Millisecond // the platform accepts responses so long after the client's timeout
	usualInterval    = 25 * time.Millisecond

	// maxUnconnectedShare is the largest share of requests without a connection. Where other clients connect faster than the node
	// accepts, the kernel drops some attempts to connect, and repeats them after a second.
	maxUnconnectedShare = 0.02
	minServedShare      = 0.5
)

// usualClients are clients that send one request after another and wait for each response.
type usualClients struct {
	address   string
	behaviour usualBehaviour
	meter     *stallMeter
	mu        sync.Mutex
	outcome   usualOutcome
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// usualBehaviour describes usual clients.
type usualBehaviour struct {
	prefix   string // prefix of the ids of all requests
	clients  int
	timeout  time.Duration // timeout of each request
	slack    time.Duration // time after the timeout for which a client waits
	connects bool          // true if a client opens a connection for each request, false if it keeps its connection
}

// usualOutcome counts what happened to the requests of usual clients.
type usualOutcome struct {
	sent, served, rejected int
	lost                   int           // requests without a response in time, and those whose connection was closed twice
	unconnected            int           // requests that were not sent because no connection came about in time
	slowest                time.Duration // longest time until a response
	other                  map[int]int   // other statuses
	times                  []time.Duration
}

// startUsualClients starts clients that keep their connections. Each sends a request every usualInterval.
func startUsualClients(address string, clients int) *usualClients {
	return startClients(address, usualBehaviour{prefix: "usual", clients: clients, timeout: usualTimeout, slack: usualSlack})
}

// startClients starts clients at a node. Each sends a request every usualInterval.
func startClients(address string, behaviour usualBehaviour) *usualClients {
	ctx, cancel := context.WithCancel(context.Background())
	u := &usualClients{address: address, behaviour: behaviour, meter: startStallMeter(), cancel: cancel, outcome: usualOutcome{other: map[int]int{}}}
	for k := range behaviour.clients {
		u.running.Add(1)
		go u.run(ctx, k) // ends on stop
	}
	return u
}

// stop ends the clients and returns the counts.
func (u *usualClients) stop() usualOutcome {
	u.cancel()
	u.running.Wait()
	u.meter.stop()
	return u.outcome
}

// served returns the number of requests that were served so far.
func (u *usualClients) served() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.outcome.served
}

// run sends requests until ctx ends.
func (u *usualClients) run(ctx context.Context, client int) {
	defer u.running.Done()
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for k := 0; ctx.Err() == nil; k++ {
		sentAt := time.Now()
		id := fmt.Sprintf("%s-%d-%d", u.behaviour.prefix, client, k)
		status, next := u.exchange(conn, id)
		if status == 0 && conn != nil && next == nil { // The close may have crossed the request, so it is sent once more.
			status, next = u.exchange(nil, id+"-again")
		}
		if conn = next; conn != nil && u.behaviour.connects {
			_ = conn.Close()
			conn = nil
		}
		u.record(status, u.meter.running(sentAt))
		time.Sleep(usualInterval)
	}
}

// statusUnconnected is the status of a request that was not sent, because the kernel's queue of new connections was full.
const statusUnconnected = -1

// exchange sends a request and waits for its response. It returns the status, 0 without a response in time, and the connection for
// the next request, nil if it has ended.
func (u *usualClients) exchange(conn net.Conn, id string) (int, net.Conn) {
	if conn == nil {
		var err error
		if conn, err = u.dial(); err != nil {
			return statusUnconnected, nil
		}
	}
	_ = conn.SetWriteDeadline(time.Now().Add(u.behaviour.timeout + u.behaviour.slack)) // fails only for a closed connection
	reader := &stallTolerantReader{conn: conn, meter: u.meter, since: time.Now(), limit: u.behaviour.timeout + u.behaviour.slack}
	_, _ = io.WriteString(conn, nodetest.RequestText(id, u.behaviour.timeout)) // the response is missing if this fails
	response, err := http.ReadResponse(bufio.NewReader(reader), nil)
	if err != nil {
		_ = conn.Close()
		return 0, nil
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK && string(body) != nodetest.RequestBody {
		_ = conn.Close()
		return 0, nil
	}
	if response.Close {
		_ = conn.Close()
		conn = nil
	}
	return response.StatusCode, conn
}

// dial opens a connection. It fails once the timeout of a request has passed, not counting stalls, or if the connection is refused.
func (u *usualClients) dial() (net.Conn, error) {
	for startedAt := time.Now(); ; {
		conn, err := net.DialTimeout("tcp", u.address, u.behaviour.timeout-u.meter.running(startedAt))
		if !errors.Is(err, os.ErrDeadlineExceeded) || u.meter.running(startedAt) >= u.behaviour.timeout {
			return conn, err
		}
	}
}

// record counts the end of a request.
func (u *usualClients) record(status int, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.outcome.sent++
	switch status {
	case protocol.StatusCompleted:
		u.outcome.served++
	case protocol.StatusRejected, http.StatusTooManyRequests:
		u.outcome.rejected++
	case 0:
		u.outcome.lost++
	case statusUnconnected:
		u.outcome.unconnected++
		return // no request, so no response is late
	default:
		u.outcome.other[status]++
	}
	u.outcome.slowest = max(u.outcome.slowest, took)
	u.outcome.times = append(u.outcome.times, took)
}

// servedShare returns the share of the requests that were served.
func (o usualOutcome) servedShare() float64 { return float64(o.served) / float64(max(1, o.sent)) }

// check fails the test unless no usual client waited longer than the given time and the given share was served.
func (o usualOutcome) check(t *testing.T, longest time.Duration, minServed, maxUnconnected float64) {
	t.Helper()
	if o.lost > 0 || float64(o.unconnected) > maxUnconnected*float64(o.sent) || len(o.other) > 0 || o.servedShare() < minServed || o.slowest > longest {
		t.Errorf("usual clients: %s, want none lost, no other status, at least %.2f served and %v at most", o, minServed, longest)
	}
}

// startEchoServers starts app servers that echo the body of each request.
func startEchoServers(t *testing.T) (servers []net.Listener) {
	t.Helper()
	for range 4 {
		servers = append(servers, nodetest.ServeHTTP(t, func(w http.ResponseWriter, q *http.Request) {
			body, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
			_, _ = w.Write(body) // fails if the node has closed the connection
		}))
	}
	return servers
}

// startNodeWith starts a node, and app servers that echo the body of each request.
func startNodeWith(t *testing.T, limits nodeLimits) *builtProcess {
	t.Helper()
	address := nodetest.FreeAddress(t)
	startedAt := time.Now()
	p := startBuiltProgram(t, nodeProcessConfigWith(limits, address, nodetest.FreeAddress(t), startEchoServers(t)), address)
	if _, ok := p.ready(startedAt); !ok {
		t.Fatalf("the node with limits %+v did not become ready; log: %s", limits, p.log.String())
	}
	return p
}

// runCrowd runs a crowd against a node beside usual clients, and checks the node's memory and what the usual clients got.
func runCrowd(t *testing.T, kind crowd.Kind, connections int, duration time.Duration) {
	p := startNodeWith(t, nodeLimits{memoryMB: leastMemoryMB, sockets: leastDescriptors})
	sampler := memusage.StartSampler(p.cmd.Process.Pid)
	usual := startUsualClients(p.address, 6)
	time.Sleep(time.Second) // The node learns the servers' latency before the crowd comes.
	hostile := startCrowdProcess(t, p.address, kind, connections)
	time.Sleep(duration)
	opened := hostile.stop(t)
	outcome, peak := usual.stop(), sampler.Stop()
	select {
	case <-p.ended:
		t.Errorf("the node's process ended; log: %s", p.log.String())
	default:
	}
	const limit = leastMemoryMB << 20
	if peak.Total > limit {
		t.Errorf("peak memory is %.1f MiB (resident %.1f, socket buffers %.1f), want at most %d", mebibytes(peak.Total),
			mebibytes(peak.Resident), mebibytes(peak.SocketMemory), leastMemoryMB)
	}
	t.Run("usual-clients", func(t *testing.T) { outcome.check(t, usualTimeout+usualSlack, minServedShare, 0) })
	t.Logf("peak %.1f MiB, resident %.1f, socket buffers %.1f; crowd opened %s connections; usual clients %s", mebibytes(peak.Total),
		mebibytes(peak.Resident), mebibytes(peak.SocketMemory), opened, outcome)
}

func mebibytes(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// Protects against a process over its memory limit while hundreds of clients write slowly, stop half way or send long heads.
func TestCrowdsStayWithinMemory(t *testing.T) {
	for _, kind := range crowd.Kinds() {
		t.Run(kind.Name, func(t *testing.T) { runCrowd(t, kind, crowdConnections, crowdTime) })
	}
}

// Protects against late answers, and against memory that grows, while one client sends at full speed.
func TestFloodsLeaveOthersServed(t *testing.T) {
	for _, kind := range crowd.Floods() {
		t.Run(kind.Name, func(t *testing.T) { runCrowd(t, kind, floodConnections, floodTime) })
	}
}

// Protects against late answers while many clients send small valid requests at full speed.
func TestManyFloodsLeaveOthersServed(t *testing.T) {
	runCrowd(t, crowd.Floods()[0], manyFloods, floodTime)
}
