package jobcache

import (
	"fmt"
	"testing"
)

// The most recent changes are kept in ascending order of revision, in whatever order they are
// added.
func TestRecentChanges(t *testing.T) {
	var recent recentChanges
	recent.add("j-0", 0) // no record
	recent.add("j-7", 7)
	recent.add("j-3", 3) // from a listing, which is in the order of IDs
	recent.add("j-7", 7) // repeated by the watch
	if len(recent.changes) != 1 || recent.changes[0] != (recentChange{"j-7", 7}) {
		t.Errorf("kept %v, want only j-7", recent.changes)
	}
	const last = 30
	for revision := uint64(8); revision <= last; revision++ {
		recent.add(fmt.Sprintf("j-%d", revision), revision)
	}
	if len(recent.changes) != maxRecentChanges || recent.changes[0].revision != last-maxRecentChanges+1 || recent.changes[maxRecentChanges-1].revision != last {
		t.Errorf("kept %v", recent.changes)
	}
}

// Recent changes are compared with the store on request and after each outage.
func TestComparisonDue(t *testing.T) {
	for _, test := range []struct {
		recent  recentChanges
		outages uint64
		want    bool
	}{
		{recentChanges{}, 0, false},
		{recentChanges{}, 1, true},
		{recentChanges{comparedOutages: 1}, 1, false},
		{recentChanges{comparedOutages: 1, comparisonRequested: true}, 1, true},
	} {
		if got := test.recent.comparisonDue(test.outages); got != test.want {
			t.Errorf("%+v after %d outages: comparison due is %v", test.recent, test.outages, got)
		}
	}
}
