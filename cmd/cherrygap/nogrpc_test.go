//go:build !grpc

package main

import (
	"errors"
	"strings"
	"testing"

	"cherrygap/internal/operatorfile"
)

// A program without gRPC must not start as if tickets were checked.
func TestWithoutGRPCItIsRefused(t *testing.T) {
	for _, text := range []string{"[authz]\nservice = \"127.0.0.1:9\"", "[grpc]\nlisten = \"127.0.0.1:0\""} {
		op, faults := operatorfile.Parse(text)
		c, err := parseConfig([]byte(strings.NewReplacer("127.0.0.4:9000", port(t), "127.0.0.4:7946", "127.0.0.1:0").Replace(good)),
			func(string) string { return "" })
		if err != nil || len(faults) > 0 {
			t.Fatal(err, faults)
		}
		if err := c.take(op); err != nil {
			t.Fatal(err)
		}
		if err := run(c); !errors.Is(err, errNoGRPC) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// grpcCommandLine is what the command line has beside pinnedCommandLine in a program with gRPC: here nothing.
var grpcCommandLine []string

// grpcLabOutput is what TestPinnedLabOutput looks at beside in a program with gRPC: here nothing.
var grpcLabOutput []struct{ args, want string }
