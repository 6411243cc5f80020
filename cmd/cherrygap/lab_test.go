package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var errRun = errors.New("the run failed")

// A failed run must not lose the series written so far. A file that can't be created must fail the run, and without a path the
// run must get no writer.
func TestSeriesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "series")
	for _, want := range []error{nil, errRun} {
		err := withSeries(path, func(series io.Writer) error {
			if _, err := io.WriteString(series, "{}\n"); err != nil {
				t.Errorf("writing to the series: error %v, want none", err)
			}
			return want
		})
		if text, readErr := os.ReadFile(path); !errors.Is(err, want) || readErr != nil || string(text) != "{}\n" {
			t.Errorf("withSeries = %v, want %v; the file holds %q (read error %v), want %q", err, want, text, readErr, "{}\n")
		}
	}
	if err := withSeries(filepath.Join(path, "below a file"), func(io.Writer) error { return nil }); err == nil {
		t.Error("withSeries with a path below a file = nil, want the error of creating the file")
	}
	if err := withSeries("", func(series io.Writer) error {
		if series != nil {
			t.Errorf("withSeries without a path passed the writer %v, want nil", series)
		}
		return errRun
	}); !errors.Is(err, errRun) {
		t.Errorf("withSeries without a path = %v, want %v", err, errRun)
	}
}

// A time limit that doesn't end a command's context would let the command run on. Without a limit, the context must stay until a
// signal or its stop function ends it.
func TestContextUntilSignal(t *testing.T) {
	limited, stop := contextUntilSignal(time.Millisecond)
	defer stop()
	select {
	case <-limited.Done():
	case <-time.After(5 * time.Second):
		t.Error("the context is not done 5 s after its time limit of 1 ms, want done")
	}
	unlimited, stopUnlimited := contextUntilSignal(0)
	if err := unlimited.Err(); err != nil {
		t.Errorf("error of a context without a time limit = %v, want nil", err)
	}
	stopUnlimited()
	if unlimited.Err() == nil {
		t.Error("error of a context after its stop function = nil, want an error")
	}
}
