package report

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	// initialLineBytes is the initial size of the line buffer.
	initialLineBytes = 64 << 10
	// maxLineBytes is the maximum size of a line of a series.
	maxLineBytes = 1 << 20
)

// Outcomes of requests in a series. `lab load` and `lab model` of all versions write these names.
const (
	outcomeCompleted = "completed"
	outcomeRejected  = "bounced"
	outcomeFailed    = "broken"
	outcomeTimedOut  = "gave_up"
)

// Sample is a line of a series: the values of a second.
type Sample struct {
	Second   int              `json:"t"`         // number of the second, from 0
	Outcomes map[string]int64 `json:"outcomes"`  // number of requests that ended in the second, by outcome
	P50Ms    float64          `json:"p50_ms"`    // median latency of completed requests, ms
	P95Ms    float64          `json:"p95_ms"`    // 95th percentile of that latency, ms
	P99Ms    float64          `json:"p99_ms"`    // 99th percentile of that latency, ms
	LoadMean *float64         `json:"load_mean"` // attempts divided by concurrency, mean of all servers; nil if missing
	LoadMax  *float64         `json:"load_max"`  // attempts divided by concurrency, of the busiest server; nil if missing
}

// Run is a series with its name.
type Run struct {
	Name    string   // name of the run in plots and tables
	Samples []Sample // seconds of the run; at least one
}

// SeriesError is the error of reading an invalid series.
type SeriesError struct {
	Path string // path of the series file
	Line int    // number of the invalid line, from 1; 0 if the error is not about a line
	Err  error  // cause
}

// Error returns the path, the line and the text of Err.
func (e *SeriesError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s: line %d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Err)
}

// Unwrap returns Err.
func (e *SeriesError) Unwrap() error { return e.Err }

// ErrNoLines is the cause of a SeriesError for a series without lines.
var ErrNoLines = errors.New("no lines")

// Read reads a series file and skips empty lines. The name of the run is the name of the file without its extension. For an
// invalid line, a read error and a file without lines it returns a *SeriesError. It returns an error of opening the file
// unchanged.
func Read(path string) (Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return Run{}, err
	}
	defer func() { _ = f.Close() }() // An error of closing has no consequence for a file that was only read.
	run := Run{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		var sample Sample
		if err := json.Unmarshal(scanner.Bytes(), &sample); err != nil {
			return Run{}, &SeriesError{Path: path, Line: line, Err: err}
		}
		run.Samples = append(run.Samples, sample)
	}
	if err := scanner.Err(); err != nil {
		return Run{}, &SeriesError{Path: path, Err: err}
	}
	if len(run.Samples) == 0 {
		return Run{}, &SeriesError{Path: path, Err: ErrNoLines}
	}
	return run, nil
}
