package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// switchedOn names the environment variable without which the cases of the review are skipped. Each
// takes up to two minutes of real time and starts real processes.
const switchedOn = "OSPREYSLIP_REVIEW"

// playScript runs the script of a case and fails if the rule was broken.
func playScript(t *testing.T, number string) {
	t.Helper()
	if os.Getenv(switchedOn) == "" {
		t.Skip("a case of the review: set " + switchedOn + "=1 to play it")
	}
	script := filepath.Join("..", number, "run.sh")
	output, err := exec.Command(script).CombinedOutput()
	if err != nil {
		t.Errorf("%s: %v\n%s", script, err, output)
	}
}

// playScenario plays a scenario that has no folder and fails if the rule was broken.
func playScenario(t *testing.T, name string) {
	t.Helper()
	if os.Getenv(switchedOn) == "" {
		t.Skip("a case of the review: set " + switchedOn + "=1 to play it")
	}
	t.Chdir(filepath.Join("..", ".."))
	if code := run(name, filepath.Join(t.TempDir(), "record.txt"), os.Getenv("TROUBLE") != "0"); code != held {
		t.Errorf("%s: exit code %d", name, code)
	}
}

func TestReviewUnknownField(t *testing.T)     { playScript(t, "1") }
func TestReviewStraggler(t *testing.T)        { playScript(t, "2") }
func TestReviewLimitsToCome(t *testing.T)     { playScript(t, "3") }
func TestReviewLateReports(t *testing.T)      { playScenario(t, "late") }
func TestReviewManySmallTasks(t *testing.T)   { playScenario(t, "small") }
func TestReviewEstimateOfNought(t *testing.T) { playScenario(t, "estimate") }
