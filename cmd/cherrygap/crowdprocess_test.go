package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"cherrygap/internal/lab/crowd"
	"cherrygap/internal/node/nodetest"
)

// envRunAsCrowd makes a process run a crowd until its standard input ends. The value is a crowdSpec as JSON.
const envRunAsCrowd = "TEST_CROWD"

// crowdProcessors is the number of processors of a crowd's process, so that the node and the usual clients have others.
const crowdProcessors = 3

// crowdSpec describes a crowd.
type crowdSpec struct {
	Target      crowd.Target
	Kind        string // name of one of the kinds of crowdKinds
	Connections int
}

// crowdKinds returns all kinds of crowds. Their names differ.
func crowdKinds() []crowd.Kind { return slices.Concat(crowd.Kinds(), crowd.Floods(), crowd.Refused()) }

// crowdProcess is a process that runs a crowd. Usual clients in the test's own process are not slowed by it.
type crowdProcess struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout strings.Builder
}

// startCrowdProcess starts a crowd at a node in a process of its own.
func startCrowdProcess(t *testing.T, address string, kind crowd.Kind, connections int) *crowdProcess {
	t.Helper()
	encoded, err := json.Marshal(crowdSpec{
		Target: crowd.Target{Addr: address, Class: "seats", Plan: "team", Customer: 9, TimeoutMs: 2000, IDPrefix: kind.Name},
		Kind:   kind.Name, Connections: connections,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &crowdProcess{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), envRunAsCrowd+"="+string(encoded), fmt.Sprint("GOMAXPROCS=", crowdProcessors))
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, os.Stderr
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	nodetest.KillAtEnd(t, p.cmd)
	return p
}

// stop ends the crowd and returns the number of connections that it opened, as text.
func (p *crowdProcess) stop(t *testing.T) string {
	t.Helper()
	_ = p.stdin.Close() // fails only if the process has ended, which Wait reports
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the crowd's process: %v", err)
	}
	return strings.TrimSpace(p.stdout.String())
}

// runCrowdProcess runs the crowd of the environment until standard input ends, and prints the number of opened connections.
func runCrowdProcess(encoded string) error {
	var spec crowdSpec
	if err := json.Unmarshal([]byte(encoded), &spec); err != nil {
		return fmt.Errorf("read %s: %w", envRunAsCrowd, err)
	}
	for _, kind := range crowdKinds() {
		if kind.Name == spec.Kind {
			hostile := crowd.Start(spec.Target, kind, spec.Connections)
			_, err := io.Copy(io.Discard, os.Stdin)
			hostile.Stop()
			fmt.Println(hostile.Opened())
			return err
		}
	}
	return fmt.Errorf("no crowd of kind %q", spec.Kind)
}
