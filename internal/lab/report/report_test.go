package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestBadLineIsNamed(t *testing.T) {
	p := filepath.Join(t.TempDir(), "s.jsonl")
	os.WriteFile(p, []byte("{\"t\":0,\"outcomes\":{\"completed\":3}}\n{oops\n"), 0o600)
	if _, err := Read(p); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got %v", err)
	}
}

// The same series give the same files, byte for byte.
func TestSameSeriesSameReport(t *testing.T) {
	dir := t.TempDir()
	p := filepath.Join(dir, "run.jsonl")
	var text strings.Builder
	for i := range 30 {
		text.WriteString(`{"t":` + string(rune('0'+i%10)) + `,"outcomes":{"completed":10,"bounced":2},"p99_ms":12.5,"load_max":0.5}` + "\n")
	}
	os.WriteFile(p, []byte(text.String()), 0o600)
	r, err := Read(p)
	if err != nil {
		t.Fatal(err)
	}
	a, err := Write(filepath.Join(dir, "a"), "t", []Run{r})
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Write(filepath.Join(dir, "b"), "t", []Run{r})
	if len(a) != 5 || len(a) != len(b) {
		t.Fatalf("files %v %v", a, b)
	}
	for i := range a {
		x, _ := os.ReadFile(a[i])
		y, _ := os.ReadFile(b[i])
		if len(x) == 0 || !bytes.Equal(x, y) {
			t.Errorf("%s differs", filepath.Base(a[i]))
		}
	}
}
