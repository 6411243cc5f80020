package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestServeCommands guards against a worker that loses a reply, or that ends without an error on invalid input. A worker
// writes its first line, then one reply to each command until its input ends.
func TestServeCommands(t *testing.T) {
	double := func(command int) int { return 2 * command }
	for name, c := range map[string]struct {
		in, want string
		fails    bool
	}{
		"no command":   {"", "7\n", false},
		"two commands": {"1 2", "7\n2\n4\n", false},
		"not a number": {"1 x", "7\n2\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := serveCommands(json.NewDecoder(strings.NewReader(c.in)), &out, 7, double)
			if out.String() != c.want || (err != nil) != c.fails {
				t.Errorf("serveCommands on input %q wrote %q and returned %v; want %q, error: %v", c.in, out.String(), err, c.want, c.fails)
			}
		})
	}
}

// TestServeCommandsWithClosedOutput guards against a worker that keeps running after the lab has closed its output.
// serveCommands has to return the error of the write.
func TestServeCommandsWithClosedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	if err := reader.Close(); err != nil {
		t.Fatalf("cannot close the reader: %v", err)
	}
	err := serveCommands(json.NewDecoder(strings.NewReader("")), writer, 7, func(command int) int { return command })
	if !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("serveCommands with closed output returned %v, want %v", err, io.ErrClosedPipe)
	}
}
