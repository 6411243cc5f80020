//go:build grpc

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cherrygap/internal/lab/crowd"
	"cherrygap/internal/node/nodetest"
)

// Protects against usual clients of HTTP that get late answers, or are served less, while many others connect to the gRPC port and send
// what gRPC refuses: accepting and closing there had no bound.
func TestRefusedGRPCCrowdsLeaveOthersServed(t *testing.T) {
	names := []string{"noise", "malformed-fields", "half-and-close", "connect-and-close"}
	for _, kind := range crowd.Refused() {
		if !slices.Contains(names, kind.Name) {
			continue
		}
		t.Run(kind.Name, func(t *testing.T) {
			grpcAddress := nodetest.FreeAddress(t)
			p := startGRPCNode(t, grpcAddress)
			checkBesideCrowd(t, p, func() *crowdProcess { return startCrowdProcess(t, grpcAddress, kind, refusedConnections) })
		})
	}
}

// startGRPCNode starts a node that also listens for gRPC, and app servers that echo the body of each request.
func startGRPCNode(t *testing.T, grpcAddress string) *builtProcess {
	t.Helper()
	operatorFile := filepath.Join(t.TempDir(), "operator.toml")
	nodetest.WriteFile(t, operatorFile, fmt.Sprintf("[grpc]\nlisten = %q\n", grpcAddress))
	cmd := exec.Command(os.Args[0], "--operator", operatorFile) // the built program has no gRPC
	cmd.Env = append(os.Environ(), envRunAsProgram+"=1")
	address, limits := nodetest.FreeAddress(t), nodeLimits{memoryMB: defaultMemoryMB, sockets: leastDescriptors}
	startedAt := time.Now()
	p := startProgram(t, cmd, nodeProcessConfigWith(limits, address, nodetest.FreeAddress(t), startEchoServers(t)), address)
	if _, ok := p.ready(startedAt); !ok {
		t.Fatalf("the node with gRPC did not become ready; log: %s", p.log.String())
	}
	return p
}
