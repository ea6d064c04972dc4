package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// Checks that the page contains what operators need, is well-formed, and escapes texts.
func TestReport(t *testing.T) {
	at := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	status := recoverer.Status{
		Phase: recoverer.NotRecovering, Since: at, Held: 1,
		Evidence: map[detection.Kind]int{detection.RecordMissing: 3},
		Written:  map[recovery.Outcome]int{recovery.Recovered: 2, recovery.Uncertain: 1},
		Peers:    []recoverer.PeerStatus{{Node: "perch-1", Heard: true}, {Node: "perch-2", Gone: true}},
		HeldJobs: []recoverer.HeldStatus{{Job: "j-7", Why: "<script>alert(1)</script>", Said: []string{"worker m-1: running"}, SinceMs: at.UnixMilli()}},
	}
	for i := range 40 {
		status.Events = append(status.Events, recoverer.Event{At: at.Add(time.Duration(i) * time.Second), What: []string{"evidence", "recovered", "uncertain"}[i%3], Of: "j-1"})
	}
	var page bytes.Buffer
	if err := Write(&page, "abc", status, at); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"record missing", "perch-2", "taken for gone", "j-7", "worker m-1: running", "<svg", "09:00:39.000"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if strings.Contains(page.String(), "<script") {
		t.Error("a text was not escaped")
	}
	_, drawn, _ := strings.Cut(page.String(), "<svg")
	drawn, _, _ = strings.Cut(drawn, "</svg>")
	for decoder := xml.NewDecoder(strings.NewReader("<svg" + drawn + "</svg>")); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// Checks the page before anything has happened.
func TestEmptyReport(t *testing.T) {
	var page bytes.Buffer
	if err := Write(&page, "abc", recoverer.Status{Phase: recoverer.NotRecovering}, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(page.String(), "<svg") || !strings.Contains(page.String(), "nothing") {
		t.Error(page.String())
	}
}
