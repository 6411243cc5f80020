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

// A series is written to its file, which is there after a failed run too; without a path the run goes on without one.
func TestSeriesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "series")
	for _, want := range []error{nil, errRun} {
		err := withSeries(path, func(series io.Writer) error {
			if _, err := io.WriteString(series, "{}\n"); err != nil {
				t.Error(err)
			}
			return want
		})
		if text, readErr := os.ReadFile(path); !errors.Is(err, want) || readErr != nil || string(text) != "{}\n" {
			t.Errorf("%v, want %v; file %q, %v", err, want, text, readErr)
		}
	}
	if err := withSeries(filepath.Join(path, "below a file"), func(io.Writer) error { return nil }); err == nil {
		t.Error("a file that can't be made passed")
	}
	if err := withSeries("", func(series io.Writer) error {
		if series != nil {
			t.Error("a series without a path")
		}
		return errRun
	}); !errors.Is(err, errRun) {
		t.Error(err)
	}
}

// A time limit ends a command's context; without one it stays until a signal.
func TestContextUntilSignal(t *testing.T) {
	limited, stop := contextUntilSignal(time.Millisecond)
	defer stop()
	select {
	case <-limited.Done():
	case <-time.After(5 * time.Second):
		t.Error("the time limit does not end it")
	}
	open, stopOpen := contextUntilSignal(0)
	if err := open.Err(); err != nil {
		t.Error(err)
	}
	stopOpen()
	if open.Err() == nil {
		t.Error("it goes on after its stop")
	}
}
