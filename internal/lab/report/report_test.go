package report

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeSeries writes a series file to a directory, and returns its path.
func writeSeries(t *testing.T, dir, text string) string {
	t.Helper()
	path := filepath.Join(dir, "run.jsonl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The error of an invalid series names the line, so that a user finds it in a long file. A series without lines and a missing
// file have errors of their own.
func TestBadLineIsNamed(t *testing.T) {
	path := writeSeries(t, t.TempDir(), "{\"t\":0,\"outcomes\":{\"completed\":3}}\n{oops\n")
	var seriesErr *SeriesError
	if _, err := Read(path); !errors.As(err, &seriesErr) || seriesErr.Line != 2 || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("Read of a series with an invalid second line returned the error %v, want a *SeriesError with the line 2", err)
	}
	if _, err := Read(writeSeries(t, t.TempDir(), "\n")); !errors.Is(err, ErrNoLines) {
		t.Errorf("Read of a series without lines returned the error %v, want ErrNoLines", err)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none.jsonl")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Read of a missing file returned the error %v, want os.ErrNotExist", err)
	}
}

// The same series give the same files, byte for byte. Otherwise a report could not be checked against its series.
func TestSameSeriesSameReport(t *testing.T) {
	dir := t.TempDir()
	var text strings.Builder
	for i := range 30 {
		text.WriteString(`{"t":` + string(rune('0'+i%10)) + `,"outcomes":{"completed":10,"bounced":2},"p99_ms":12.5,"load_max":0.5}` + "\n")
	}
	run, err := Read(writeSeries(t, dir, text.String()))
	if err != nil {
		t.Fatalf("Read: %v", err)
	}
	first, err := Write(filepath.Join(dir, "a"), "t", []Run{run})
	if err != nil {
		t.Fatalf("first call of Write: %v", err)
	}
	second, err := Write(filepath.Join(dir, "b"), "t", []Run{run})
	if err != nil {
		t.Fatalf("second call of Write: %v", err)
	}
	if len(first) != 5 || len(first) != len(second) {
		t.Fatalf("two calls of Write returned the files %v and %v, want 5 files each", first, second)
	}
	for i := range first {
		t.Run(filepath.Base(first[i]), func(t *testing.T) {
			x, err := os.ReadFile(first[i])
			if err != nil {
				t.Fatal(err)
			}
			y, err := os.ReadFile(second[i])
			if err != nil {
				t.Fatal(err)
			}
			if len(x) == 0 || !bytes.Equal(x, y) {
				t.Errorf("two calls of Write wrote files of %d and %d bytes, with equal bytes: %v; want equal files that are not empty",
					len(x), len(y), bytes.Equal(x, y))
			}
		})
	}
}
