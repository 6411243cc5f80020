package load

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"cherrygap/internal/lab/histogram"
	"cherrygap/internal/lab/report"
)

// A series of two seconds has the bytes of testdata/series.jsonl, and package report reads it. With a different key,
// the report could not read the series of other versions.
func TestSeriesFileFormat(t *testing.T) {
	var out bytes.Buffer
	generator := &Generator{
		Series: &out, result: Result{Latency: histogram.New(), Lag: histogram.New(), Sent: 10, ClientRetries: 1},
		currentSecond: secondCounts{latency: histogram.New(), sent: 10, lagMicros: 1500},
	}
	for o, n := range []int{4, 3, 2, 1} {
		for k := range n {
			generator.recordOutcome(Outcome(o), time.Duration(k+1)*time.Millisecond)
		}
	}
	for range 2 { // The second line has no counts.
		if err := generator.flushSecond(); err != nil {
			t.Fatalf("flushSecond: %v", err)
		}
	}
	want, err := os.ReadFile("testdata/series.jsonl")
	if err != nil {
		t.Fatalf("ReadFile: %v", err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("the series is\n%swant\n%s", out.String(), want)
	}
	_ = generator.result.Lag.RecordValue(1500)
	generator.result.Behind = true
	raw, err := json.Marshal(generator.result.Summary())
	const summary = `{"sent":10,"again":1,"outcomes":{"bounced":3,"broken":2,"completed":4,"gave_up":1},"p50_ms":2,` +
		`"p99_ms":4.001,"p999_ms":4.001,"lag_p99_ms":1.5,"behind":true}`
	if err != nil || string(raw) != summary {
		t.Errorf("Marshal of the summary = %s, %v, want %s, nil", raw, err, summary)
	}
	run, err := report.Read("testdata/series.jsonl")
	if err != nil {
		t.Fatalf("report.Read: %v", err)
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table, "t", []report.Run{run}); err != nil {
		t.Fatalf("report.WriteTable: %v", err)
	}
	const tableWant = "# t\n\n| run | seconds | bounced | broken | completed | gave_up | completed share | worst p99 ms |\n" +
		"|---|---|---|---|---|---|---|---|\n| series | 2 | 3 | 2 | 4 | 1 | 0.400 | 4.0 |\n"
	if table.String() != tableWant {
		t.Errorf("the table of the series is\n%swant\n%s", table.String(), tableWant)
	}
}
