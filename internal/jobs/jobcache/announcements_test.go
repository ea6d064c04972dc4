package jobcache

import (
	"testing"

	"ospreyslip/internal/jobs"
)

// A change stays announced until the record shows it, or has a job finished that it says is not.
func TestAnnouncements(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced []string
		read      string
		left      string // empty: none
	}{
		{"read as announced", []string{jobs.Queued}, jobs.Queued, ""},
		{"an older change is read", []string{jobs.Done}, jobs.Queued, jobs.Done},
		{"a newer change is read", []string{jobs.Queued}, jobs.Done, ""},
		{"finished later", []string{jobs.Queued, jobs.Cancelled}, jobs.Queued, jobs.Cancelled},
		{"announced in the wrong order", []string{jobs.Cancelled, jobs.Queued}, jobs.Queued, jobs.Cancelled},
		{"finished otherwise", []string{jobs.Done}, jobs.Cancelled, ""},
	} {
		announced := announcements{}
		for _, state := range test.announced {
			announced.add("j-1", announcedChange{state: state, tasks: 3})
		}
		announced.confirm("j-1", entry{state: test.read})
		announced.confirm("j-2", entry{state: test.read})
		if left := announced["j-1"].state; left != test.left || announced.has("j-1") != (test.left != "") {
			t.Errorf("%s: %q is left, want %q", test.name, left, test.left)
		}
	}
}
