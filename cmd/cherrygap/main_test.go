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

// Environment variables by which a test starts this test program anew as something else.
const (
	asProgram       = "CHERRYGAP_TEST_AS_PROGRAM" // as the program, by its command line
	asNode          = "TEST_NODE"                 // as a node without an operator file
	asFaultyNode    = "TEST_FAULTY_NODE"          // as such a node, some of whose system calls the test decides on
	descriptorLimit = "TEST_FILES"                // of such a node
)

// TestMain makes this program a node where the environment says so. Tests stop, limit and inspect it from outside.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	if os.Getenv(asFaultyNode) != "" {
		if err := execFaultyNode(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
	}
	if os.Getenv(asNode) != "" {
		if err := runLimitedNode(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		os.Exit(0)
	}
	code := m.Run()
	if builtIn != "" {
		_ = os.RemoveAll(builtIn)
	}
	os.Exit(code)
}

// runLimitedNode runs a node with the descriptor limit of the environment.
func runLimitedNode() error {
	if n, err := strconv.ParseUint(os.Getenv(descriptorLimit), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			return err
		}
	}
	node.CatchSignals()
	return serve(nil, operatorfile.Default())
}

// program is this program as a process of its own, in a directory, with nothing in its environment but env.
func program(t *testing.T, dir string, env []string, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), self, args...)
	cmd.Dir = dir
	cmd.Env = append([]string{
		asProgram + "=1", "HOME=" + dir,
		"GORACE=atexit_sleep_ms=0",              // else each end takes a second under the race detector
		"GOCOVERDIR=" + os.Getenv("GOCOVERDIR"), // else the end is noted on standard error where coverage is measured
	}, env...)
	return cmd
}
