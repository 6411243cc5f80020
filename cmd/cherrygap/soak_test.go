package main

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"testing"

	"cherrygap/internal/lab/soak"
)

// A node must not violate an invariant under overlapping faults. The test is a short run of lab soak with a fixed seed.
func TestSoakInSmall(t *testing.T) {
	t.Parallel()
	cmd := programCommand(t, t.TempDir(), nil, "lab", "soak", "--seed", "11", "--for", "6s", "--nodes", "6", "--servers", "6")
	result := runSoakProgram(t, cmd)
	for _, v := range result.Violations {
		t.Errorf("node %d violated the invariant %s with request %q (%s), want no violation", v.Node, v.Rule, v.Request, v.Detail)
	}
	if result.Counts.Answered == 0 || result.Counts.Attempts == 0 || len(result.Faults) == 0 {
		t.Errorf("the run had %d answered requests, %d attempts and %d faults, want more than 0 of each; result: %+v",
			result.Counts.Answered, result.Counts.Attempts, len(result.Faults), result)
	}
}

// runSoakProgram runs a lab soak command and returns its result. It ignores the exit code, because the result names the
// violations.
func runSoakProgram(t *testing.T, cmd *exec.Cmd) soak.Result {
	t.Helper()
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, runErr := cmd.Output()
	var result soak.Result
	if err := json.Unmarshal(out, &result); err != nil {
		t.Fatalf("lab soak printed %q, want a JSON result: %v; run error %v, standard error %q", out, err, runErr, stderr.String())
	}
	return result
}
