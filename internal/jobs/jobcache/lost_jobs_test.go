package jobcache

import (
	"fmt"
	"testing"
)

// Each job without a record is counted once, whatever was kept of it before.
func TestLostJobsWithoutRecord(t *testing.T) {
	lost := newLostJobs()
	for i, step := range []struct {
		change               func() lostJob
		before               lostJob
		withoutRecord, total int
	}{
		{func() lostJob { return lost.remove("j-1") }, lostJob{}, 0, 0},
		{func() lostJob { return lost.add(lostJob{id: "j-1"}) }, lostJob{}, 1, 1},
		{func() lostJob { return lost.add(lostJob{id: "j-1"}) }, lostJob{id: "j-1"}, 1, 1},
		{func() lostJob { return lost.add(lostJob{"j-2", "queued"}) }, lostJob{}, 1, 2},
		{func() lostJob { return lost.add(lostJob{"j-1", "queued"}) }, lostJob{id: "j-1"}, 0, 2},
		{func() lostJob { return lost.remove("j-2") }, lostJob{"j-2", "queued"}, 0, 1},
		{func() lostJob { return lost.add(lostJob{id: "j-2"}) }, lostJob{}, 1, 2},
		{func() lostJob { return lost.remove("j-2") }, lostJob{id: "j-2"}, 0, 1},
	} {
		if before := step.change(); before != step.before || lost.withoutRecord != step.withoutRecord || lost.byID.Len() != step.total {
			t.Errorf("step %d: before %+v, %d of %d without a record; want %+v, %d of %d",
				i, before, lost.withoutRecord, lost.byID.Len(), step.before, step.withoutRecord, step.total)
		}
	}
}

// A page begins after the given ID, whether or not that ID is in the set.
func TestLostJobsPage(t *testing.T) {
	lost := newLostJobs()
	for _, id := range []string{"j-3", "j-1", "j-2", "j-5"} {
		lost.add(lostJob{id: id})
	}
	for _, test := range []struct {
		after string
		limit int
		want  string
		more  bool
	}{
		{"", 2, "[j-1 j-2]", true},
		{"j-2", 2, "[j-3 j-5]", false},
		{"j-4", 1, "[j-5]", false},
		{"j-5", 1, "[]", false},
	} {
		page, more := lost.page(test.after, test.limit)
		ids := []string{}
		for _, job := range page {
			ids = append(ids, job.id)
		}
		if fmt.Sprint(ids) != test.want || more != test.more {
			t.Errorf("%d after %q: %v, more %v; want %s, %v", test.limit, test.after, ids, more, test.want, test.more)
		}
	}
}
