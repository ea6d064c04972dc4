package jobs

import (
	"testing"
	"time"
)

// After the mirror has read all records, the watch brings changes once more that
// the list was ahead of. A poll that is answered meanwhile must not see them.
func TestMirrorNeverTurnsBack(t *testing.T) {
	m := NewMirror(nil, time.Second, time.Second)
	m.set("job/j-1", []byte(`{"stance":"done","tasks":3}`), 105)   // from the list
	m.set("job/j-1", []byte(`{"stance":"queued","tasks":3}`), 102) // from the watch, on the way to 105
	if got := m.jobs["j-1"].stance; got != Done {
		t.Errorf("done went back to %s", got)
	}
	m.set("job/j-2", []byte(`{"stance":"queued","tasks":3}`), 103)
	m.set("job/j-2", []byte(`{"stance":"aborted","tasks":3}`), 107)
	if got := m.jobs["j-2"].stance; got != Cancelled {
		t.Errorf("cancelled is shown as %s", got)
	}
}
