package main

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"

	"cherrygap/internal/node"
	"cherrygap/internal/operatorfile"
)

// Environment variables of a process that executes this test program. Each of the first three sets the process's role if its
// value is not empty.
const (
	envRunAsProgram    = "CHERRYGAP_TEST_AS_PROGRAM" // The process runs the command line of cherrygap.
	envRunAsNode       = "TEST_NODE"                 // The process runs a node without an operator file.
	envRunAsFaultyNode = "TEST_FAULTY_NODE"          // With envRunAsNode: the test decides which of the node's faultyCalls fail.
	envDescriptorLimit = "TEST_FILES"                // limit of the node's descriptors; empty for no new limit
)

// TestMain runs the role that the environment gives this process, or else the tests. Tests stop, limit and inspect nodes as
// separate processes.
func TestMain(m *testing.M) {
	if os.Getenv(envRunAsProgram) != "" {
		main()
		os.Exit(0)
	}
	if os.Getenv(envRunAsFaultyNode) != "" {
		if err := execFaultyNode(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
	}
	if spec := os.Getenv(envRunAsCrowd); spec != "" {
		if err := runCrowdProcess(spec); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		os.Exit(0)
	}
	if os.Getenv(envRunAsNode) != "" {
		if err := runLimitedNode(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		os.Exit(0)
	}
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// runLimitedNode runs a node with the descriptor limit of the environment.
func runLimitedNode() error {
	if limit, err := strconv.ParseUint(os.Getenv(envDescriptorLimit), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
			return fmt.Errorf("set the descriptor limit to %d: %w", limit, err)
		}
	}
	node.CatchSignals()
	return serve(nil, operatorfile.Default())
}

// programCommand returns a command that runs cherrygap with args as its own process in the directory dir. The process's
// environment has env and the few variables that each test process needs.
func programCommand(t *testing.T, dir string, env []string, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), self, args...)
	cmd.Dir = dir
	cmd.Env = append([]string{
		envRunAsProgram + "=1", "HOME=" + dir,
		"GORACE=atexit_sleep_ms=0",              // Without this, each process's end takes a second under the race detector.
		"GOCOVERDIR=" + os.Getenv("GOCOVERDIR"), // Without this, a process built with coverage prints a warning on standard error at its end.
	}, env...)
	return cmd
}
