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
	lineBufferBytes = 64 << 10 // initial size
	maxLineBytes    = 1 << 20  // of one line of a series
)

// The keys of outcomes in a series of `lab load` or `lab model`.
const (
	outcomeCompleted = "completed"
	outcomeRejected  = "bounced"
	outcomeFailed    = "broken"
	outcomeGaveUp    = "gave_up" // the client's timeout passed
)

// Sample is one second of a series. It has the fields that both `lab model` and `lab load` write, and the servers' load,
// which only `lab model` writes.
type Sample struct {
	Second   int              `json:"t"`        // since the start
	Outcomes map[string]int64 `json:"outcomes"` // requests that ended in the second, by outcome
	P50Ms    float64          `json:"p50_ms"`   // latency of completed requests, ms
	P95Ms    float64          `json:"p95_ms"`
	P99Ms    float64          `json:"p99_ms"`
	LoadMean *float64         `json:"load_mean"` // requests in flight over concurrency, mean over the servers; nil: not stated
	LoadMax  *float64         `json:"load_max"`  // of the busiest server; nil: not stated
}

// Run is a series with its name.
type Run struct {
	Name    string
	Samples []Sample // at least one
}

// SeriesError is the error of an invalid series.
type SeriesError struct {
	Path string
	Line int // from 1; 0 if the error does not concern one line
	Err  error
}

// Error returns the path, the line if there is one, and the cause.
func (e *SeriesError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s: line %d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Path, e.Err)
}

// Unwrap returns Err.
func (e *SeriesError) Unwrap() error { return e.Err }

// ErrNoLines is the error of a series without lines.
var ErrNoLines = errors.New("no lines")

// Read reads a series file. The run's name is the file's name without its extension. Read returns a *SeriesError for an
// invalid line and for a file without lines.
func Read(path string) (Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return Run{}, err
	}
	defer func() { _ = f.Close() }() // no data was written
	run := Run{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, lineBufferBytes), maxLineBytes)
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
