//go:build !grpc

package main

import (
	"errors"
	"strings"
	"testing"

	"cherrygap/internal/operatorfile"
)

// A program without gRPC must not start as if requests were authorized.
func TestWithoutGRPCItIsRefused(t *testing.T) {
	for _, text := range []string{"[authz]\nservice = \"127.0.0.1:9\"", "[grpc]\nlisten = \"127.0.0.1:0\""} {
		op, faults := operatorfile.Parse(text)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		c := mustParse(t, strings.NewReplacer("127.0.0.4:9000", freeAddress(t), "127.0.0.4:7946", "127.0.0.1:0").Replace(goodConfig))
		if err := c.applyOperator(op); err != nil {
			t.Fatal(err)
		}
		if err := runServer(c); !errors.Is(err, errNoGRPC) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// grpcCommandLine is what the command line has beside pinnedCommandLine in a program with gRPC: here nothing.
var grpcCommandLine []string

// grpcLabOutput is what TestPinnedLabOutput looks at beside in a program with gRPC: here nothing.
var grpcLabOutput []struct{ args, want string }

// grpcDeprecatedNames are the old names that only a program with gRPC has.
var grpcDeprecatedNames []deprecatedName
