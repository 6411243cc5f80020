package main

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"testing"

	"cherrygap/internal/lab/soak"
)

// The short form of the soak test violates no invariant.
func TestSoakInSmall(t *testing.T) {
	t.Parallel()
	cmd := program(t, t.TempDir(), nil, "lab", "soak", "--seed", "11", "--for", "6s", "--nodes", "6", "--servers", "6")
	result := runSoakProgram(t, cmd)
	for _, v := range result.Violations {
		t.Errorf("%s: node %d, request %q: %s", v.Rule, v.Node, v.Request, v.Detail)
	}
	if result.Counts.Answered == 0 || result.Counts.Attempts == 0 || len(result.Faults) == 0 {
		t.Errorf("nothing was played: %+v", result)
	}
}

// runSoakProgram runs a soak test as a process of its own and returns its result.
func runSoakProgram(t *testing.T, cmd *exec.Cmd) soak.Result {
	t.Helper()
	var errors bytes.Buffer
	cmd.Stderr = &errors
	out, runErr := cmd.Output() // exit code 2 where an invariant was violated: the result says which
	var result soak.Result
	if err := json.Unmarshal(out, &result); err != nil {
		t.Fatalf("%v, %v: %q, %s", runErr, err, out, errors.String())
	}
	return result
}
