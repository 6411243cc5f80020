//go:build review

// Package review runs the cases of the independent review. The build tag keeps them out of the default test run.
package review

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// Exit codes of a case's script.
const (
	codeBroken = 1 // the rule was broken
	codeNotRun = 2 // the case could not run
)

// TestReviewHiddenRequest runs case 1: app servers run a request that was hidden in the body of one with two lengths.
func TestReviewHiddenRequest(t *testing.T) { runCase(t, "1") }

// TestReviewForeignAnswer runs case 2: behind a 1xx answer sent ahead, a client gets another client's answer.
func TestReviewForeignAnswer(t *testing.T) { runCase(t, "2") }

// runCase runs the script of a case. The test fails if the rule was broken or if the case could not run.
func runCase(t *testing.T, number string) {
	t.Helper()
	script, err := filepath.Abs(filepath.Join(number, "run.sh"))
	if err != nil {
		t.Fatalf("path of the script of case %s: %v", number, err)
	}
	output, err := exec.Command(script).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == codeBroken:
		t.Errorf("case %s: the rule was broken, want it kept: %s", number, output)
	case errors.As(err, &exit) && exit.ExitCode() == codeNotRun:
		t.Fatalf("case %s could not run: %s", number, output)
	default:
		t.Fatalf("run case %s: %v: %s", number, err, output)
	}
}
