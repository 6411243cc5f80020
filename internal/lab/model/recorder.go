package model

import (
	"encoding/json"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// How a ticket ended for its client.
const (
	outCompleted = iota
	outBounced
	outBroken
	outGaveUp
	outKinds
)

var outNames = [outKinds]string{"completed", "bounced", "broken", "gave_up"}

// Second is one line of a model run's series (JSON lines), for `lab report`.
type Second struct {
	T         int              `json:"t"`         // virtual seconds since the start
	Arrived   int64            `json:"arrived"`   // tickets that came, retries among them
	Outcomes  map[string]int64 `json:"outcomes"`  // final answers of that second
	P50Ms     float64          `json:"p50_ms"`    // of completed tickets, from arrival
	P95Ms     float64          `json:"p95_ms"`    //
	P99Ms     float64          `json:"p99_ms"`    //
	LoadMean  float64          `json:"load_mean"` // servers' work in hand over their concurrency, at the second's end
	LoadMax   float64          `json:"load_max"`  //
	Open      int64            `json:"open"`      // tickets without a final answer yet
	Twice     int64            `json:"twice"`     // single-use tickets that began to run more than once, so far
	ServersUp int              `json:"servers_up"`
}

// Totals is a whole run's summary.
type Totals struct {
	Policy      string           `json:"policy"`
	Nodes       int              `json:"nodes"`
	Servers     int              `json:"servers"`
	Seconds     float64          `json:"virtual_s"`
	Tickets     int64            `json:"tickets"`
	Outcomes    map[string]int64 `json:"outcomes"`
	Goodput     float64          `json:"goodput"` // completed over tickets
	P50Ms       float64          `json:"p50_ms"`
	P99Ms       float64          `json:"p99_ms"`
	Twice       int64            `json:"twice"`           // single-use tickets run more than once: must be 0
	Unanswered  int64            `json:"unanswered"`      // tickets still open at the end: must be 0
	LateDrained int64            `json:"late_to_drained"` // executions sent over 500 ms after a drain was told: must be 0
	Events      int64            `json:"events"`
	RealS       float64          `json:"real_s"`
	VirtualPerS float64          `json:"virtual_s_per_real_s"`
	TicketsPerS float64          `json:"tickets_per_real_s"`
}

// Recorder keeps a run's counts and writes its series.
type Recorder struct {
	Series io.Writer // JSON lines; nil for none

	policy             string
	nodes, servers     int
	open, twice, total int64
	lateToDrained      int64
	outcomes           [outKinds]int64
	sec                [outKinds]int64
	arrivedSec         int64
	lat, latSec        *hdr.Histogram
	t                  int
	began              time.Time
	last               time.Duration
	err                error
}

const maxMicros = 10 * 60 * 1e6

// NewRecorder makes a recorder that writes its series to w (nil for none).
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{Series: w, lat: hdr.New(1, maxMicros, 3), latSec: hdr.New(1, maxMicros, 3), began: time.Now()}
}

// Err is the first error writing the series met.
func (r *Recorder) Err() error { return r.err }

func (r *Recorder) arrived(*ticket) { r.open++; r.total++; r.arrivedSec++ }

func (r *Recorder) ran(tk *ticket) {
	if tk.runs == 2 && !tk.replayable {
		r.twice++
	}
}

func (r *Recorder) settled(tk *ticket, o int, now time.Duration) {
	r.open--
	r.outcomes[o]++
	r.sec[o]++
	if o == outCompleted {
		us := min(max((now-tk.due).Microseconds(), 1), maxMicros)
		_ = r.lat.RecordValue(us)
		_ = r.latSec.RecordValue(us)
	}
}

// flush writes the second that ends at now, and refreshes what the Late baseline sees.
func (r *Recorder) flush(now time.Duration, s *Sim) {
	r.policy, r.nodes, r.servers, r.last = string(s.cfg.Policy), s.cfg.Nodes, len(s.servers), now
	line := Second{
		T: r.t, Arrived: r.arrivedSec, Outcomes: map[string]int64{}, P50Ms: q(r.latSec, 50),
		P95Ms: q(r.latSec, 95), P99Ms: q(r.latSec, 99), Open: r.open, Twice: r.twice,
	}
	for i, n := range r.sec {
		line.Outcomes[outNames[i]] = n
	}
	c := float64(s.cfg.Server.Concurrency)
	for _, sv := range s.servers {
		l := float64(sv.busy+len(sv.queue)) / c
		line.LoadMean += l / float64(len(s.servers))
		line.LoadMax = max(line.LoadMax, l)
		sv.lastBusy = sv.busy + len(sv.queue)
		if !sv.down {
			line.ServersUp++
		}
	}
	r.t++
	r.sec, r.arrivedSec = [outKinds]int64{}, 0
	r.latSec.Reset()
	if r.Series == nil || r.err != nil {
		return
	}
	b, err := json.Marshal(line)
	if err == nil {
		_, err = r.Series.Write(append(b, '\n'))
	}
	r.err = err
}

// Totals sums the run up.
func (r *Recorder) Totals(events int64) Totals {
	real := time.Since(r.began).Seconds()
	t := Totals{
		Policy: r.policy, Nodes: r.nodes, Servers: r.servers, Seconds: r.last.Seconds(), Tickets: r.total,
		Outcomes: map[string]int64{}, P50Ms: q(r.lat, 50), P99Ms: q(r.lat, 99), Twice: r.twice, Unanswered: r.open, LateDrained: r.lateToDrained,
		Events: events, RealS: real,
	}
	for i, n := range r.outcomes {
		t.Outcomes[outNames[i]] = n
	}
	if r.total > 0 {
		t.Goodput = float64(r.outcomes[outCompleted]) / float64(r.total)
	}
	if real > 0 {
		t.VirtualPerS, t.TicketsPerS = t.Seconds/real, float64(r.total)/real
	}
	return t
}

func q(h *hdr.Histogram, p float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(p)) / 1e3
}
