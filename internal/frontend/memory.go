package frontend

import (
	"cmp"
	"slices"
	"time"

	"cherrygap/internal/membudget"
	"cherrygap/internal/netio"
	"cherrygap/internal/numeric"
	"cherrygap/internal/protocol"
)

const (
	// requestMemory is the memory of a request in flight, without its message: the stacks of two goroutines, the connection to
	// the app server and the buffers of both connections, in bytes.
	requestMemory = 24 << 10
	// maxUnacknowledged is the number of response bytes that the kernel may hold for a client when the next request begins.
	maxUnacknowledged = 4 << 10
)

const (
	// memoryWait is the longest time for which a request waits for memory that others are about to release.
	memoryWait = 20 * time.Millisecond
	// OverMemoryRetryAfter is the time after which a client may repeat a request that did not fit into the memory.
	OverMemoryRetryAfter = 500 * time.Millisecond
)

const (
	// minReliefInterval is the minimum time between two passes over the connections in search of memory.
	minReliefInterval = 2 * time.Millisecond
)

// Bounds of the time between two checks of whether the client's machine has acknowledged a response. The time doubles.
const (
	minAcknowledgementPoll = 2 * time.Millisecond
	maxAcknowledgementPoll = 32 * time.Millisecond
)

// idTableShare is the share of the tables' memory for request ids.
const idTableShare = 0.5

// recentIDs returns how many ids of forwarded requests fit into the memory, in each of the two spans for which they are kept.
func recentIDs(limits netio.Limits) int {
	memory := numeric.Truncate[int64](idTableShare / 2 * float64(limits.MemoryPlan().Tables))
	return min(membudget.Entries(memory, idMemory, minRecentIDs), maxRecentIDs)
}

// Reserve accounts for the memory of the request that is being read. It implements protocol.Memory.
func (c *clientConn) Reserve(bytes int) error {
	c.stopParsing()
	defer c.startParsing()
	if c.upload.Grow(bytes, time.Now().Add(memoryWait)) {
		return nil
	}
	return protocol.ErrOverMemory
}

// releaseRequest frees the memory of the current request. The goroutine that owns the request calls it.
func (c *clientConn) releaseRequest() {
	c.body = netio.TrimBuffer(c.body)
	c.request.Body = nil
	c.upload.Release()
	c.inFlight.Release()
}

// answerOverMemory rejects a request that was read, because there is no memory to handle it. It returns false once the connection is
// closed.
func (c *clientConn) answerOverMemory() bool {
	counters := c.server.counters
	counters.Requests.Add(1)
	counters.Rejected.Add(1)
	counters.RequestsOverMemory.Add(1)
	c.server.requestIDs.release(c.request.ID, false)
	return c.answerDirectly(&protocol.ClientResponse{
		Status: protocol.StatusRejected, RetryAfter: OverMemoryRetryAfter,
		Close: c.request.Close || c.closesWithResponse(),
	})
}

// awaitAcknowledgement waits until the kernel holds at most limit bytes of responses, which count against the node's memory. It
// returns false if the client does not read until the deadline, or if the server gave up the response meanwhile.
func (c *clientConn) awaitAcknowledgement(limit int, deadline time.Time) bool {
	c.writing.Store(true)
	defer c.writing.Store(false)
	for interval := minAcknowledgementPoll; c.writer.Unacknowledged() > limit; interval = min(2*interval, maxAcknowledgementPoll) {
		if c.aborted.Load() || !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(interval)
	}
	return true
}

// heldMemory returns the bytes that the connection's request and response hold of the budget.
func (c *clientConn) heldMemory() int64 {
	held := c.upload.Held() + c.inFlight.Held()
	if handler := c.sharedHandler.Load(); handler != nil {
		held += handler.HeldMemory()
	}
	return held
}

// relieveMemory gives up messages of halted connections, the largest first, until these hold the given number of bytes. The
// connections release their memory on their own goroutines.
func (s *Server) relieveMemory(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.relievedAt) < minReliefInterval {
		return
	}
	s.relievedAt = time.Now()
	halted := s.haltedHoldersLocked()
	s.logShortageLocked(bytes, len(halted))
	for _, holder := range halted {
		if bytes <= 0 {
			return
		}
		if held := holder.heldMemory(); holder.abort() {
			s.counters.HaltedClosed.Add(1)
			bytes -= held
		}
	}
}

// shortageLogInterval is the minimum time between two log lines about missing memory.
const shortageLogInterval = time.Second

// logShortageLocked logs that a reservation of bytes did not fit, with the state of the connections. The caller holds mu.
func (s *Server) logShortageLocked(bytes int64, halted int) {
	if time.Since(s.shortageLoggedAt) < shortageLogInterval {
		return
	}
	s.shortageLoggedAt = time.Now()
	usage := s.memory.Usage()
	s.log.Warn().Int64("wanted_bytes", bytes).Int64("used_bytes", usage.Used).Int64("limit_bytes", usage.Limit).Int("clients", len(s.clients)).
		Int("halted", halted).Int64("requests_over_memory", s.counters.RequestsOverMemory.Load()).
		Int64("halted_closed", s.counters.HaltedClosed.Load()).Msg("memory budget used up")
}

// haltedHoldersLocked returns the halted connections that hold memory of the budget, the largest first. The caller holds mu.
func (s *Server) haltedHoldersLocked() []*clientConn {
	var holders []*clientConn
	for client := range s.clients {
		if client.heldMemory() > 0 && client.halted() {
			holders = append(holders, client)
		}
	}
	slices.SortFunc(holders, func(a, b *clientConn) int { return cmp.Compare(b.heldMemory(), a.heldMemory()) })
	return holders
}
