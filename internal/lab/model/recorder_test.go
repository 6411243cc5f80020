package model

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

// Each line of the series counts one second, except for the requests in flight and those executed twice. The totals count
// all seconds. A count that is not reset at the end of a second would appear in the next line too.
func TestRecorder(t *testing.T) {
	var series bytes.Buffer
	r := NewRecorder(&series)
	r.setConfig(&Config{Policy: DecisionEngine, Nodes: 2})
	safe, unsafe := &request{retrySafe: true}, &request{}
	for _, req := range []*request{safe, unsafe} {
		r.recordArrival()
		for range 3 {
			req.executions++
			r.recordExecution(req)
		}
	}
	r.recordEnd(safe, outcomeCompleted, 20*time.Millisecond)
	r.endSecond(time.Second, fleetSample{loadMean: 0.5, loadMax: 1, serversUp: 3})
	r.recordEnd(unsafe, outcomeFailed, time.Second)
	r.endSecond(2*time.Second, fleetSample{serversUp: 2})
	const want = `{"t":0,"arrived":2,"outcomes":{"bounced":0,"broken":0,"completed":1,"gave_up":0},"p50_ms":20.015,"p95_ms":20.015,"p99_ms":20.015,"load_mean":0.5,"load_max":1,"open":1,"twice":1,"servers_up":3}
{"t":1,"arrived":0,"outcomes":{"bounced":0,"broken":1,"completed":0,"gave_up":0},"p50_ms":0,"p95_ms":0,"p99_ms":0,"load_mean":0,"load_max":0,"open":0,"twice":1,"servers_up":2}
`
	if series.String() != want {
		t.Errorf("the series is\n%swant\n%s", &series, want)
	}
	totals := r.Totals(7)
	if totals.Requests != 2 || totals.Goodput != 0.5 || totals.ExecutedTwice != 1 || totals.Unanswered != 0 || totals.Events != 7 ||
		totals.VirtualSeconds != 2 || totals.Outcomes["completed"] != 1 || totals.Outcomes["broken"] != 1 {
		t.Errorf("totals: Requests %d, Goodput %v, ExecutedTwice %d, Unanswered %d, Events %d, VirtualSeconds %v, Outcomes %v; "+
			"want 2, 0.5, 1, 0, 7, 2, and 1 completed and 1 broken",
			totals.Requests, totals.Goodput, totals.ExecutedTwice, totals.Unanswered, totals.Events, totals.VirtualSeconds, totals.Outcomes)
	}
}

var errDiskFull = errors.New("disk full")

// failingWriter is a writer that accepts one line and fails afterwards, like a full disk.
type failingWriter struct{ writes int } // number of calls of Write

func (w *failingWriter) Write(text []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		return 0, errDiskFull
	}
	return len(text), nil
}

// The recorder keeps the first error of the series and writes no line after it. A line after a failed write could follow half
// of another.
func TestRecorderKeepsTheFirstError(t *testing.T) {
	writer := &failingWriter{}
	r := NewRecorder(writer)
	for i := range 4 {
		r.endSecond(time.Duration(i)*time.Second, fleetSample{})
	}
	if !errors.Is(r.Err(), errDiskFull) || writer.writes != 2 {
		t.Errorf("the recorder returned the error %v after %d writes, want %v after 2", r.Err(), writer.writes, errDiskFull)
	}
}
