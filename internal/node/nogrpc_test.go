//go:build !grpc

package node

import (
	"errors"
	"testing"

	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/operatorfile"
)

// errGRPCStart is the error of a start whose gRPC listen address does not belong to this machine.
var errGRPCStart = errNoGRPC

// A program built without gRPC must not start with an operator file that enables the external authorizer or the gRPC front
// end. Without the authorizer it would forward requests that nothing has checked.
func TestStartFailsWithoutGRPC(t *testing.T) {
	for _, text := range []string{"[authz]\nservice = \"127.0.0.1:9\"", "[grpc]\nlisten = \"127.0.0.1:0\""} {
		file, keyErrors := operatorfile.Parse(text)
		if len(keyErrors) > 0 {
			t.Fatalf("operatorfile.Parse(%q): errors %v, want none", text, keyErrors)
		}
		c := mustParse(t, nodetest.ConfigAt(nodetest.FreeAddress(t), nodetest.FreeAddress(t), nodetest.LoopbackAddr))
		if err := c.ApplyOperator(file); err != nil {
			t.Fatalf("ApplyOperator(%q): error %v, want none", text, err)
		}
		if err := Serve(c, CatchSignals()); !errors.Is(err, errNoGRPC) {
			t.Errorf("Serve() with operator file %q = %v, want %v", text, err, errNoGRPC)
		}
	}
}
