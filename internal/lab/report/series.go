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
	lineBuffer = 64 << 10 // bytes, at first
	maxLine    = 1 << 20  // bytes of one line of a series
)

// The outcomes of requests in a series, as `lab load` and `lab model` name them.
const (
	outcomeCompleted = "completed"
	outcomeRejected  = "bounced"
	outcomeFailed    = "broken"
	outcomeGaveUp    = "gave_up" // the client did not wait for the answer
)

// Sample is one second of a series: the fields that both the model and the load tool write, and the model's load.
type Sample struct {
	Second   int              `json:"t"`        // since the start
	Outcomes map[string]int64 `json:"outcomes"` // requests that ended in it, by outcome
	P50Ms    float64          `json:"p50_ms"`   // of the latency of completed requests, ms
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LoadMean *float64         `json:"load_mean"` // requests in hand over concurrency, mean of the servers; nil: not given
	LoadMax  *float64         `json:"load_max"`  // of the busiest
}

// Run is one series with its name.
type Run struct {
	Name    string
	Samples []Sample // at least one
}

// SeriesError is a series that can't be read.
type SeriesError struct {
	Path string
	Line int // from 1; 0 where it is not a line
	Err  error
}

// Error has the file, the line and what is wrong.
func (e *SeriesError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s: line %d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Err)
}

// Unwrap is what is wrong.
func (e *SeriesError) Unwrap() error { return e.Err }

// ErrNoLines is a series without a line.
var ErrNoLines = errors.New("no lines")

// Read reads a series file, and names the run after it. A line that is no JSON is a *SeriesError, as is a file without
// lines; a file that can't be opened is the system's error.
func Read(path string) (Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return Run{}, err
	}
	defer func() { _ = f.Close() }() // it was only read
	run := Run{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, lineBuffer), maxLine)
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
