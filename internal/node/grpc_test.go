//go:build grpc

package node

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/authz"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/operatorfile"
)

// errGRPCStart is the error of a start whose gRPC listen address does not belong to this machine.
var errGRPCStart error = syscall.EADDRNOTAVAIL

// authz.fail_open names the platform's request classes. A name must mark the class that has it, and an unknown name must be an
// error that lists the known ones.
func TestAuthorizationUsesThePlatformsClasses(t *testing.T) {
	text := strings.Replace(nodetest.GoodConfig, `"slot_no":2`, `"slot_no":2,"services":[{"name":"look","slo":400000},{"name":"buy","slo":800000}]`, 1)
	for _, failOpen := range []string{"look", "fly"} {
		c := mustParse(t, text)
		file := operatorfile.Default()
		file.Authz.FailOpen = []string{failOpen}
		if err := c.ApplyOperator(file); err != nil {
			t.Fatalf("ApplyOperator with fail_open %q: error %v, want none", failOpen, err)
		}
		cfg, err := c.authorization()
		if failOpen == "fly" {
			if err == nil || !strings.Contains(err.Error(), "look, buy") {
				t.Errorf("authorization() with fail_open %q: error %v, want one that contains %q", failOpen, err, "look, buy")
			}
			continue
		}
		want := []authz.Class{{LatencyObjective: 400 * time.Millisecond, FailOpen: true}, {LatencyObjective: 800 * time.Millisecond}}
		if err != nil || cfg.classNumbers["buy"] != 1 || cfg.policy.Classes[0] != want[0] || cfg.policy.Classes[1] != want[1] || cfg.policy.MaxInFlight != 64 {
			t.Errorf("authorization() with fail_open %q = %+v, %v, want number 1 of class buy, classes %+v, MaxInFlight 64 and no error",
				failOpen, cfg, err, want)
		}
	}
}
