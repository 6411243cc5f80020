package emulator

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherrygap/internal/lab/appserver"
	"cherrygap/internal/operatorfile"
	"cherrygap/internal/protocol"
)

const (
	minUnits  = 0.1                      // smallest weight, in units, that scales the service time
	noTimeout = time.Duration(1<<62 - 1) // timeout of a request that states none
)

// connUsedKey is the context key of a connection's *atomic.Bool. The value is true once the connection has had a request.
type connUsedKey struct{}

// ServeHTTP responds to one request as the platform's protocol describes an app server. It implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sinceStart := time.Since(s.fleetStart)
	if isFirstOnConn(r) && s.cfg.HandshakeMs > 0 {
		time.Sleep(milliseconds(s.cfg.HandshakeMs))
	}
	if r.URL.Path == protocol.HealthPath || r.URL.Path == protocol.LoadPath {
		s.respondToHealthCheck(w, r)
		return
	}
	request := appserver.RequestOf(r)
	behaviour := s.drawBehaviour(sinceStart, r)
	if request.ID == "" {
		s.count(func(c *Stats) { c.NoID++ })
		http.NotFound(w, r)
		return
	}
	if behaviour.draining || HasKind(behaviour.faults, Refuse) {
		s.reject(w)
		return
	}
	if HasKind(behaviour.faults, Silence) {
		s.count(func(c *Stats) { c.Unanswered++ })
		<-r.Context().Done() // Wait until the client closes the connection. The request is not executed.
		return
	}
	if !s.acquireSlot(r.Context(), cmp.Or(request.Timeout, noTimeout)) {
		s.reject(w)
		return
	}
	defer func() { <-s.workSlots; s.executing.Add(-1) }()
	s.recordExecution(request.ID)
	select {
	case <-time.After(behaviour.serviceTime):
	case <-r.Context().Done():
		return // The connection is closed. The request counts as executed, but the response has no reader.
	}
	s.respond(w, r, request.ID, behaviour.faults)
}

// isFirstOnConn reports whether a request is the first on its connection. It may be called only once for each request.
func isFirstOnConn(r *http.Request) bool {
	used, ok := r.Context().Value(connUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// requestBehaviour is the server's randomly drawn behaviour for one request.
type requestBehaviour struct {
	faults      []Fault // active faults that affect the request
	serviceTime time.Duration
	draining    bool // whether the server was draining when the behaviour was drawn
}

// drawBehaviour counts a request, and draws its service time and the faults that affect it. sinceStart is the request's arrival
// time since the fleet's start.
func (s *Server) drawBehaviour(sinceStart time.Duration, r *http.Request) requestBehaviour {
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
	serviceTime := DrawServiceTime(s.cfg, s.rng, units, time.Since(s.startedAt), faults)
	return requestBehaviour{faults: faults, serviceTime: serviceTime, draining: s.draining}
}

// DrawServiceTime draws a log-normal service time for a request whose weight is the given number of units. The parameter uptime
// is the time since the server's start. The service time is longer while uptime is within the warm-up, and with slow faults.
func DrawServiceTime(
	cfg operatorfile.Emulator, rng *rand.Rand, units float64, uptime time.Duration, faults []Fault,
) time.Duration {
	ms := cfg.ServiceMs * math.Max(units, minUnits) * math.Exp(cfg.ServiceTimeSigma*rng.NormFloat64())
	if up := uptime.Seconds(); cfg.WarmupS > 0 && up < cfg.WarmupS {
		ms *= 1 + (cfg.WarmupFactor-1)*(1-up/cfg.WarmupS)
	}
	for _, fault := range faults {
		if fault.Kind == Slow {
			ms *= fault.Factor
		}
	}
	return milliseconds(ms)
}

// acquireSlot acquires one of workSlots and reports whether it got one. It waits for a free slot until the request's timeout
// or the end of ctx. It returns false at once if the queue is full. The caller releases the slot.
func (s *Server) acquireSlot(ctx context.Context, timeout time.Duration) bool {
	select {
	case s.workSlots <- struct{}{}:
		s.executing.Add(1)
		return true
	default:
	}
	if s.queued.Add(1) > int64(s.cfg.Queue) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.workSlots <- struct{}{}:
		s.executing.Add(1)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// recordExecution counts that the execution of a request begins.
func (s *Server) recordExecution(id string) {
	executions := s.executions.Begin(id)
	s.count(func(c *Stats) {
		c.ExecutionsBegun++
		if executions == 2 {
			c.ExecutedTwice++
		}
	})
}

// respond responds to an executed request. The faults that affect the request may change, cut or suppress the response.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, faults []Fault) {
	body := "done " + id + "\n"
	switch {
	case HasKind(faults, LoseResponse):
		s.count(func(c *Stats) { c.ResponsesLost++ })
		<-r.Context().Done()
		return
	case HasKind(faults, Error):
		s.count(func(c *Stats) { c.Errors++ })
		s.addLoadReport(w)
		http.Error(w, "error", http.StatusInternalServerError)
		return
	case HasKind(faults, Reset):
		s.count(func(c *Stats) { c.Resets++ })
		resetMidBody(w, body)
		return
	case HasKind(faults, Malform):
		s.count(func(c *Stats) { c.Malformed++ })
		body = "done " + strconv.FormatUint(rand.Uint64(), 16) + "\n"
	default:
		s.count(func(c *Stats) { c.Completed++ })
	}
	s.addLoadReport(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // Write fails if the client has closed the connection.
}

// resetMidBody writes the response's head and half of its body, then resets the connection.
func resetMidBody(w http.ResponseWriter, body string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_ = appserver.WriteHalfResponse(conn, body) // The write fails if the client has closed the connection.
	appserver.ResetConn(conn)
}

// reject responds 503 with a header that states that the request was not executed.
func (s *Server) reject(w http.ResponseWriter) {
	s.count(func(c *Stats) { c.Rejected++ })
	w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
	s.addLoadReport(w)
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

// respondToHealthCheck responds to a health check or to a request for a load report. The status is 503 while the server drains,
// and 404 if health checks are disabled in the configuration.
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

// addLoadReport sets the load report header if load reports are enabled in the configuration.
func (s *Server) addLoadReport(w http.ResponseWriter) {
	if s.cfg.LoadReports {
		w.Header().Set(protocol.HeaderLoadReport, s.loadReport())
	}
}

// loadReport returns the current load in the protocol's format.
func (s *Server) loadReport() string {
	executing, queued := s.executing.Load(), s.queued.Load()
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", executing, queued, float64(executing)/float64(s.cfg.Concurrency))
}

// weightUnits returns the units in the value of a protocol.HeaderWeight. The second result is false if the units are missing,
// malformed or negative.
func weightUnits(header string) (float64, bool) {
	for part := range strings.SplitSeq(header, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), protocol.WeightUnits+"="); ok {
			units, err := strconv.ParseFloat(v, 64)
			return units, err == nil && units >= 0
		}
	}
	return 0, false
}
