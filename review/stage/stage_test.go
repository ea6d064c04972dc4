package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// runCase runs the script of a case. Cases take up to two minutes and need the programs below target/, so
// they run only on request.
func runCase(t *testing.T, script string) {
	t.Helper()
	if os.Getenv("OSPREYSLIP_REVIEW_2") != "1" {
		t.Skip("OSPREYSLIP_REVIEW_2=1 runs it, after the deploy file's build and review/build-2.sh")
	}
	out, err := exec.Command("bash", script).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == exitBroken:
		t.Error("the rule was broken: see record.txt beside the script")
	default:
		t.Errorf("could not run: %v\n%s", err, out)
	}
}

func TestReview2Attempt(t *testing.T)  { runCase(t, "../4/run.sh") }
func TestReview2Confirm(t *testing.T)  { runCase(t, "../5/run.sh") }
func TestReview2Roll(t *testing.T)     { runCase(t, "../6/run.sh") }
func TestReview2Resubmit(t *testing.T) { runCase(t, "../7/run.sh") }
func TestReview2Snapshot(t *testing.T) { runCase(t, "../8/run.sh") }
