//go:build grpc

package main

import (
	"strings"
	"testing"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/operatorfile"
)

// Request classes that fail open are the platform's, by name.
func TestAuthorizationIsByThePlatformsClasses(t *testing.T) {
	text := strings.Replace(goodConfig, `"slot_no":2`, `"slot_no":2,"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}]`, 1)
	for _, open := range []string{"look", "fly"} {
		c := mustParse(t, text)
		op := operatorfile.Default()
		op.Authz.FailOpen = []string{open}
		if err := c.applyOperator(op); err != nil {
			t.Fatal(err)
		}
		cfg, classes, err := c.authorizationConfig()
		if open == "fly" {
			if err == nil || !strings.Contains(err.Error(), "look, buy") {
				t.Error(err)
			}
			continue
		}
		want := []authz.Class{{LatencyObjective: 400 * time.Millisecond, FailOpen: true}, {LatencyObjective: 800 * time.Millisecond}}
		if err != nil || classes["buy"] != 1 || cfg.Classes[0] != want[0] || cfg.Classes[1] != want[1] || cfg.MaxInFlight != 64 {
			t.Errorf("%+v, %v, %v", cfg, classes, err)
		}
	}
}

// grpcCommandLine is what the command line has beside pinnedCommandLine in a program with gRPC.
var grpcCommandLine = []string{
	"cherrygap lab authz",
	"cherrygap lab authz --delay duration=1ms",
	"cherrygap lab authz --deny-every uint64=0",
	"cherrygap lab authz --down-for duration=1s",
	"cherrygap lab authz --drop float64=0",
	"cherrygap lab authz --for duration=0s",
	"cherrygap lab authz --lag float64=0",
	"cherrygap lab authz --lag-for duration=1s",
	"cherrygap lab authz --listen string=127.0.0.1:0",
	"cherrygap lab authz --malformed float64=0",
	"cherrygap lab authz --odd float64=0",
	"cherrygap lab authz --seed uint64=1",
	"cherrygap lab authz --up-for duration=0s",
}

// grpcLabOutput is what TestPinnedLabOutput looks at beside in a program with gRPC.
var grpcLabOutput = []struct{ args, want string }{{"lab authz --for 20ms", "authoriser|answers starts"}}

// grpcDeprecatedNames are the old names that only a program with gRPC has.
var grpcDeprecatedNames = []deprecatedName{
	{"lab authz --odd 0.5 --for 1ms", "Flag --odd has been deprecated, write --malformed\n", ""},
}
