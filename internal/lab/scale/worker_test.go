package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// A worker writes its first line and then one reply to each command, until its input ends. Invalid input is an error.
func TestServeCommands(t *testing.T) {
	double := func(command int) int { return 2 * command }
	for name, c := range map[string]struct {
		in, want string
		fails    bool
	}{
		"no command":   {"", "7\n", false},
		"two commands": {"1 2", "7\n2\n4\n", false},
		"no number":    {"1 x", "7\n2\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := serveCommands(json.NewDecoder(strings.NewReader(c.in)), &out, 7, double)
			if out.String() != c.want || (err != nil) != c.fails {
				t.Errorf("wrote %q, %v; want %q", out.String(), err, c.want)
			}
		})
	}
}

// A worker whose output is closed ends with the error of its write.
func TestServeCommandsWithClosedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	err := serveCommands(json.NewDecoder(strings.NewReader("")), writer, 7, func(command int) int { return command })
	if !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got %v", err)
	}
}
