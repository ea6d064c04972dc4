package jobcache

import (
	"testing"

	"ospreyslip/internal/jobs"
)

// An announced change is kept until the record shows it, or shows the job as finished when the
// announcement does not.
func TestAnnouncements(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced []string
		read      string
		kept      string // state of the change that is kept; empty: none
	}{
		{"read as announced", []string{jobs.Queued}, jobs.Queued, ""},
		{"older change read", []string{jobs.Done}, jobs.Queued, jobs.Done},
		{"newer change read", []string{jobs.Queued}, jobs.Done, ""},
		{"finish announced later", []string{jobs.Queued, jobs.Cancelled}, jobs.Queued, jobs.Cancelled},
		{"announced out of order", []string{jobs.Cancelled, jobs.Queued}, jobs.Queued, jobs.Cancelled},
		{"finished in another state", []string{jobs.Done}, jobs.Cancelled, ""},
	} {
		announced := announcements{}
		for _, state := range test.announced {
			announced.add("j-1", announcedChange{state: state, tasks: 3})
		}
		announced.confirm("j-1", entry{state: test.read})
		announced.confirm("j-2", entry{state: test.read})
		if kept := announced["j-1"].state; kept != test.kept || announced.has("j-1") != (test.kept != "") {
			t.Errorf("%s: kept change has state %q, want %q", test.name, kept, test.kept)
		}
	}
}
