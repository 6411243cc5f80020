package main

import (
	"bytes"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"cherrygap/internal/node/nodetest"
)

// executeCommand runs a command line in this process. It returns what the command wrote on standard output and on standard
// error, and its error.
func executeCommand(args ...string) (string, string, error) {
	var out, errOut bytes.Buffer
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err := root.Execute()
	return out.String(), errOut.String(), err
}

// A malformed operator file must not pass the check, and its error must name the line and the key. The check then returns
// errReported, for which main exits with code 2. A flag's value is validated as the key of the operator file that it replaces.
func TestConfigCheck(t *testing.T) {
	if out, _, err := executeCommand("config", "check", "../../deploy/operator.toml"); err != nil || !strings.Contains(out, "good") {
		t.Fatalf("config check of the shipped operator file = %q, %v, want an output with \"good\" and no error", out, err)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	nodetest.WriteFile(t, bad, "[lab.load]\nrate = -1\n")
	_, errOut, err := executeCommand("config", "check", bad)
	if !errors.Is(err, errReported) || !strings.Contains(errOut, "line 2: lab.load.rate") {
		t.Fatalf("config check of a negative lab.load.rate: standard error %q, error %v, want \"line 2: lab.load.rate\" and %v",
			errOut, err, errReported)
	}
	if _, _, err := executeCommand("lab", "load", "--rate", "0"); err == nil || !strings.Contains(err.Error(), "lab.load.rate") {
		t.Fatalf("lab load --rate 0: error %v, want one that names lab.load.rate", err)
	}
}
