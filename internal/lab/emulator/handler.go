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
	minUnits  = 0.1 // units that the service time is scaled by, at least
	noTimeout = time.Duration(1<<62 - 1)
)

// connUsedKey is the context key of a connection's *atomic.Bool: whether it has had a request.
type connUsedKey struct{}

// ServeHTTP answers one request as the protocol page says an app server does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sinceStart := time.Since(s.fleetStart)
	if isFirstOfConn(r) && s.cfg.HandshakeMs > 0 {
		time.Sleep(milliseconds(s.cfg.HandshakeMs))
	}
	if r.URL.Path == protocol.HealthPath || r.URL.Path == protocol.LoadPath {
		s.answerHealthCheck(w, r)
		return
	}
	id := r.Header.Get(protocol.HeaderRequestID)
	faults, work, draining := s.draw(sinceStart, r)
	if id == "" {
		s.count(func(c *Stats) { c.NoID++ })
		http.NotFound(w, r)
		return
	}
	if draining || hasKind(faults, Refuse) {
		s.reject(w)
		return
	}
	if hasKind(faults, Silence) {
		s.count(func(c *Stats) { c.Unanswered++ })
		<-r.Context().Done() // the client gives up; nothing ran
		return
	}
	if !s.acquireSlot(r.Context(), timeout(r)) {
		s.reject(w)
		return
	}
	defer func() { <-s.workSlots; s.working.Add(-1) }()
	s.recordBegun(id)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return // the connection ended: it ran, and nobody gets the answer
	}
	s.answer(w, r, id, faults)
}

// isFirstOfConn tells whether a request is its connection's first.
func isFirstOfConn(r *http.Request) bool {
	used, ok := r.Context().Value(connUsedKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}

// timeout is the time that a request says its client waits.
func timeout(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(protocol.HeaderTimeout)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return noTimeout
}

// draw counts a request and draws what becomes of it: the faults that hit it, and its service time.
func (s *Server) draw(sinceStart time.Duration, r *http.Request) (faults []Fault, work time.Duration, draining bool) {
	units := 1.0
	if u, ok := weightUnits(r.Header.Get(protocol.HeaderWeight)); ok {
		units = u
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	for _, fault := range s.schedule.active(s.id, sinceStart) {
		if fault.Probability >= 1 || s.rng.Float64() < fault.Probability {
			faults = append(faults, fault)
		}
	}
	return faults, s.serviceTime(units, faults), s.draining
}

// serviceTime draws a log-normal time for so many units, longer while warm-up lasts and under slow faults. The caller
// holds the lock.
func (s *Server) serviceTime(units float64, faults []Fault) time.Duration {
	ms := s.cfg.ServiceMs * math.Max(units, minUnits) * math.Exp(s.cfg.Spread*s.rng.NormFloat64())
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

// acquireSlot waits for a slot of work, within the queue's bound and the request's timeout.
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
	case <-timer.C: // the request is over
	case <-ctx.Done():
	}
	return false
}

func (s *Server) recordBegun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begunByID[id]++
	s.stats.Begun++
	if s.begunByID[id] == 2 {
		s.stats.BegunTwice++
	}
}

// answer answers a request that has run, as its faults have it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, faults []Fault) {
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
	_, _ = w.Write([]byte(body)) // the client may have gone
}

// resetMidBody writes the head and half the body, then resets the connection.
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

func (s *Server) reject(w http.ResponseWriter) {
	s.count(func(c *Stats) { c.Rejected++ })
	w.Header().Set(protocol.HeaderRejected, protocol.RejectedValue)
	s.addLoadReport(w)
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

func (s *Server) answerHealthCheck(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) addLoadReport(w http.ResponseWriter) {
	if s.cfg.LoadReports {
		w.Header().Set(protocol.HeaderLoadReport, s.loadReport())
	}
}

func (s *Server) loadReport() string {
	working, waiting := s.working.Load(), s.waiting.Load()
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", working, waiting, float64(working)/float64(s.cfg.Concurrency))
}

// weightUnits returns the units in the value of a protocol.HeaderWeight.
func weightUnits(header string) (float64, bool) {
	for part := range strings.SplitSeq(header, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), protocol.WeightUnits+"="); ok {
			units, err := strconv.ParseFloat(v, 64)
			return units, err == nil && units >= 0
		}
	}
	return 0, false
}
