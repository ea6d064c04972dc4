package restart

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ospreyslip/internal/jobs"
)

func newResult(change func(*Result)) Result {
	r := Result{Pattern: PatternAll, PauseS: 14, Trial: 1, Tasks: 484, Lost: 484, Started: 484, Running: 484, AnswerMs: 20, Gaps: newHistogram()}
	for _, ms := range []int64{1000, 1001, 3000, 6350} {
		_ = r.Gaps.RecordValue(ms)
	}
	if change != nil {
		change(&r)
	}
	return r
}

// A trial fails if a rule was violated, a healthy task was stopped, or the counts of started,
// lost and running tasks do not match.
func TestCheckResults(t *testing.T) {
	if err := CheckResults([]Result{newResult(nil), newResult(nil)}); err != nil {
		t.Error(err)
	}
	for what, change := range map[string]func(*Result){
		"started too often": func(r *Result) { r.Started++ },
		"not restarted":     func(r *Result) { r.Started-- },
		"stopped":           func(r *Result) { r.Stopped, r.Started, r.Lost = 1, 485, 485 },
		"ran twice":         func(r *Result) { r.Violations = 1 },
		"task is missing":   func(r *Result) { r.Running-- },
	} {
		if err := CheckResults([]Result{newResult(nil), newResult(change)}); !errors.Is(err, ErrTrialFailed) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if CheckResults(nil) == nil {
		t.Error("CheckResults succeeds without any trial")
	}
}

// Every trial must appear in the table, the JSON lines and the HTML page.
func TestWriteReports(t *testing.T) {
	dir, table := t.TempDir(), &bytes.Buffer{}
	all := []Result{newResult(nil), newResult(func(r *Result) { r.PauseS, r.Lost, r.Started, r.Stopped = 0.2, 0, 3, 3 })}
	if err := WriteReports(dir, table, all); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(table.String()), "\n"); len(lines) != 3 || !strings.Contains(lines[2], "healthy tasks stopped") {
		t.Errorf("table:\n%s", table)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "results.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	var back Result
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&back); err != nil || back.Started != 484 || back.PauseS != 14 {
		t.Errorf("first line of results.jsonl: %+v, %v", back, err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || strings.Count(string(page), "<svg") != 2 || !strings.Contains(string(page), "healthy tasks stopped") {
		t.Errorf("report.html has %d bytes: %v", len(page), err)
	}
}

// Controllers must accept the submitted description, in which any zone is encoded as null.
func TestSubmissionBodyIsValid(t *testing.T) {
	raw, err := submissionBody(&jobs.Spec{
		ID: "j-000001", Class: "sums", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 4, CPUs: 1, RAMGB: 1, Image: "img", EstimatedRuntimeS: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := jobs.ParseSpec(raw); err != nil {
		t.Errorf("%s: %v", raw, err)
	}
}
