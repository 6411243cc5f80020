package emulator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherrygap/internal/protocol"
)

const (
	// minServiceUnits is the lowest number of units that the service time is multiplied with.
	minServiceUnits = 0.1
	// noTimeout is the timeout of a request without protocol.HeaderTimeout.
	noTimeout = time.Duration(1<<62 - 1)
)

// connUsedKey is the context key of an *atomic.Bool: whether the connection has carried a request.
type connUsedKey struct{}

// ServeHTTP responds to a request as an app server of the platform does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sinceStart := time.Since(s.fleetStart)
	if isFirstOfConn(r) && s.cfg.HandshakeMs > 0 {
		time.Sleep(milliseconds(s.cfg.HandshakeMs))
	}
	if r.URL.Path == protocol.HealthPath || r.URL.Path == protocol.LoadPath {
		s.respondToHealthCheck(w, r)
		return
	}
	id := r.Header.Get(protocol.HeaderRequestID)
	drawn := s.draw(sinceStart, r)
	if id == "" {
		s.count(func(c *Stats) { c.NoID++ })
		http.NotFound(w, r)
		return
	}
	if drawn.draining || hasKind(drawn.faults, Refuse) {
		s.reject(w)
		return
	}
	if hasKind(drawn.faults, Silence) {
		s.count(func(c *Stats) { c.Unanswered++ })
		<-r.Context().Done()
		return
	}
	if !s.acquireSlot(r.Context(), timeout(r)) {
		s.reject(w)
		return
	}
	defer func() { <-s.workSlots; s.working.Add(-1) }()
	s.recordBegun(id)
	select {
	case <-time.After(drawn.serviceTime):
	case <-r.Context().Done():
		return // the client has closed the connection
	}
	s.respond(w, r, id, drawn.faults)
}

// isFirstOfConn reports whether a request is the first one of its connection.
func isFirstOfConn(r *http.Request) bool {
	used, ok := r.Context().Value(connUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// timeout returns the value of protocol.HeaderTimeout, or noTimeout if it is missing or invalid.
func timeout(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(protocol.HeaderTimeout)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return noTimeout
}

// drawnRequest is the random part of the service of a request.
type drawnRequest struct {
	faults      []Fault // that affect the request
	serviceTime time.Duration
	draining    bool // whether the server is draining
}

// draw counts a request, and draws its faults and its service time. sinceStart is the time since the fleet's start.
func (s *Server) draw(sinceStart time.Duration, r *http.Request) drawnRequest {
	units := 1.0
	if u, ok := weightUnits(r.Header.Get(protocol.HeaderWeight)); ok {
		units = u
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	var faults []Fault
	for _, fault := range s.schedule.active(s.id, sinceStart) {
		if fault.Probability >= 1 || s.rng.Float64() < fault.Probability {
			faults = append(faults, fault)
		}
	}
	return drawnRequest{faults: faults, serviceTime: s.serviceTime(units, faults), draining: s.draining}
}

// serviceTime draws a log-normal time for a request. It is longer while the server warms up and with Slow faults. The caller
// holds s.mu.
func (s *Server) serviceTime(units float64, faults []Fault) time.Duration {
	ms := s.cfg.ServiceMs * math.Max(units, minServiceUnits) * math.Exp(s.cfg.Spread*s.rng.NormFloat64())
	if up := time.Since(s.bootedAt).Seconds(); s.cfg.WarmupS > 0 && up < s.cfg.WarmupS {
		ms *= 1 + (s.cfg.WarmupFactor-1)*(1-up/s.cfg.WarmupS)
	}
	for _, fault := range faults {
		if fault.Kind == Slow {
			ms *= fault.Factor
		}
	}
	return milliseconds(ms)
}

// acquireSlot waits until the server may execute a request, and reports whether it may. It does not wait if the queue is
// full, or beyond the request's timeout or the end of ctx. After true the caller must release the slot.
func (s *Server) acquireSlot(ctx context.Context, timeout time.Duration) bool {
	select {
	case s.workSlots <- struct{}{}:
		s.working.Add(1)
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.cfg.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.workSlots <- struct{}{}:
		s.working.Add(1)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// recordBegun counts the beginning of an execution.
func (s *Server) recordBegun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begunByID[id]++
	s.stats.Begun++
	if s.begunByID[id] == 2 {
		s.stats.BegunTwice++
	}
}

// respond responds to an executed request, with its faults.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, faults []Fault) {
	body := "done " + id + "\n"
	switch {
	case hasKind(faults, LoseAnswer):
		s.count(func(c *Stats) { c.AnswersLost++ })
		<-r.Context().Done()
		return
	case hasKind(faults, Error):
		s.count(func(c *Stats) { c.Errors++ })
		s.addLoadReport(w)
		http.Error(w, "error", http.StatusInternalServerError)
		return
	case hasKind(faults, Reset):
		s.count(func(c *Stats) { c.Resets++ })
		resetMidBody(w, body)
		return
	case hasKind(faults, Malform):
		s.count(func(c *Stats) { c.Malformed++ })
		body = "done " + strconv.FormatUint(rand.Uint64(), 16) + "\n"
	default:
		s.count(func(c *Stats) { c.Completed++ })
	}
	s.addLoadReport(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // fails if the client has closed the connection
}

// resetMidBody writes the head and half of the body, and resets the connection.
func resetMidBody(w http.ResponseWriter, body string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	_ = buffer.Flush()
	resetConn(conn)
}

// reject rejects a request without executing it.
func (s *Server) reject(w http.ResponseWriter) {
	s.count(func(c *Stats) { c.Rejected++ })
	w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
	s.addLoadReport(w)
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

// respondToHealthCheck responds to a health check, with status 404 if the configuration does not allow health checks.
func (s *Server) respondToHealthCheck(w http.ResponseWriter, r *http.Request) {
	if !s.cfg.HealthChecks {
		http.NotFound(w, r)
		return
	}
	status := http.StatusOK
	if s.isDraining() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	if r.URL.Path == protocol.LoadPath {
		_, _ = w.Write([]byte(s.loadReport()))
	}
}

// addLoadReport adds a load report to a response if the configuration asks for it.
func (s *Server) addLoadReport(w http.ResponseWriter) {
	if s.cfg.LoadReports {
		w.Header().Set(protocol.HeaderLoadReport, s.loadReport())
	}
}

// loadReport returns a load report as of now.
func (s *Server) loadReport() string {
	working, waiting := s.working.Load(), s.waiting.Load()
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", working, waiting, float64(working)/float64(s.cfg.Concurrency))
}

// weightUnits returns the units in the value of a protocol.HeaderWeight, and whether they are valid. It ignores the other
// fields.
func weightUnits(header string) (float64, bool) {
	for part := range strings.SplitSeq(header, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), protocol.WeightUnits+"="); ok {
			units, err := strconv.ParseFloat(v, 64)
			return units, err == nil && units >= 0
		}
	}
	return 0, false
}
