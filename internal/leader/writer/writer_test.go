package writer

import (
	"testing"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/settings"
)

// Every write of a leader is guarded by its term and by the revision of its key. A delayed copy of a
// transaction therefore fails if newer writes or another leader came first.
func TestEveryWriteIsGuarded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	derived := settings.Derived{Store: settings.StoreBudget{TxnOps: 12, ValueBytes: 32 << 10, ChunkTasks: 64}}
	log := assignmentlog.New(assignmentlog.Config{ChunkTasks: 64, MaxOps: 12, ValueBytes: 32 << 10})
	token := fencing.New(5, 78)
	tracker := jobtracker.New(jobtracker.Deps{})
	w := New(Deps{Derived: derived, Term: election.Term{HolderRevision: 77}, Fencing: token, Log: log, Jobs: tracker})
	job := cluster.NewJob("j-1", &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Tasks: 2, CPUs: 1}, 79, 0, now)
	token.RaisePending = true
	tracker.QueueCompleted(job)
	log.QueueStart(&cluster.Assignment{Job: job, Attempt: 101, Machine: cluster.NewMachine("m-1", now)})
	b := w.Compose()
	revisions := map[string]uint64{}
	for _, g := range b.Guards {
		revisions[g.Key] = g.Revision
	}
	if revisions[election.HolderKey] != 77 || revisions[election.TokenKey] != 78 || revisions[jobs.RecordKey(job.ID)] != 79 {
		t.Errorf("guards: %v", revisions)
	}
	for _, write := range b.Writes {
		if _, guarded := revisions[write.Set]; !guarded || write.Remove != "" {
			t.Errorf("write of %s%s is not guarded", write.Set, write.Remove)
		}
	}
	if len(b.Writes) < 3 {
		t.Errorf("%d writes, want at least 3", len(b.Writes))
	}
}
