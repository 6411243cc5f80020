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
	Second   int              `json:"t"`         // since the start
	Outcomes map[string]int64 `json:"outcomes"`  // number of requests that ended, by outcome
	P50Ms    float64          `json:"p50_ms"`    // quantile of the latency of completed requests, in ms
	P95Ms    float64          `json:"p95_ms"`    // likewise
	P99Ms    float64          `json:"p99_ms"`    // likewise
	LoadMean *float64         `json:"load_mean"` // requests in flight over concurrency, mean of all servers; nil if missing
	LoadMax  *float64         `json:"load_max"`  // requests in flight over concurrency, of the busiest server; nil if missing
}

// Run is a series with its name.
type Run struct {
	Name    string
	Samples []Sample // at least one
}

// SeriesError is the error for an invalid series.
type SeriesError struct {
	Path string
	Line int // from 1; 0 if the error is not about a line
	Err  error
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

// ErrNoLines is the error for a series without lines.
var ErrNoLines = errors.New("no lines")

// Read reads a series file. The name of the run is the name of the file without its extension. For a line that is not valid
// JSON and for a file without lines the error is a *SeriesError. An error of opening the file is returned unchanged.
func Read(path string) (Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return Run{}, err
	}
	defer func() { _ = f.Close() }() // without consequence for a file that was only read
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
