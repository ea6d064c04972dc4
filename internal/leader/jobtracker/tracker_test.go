package jobtracker

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/recoverer"
)

func TestOlderRecordDoesNotReopenFinishedJob(t *testing.T) {
	const accepted = `{"stance":"accepted","tasks":1,"spec":{"id":"j-1","tasks":1}}`
	for _, tc := range []struct {
		name, known string // what users were told of the job
		revision    uint64 // of the job's record after the older record was read
	}{
		{"accepted", accepted, 9},
		{"done", `{"stance":"done","tasks":1}`, 4},
		{"cancelled", `{"stance":"aborted","tasks":1}`, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := New(Deps{Cache: jobcache.New(nil, jobcache.Options{}), State: cluster.NewState(), Recovery: recoverer.New(recoverer.Config{})})
			job := cluster.NewJob("j-1", &jobs.Spec{ID: "j-1", Tasks: 1}, 4, 0, time.Time{})
			tracker.State.Jobs[job.ID] = job
			tracker.Cache.Apply(jobs.RecordKey(job.ID), []byte(tc.known), 5)
			tracker.Apply(kvstore.Change{Set: jobs.RecordKey(job.ID), Value: []byte(accepted), Revision: 9}, time.Time{})
			if job.Revision != tc.revision {
				t.Errorf("job at record revision %d, want %d", job.Revision, tc.revision)
			}
		})
	}
}
