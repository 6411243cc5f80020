package main

import (
	"bytes"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"cherrygap/internal/node/nodetest"
)

func cli(args ...string) (string, string, error) {
	var out, errOut bytes.Buffer
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err := root.Execute()
	return out.String(), errOut.String(), err
}

// A bad operator file is named with each fault's line and key, and the command fails (exit 2 in main).
func TestConfigCheck(t *testing.T) {
	if out, _, err := cli("config", "check", "../../deploy/operator.toml"); err != nil || !strings.Contains(out, "good") {
		t.Fatalf("shipped file: %q %v", out, err)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	nodetest.WriteFile(t, bad, "[lab.load]\nrate = -1\n")
	_, errOut, err := cli("config", "check", bad)
	if !errors.Is(err, errReported) || !strings.Contains(errOut, "line 2: lab.load.rate") {
		t.Fatalf("%q %v", errOut, err)
	}
	if _, _, err := cli("lab", "load", "--rate", "0"); err == nil || !strings.Contains(err.Error(), "lab.load.rate") {
		t.Fatalf("a bad flag passed: %v", err)
	}
}
