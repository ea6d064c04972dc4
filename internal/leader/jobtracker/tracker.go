// Package jobtracker keeps the leader's jobs in step with their records in the key-value store:
// jobs that are accepted are queued, and the tasks end of those that are cancelled or done
// elsewhere.
//
// A Tracker belongs to the leader's event loop, but for SeenRevision and Follow.
package jobtracker

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/scaler"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// Counts is where users are shown how many tasks of a job are done and running.
type Counts interface {
	Set(job string, counts jobs.Counts)
	Drop(job string)
}

// Deps is what a tracker works with.
type Deps struct {
	Derived  settings.Derived
	Store    *kvstore.Client
	Cache    *jobcache.Cache // what this node knows of all jobs
	Counts   Counts
	State    *cluster.State
	Fencing  *fencing.Token
	Planner  *planner.Planner
	Tasks    *tasks.Manager
	Scaler   *scaler.Scaler
	Recovery *recoverer.Recoverer
	// Post has a function called on the event loop, unless the context ends before.
	Post func(ctx context.Context, apply func(now time.Time))
}

// Tracker is what the leader knows of the records of jobs, and as of when.
type Tracker struct {
	Deps
	asOf           time.Time         // all that users were told by then is in the jobs
	seenRevision   atomic.Uint64     // all changes up to this revision are
	cancelledLater map[string]uint64 // jobs known to be cancelled at a revision that is not seen yet
	completed      []*cluster.Job    // whose records are to be written as done
	changes        []peer.JobChange  // of records, since TakeChanges
}

// New makes a tracker that has seen nothing.
func New(deps Deps) *Tracker { return &Tracker{Deps: deps, cancelledLater: map[string]uint64{}} }

// SeenRevision is up to which revision all changes are seen. It may be called by any goroutine.
func (t *Tracker) SeenRevision() uint64 { return t.seenRevision.Load() }

// Age is for how long users may have been told of changes that the leader does not know.
func (t *Tracker) Age(now time.Time) time.Duration { return now.Sub(t.asOf) }

// Loaded notes that all records were read that were there at a moment, and all changes up to a
// revision are seen.
func (t *Tracker) Loaded(asOf time.Time, revision uint64) {
	t.asOf = asOf
	t.seenRevision.Store(revision)
}

// TakeChanges returns what has changed since the last call.
func (t *Tracker) TakeChanges() []peer.JobChange {
	changes := t.changes
	t.changes = nil
	return changes
}

// apply takes in changes of records, all up to a revision.
func (t *Tracker) apply(changes []kvstore.Change, revision uint64, now time.Time) {
	for _, change := range changes {
		t.Apply(change, now)
	}
	t.seenRevision.Store(revision)
	maps.DeleteFunc(t.cancelledLater, func(_ string, at uint64) bool { return at <= revision })
}

// Apply takes in a change of a job's record.
func (t *Tracker) Apply(change kvstore.Change, now time.Time) {
	if change.Set == "" {
		t.Cache.ApplyRemoval(change.Remove, change.Revision)
		return
	}
	var record jobs.Record
	if err := jsonv2.Unmarshal(change.Value, &record); err != nil {
		slog.Error("job record unreadable", "key", change.Set, "reason", err)
		return
	}
	id := jobs.JobIDFromKey(change.Set)
	t.changes = append(t.changes, peer.JobChange{ID: id, State: record.State, Tasks: record.Tasks})
	if known, _ := t.Cache.Known(id); known.Finished() && !record.Finished() {
		return // the record is older than what users were told: it will be written again
	}
	if record.Held != nil {
		t.Recovery.HoldJob(id, &record, change.Revision)
	} else {
		t.Recovery.ReleaseJob(id)
	}
	if job := t.State.Jobs[id]; job != nil {
		t.applyToJob(job, &record, change.Revision)
		return
	}
	isCancelledSince := t.cancelledLater[id] > change.Revision
	if !isCancelledSince && !record.Finished() && record.Spec != nil {
		t.addJob(id, &record, change.Revision, now)
	}
}

// addJob begins to work on a job that was accepted.
func (t *Tracker) addJob(id string, record *jobs.Record, revision uint64, now time.Time) {
	job := cluster.NewJob(id, record.Spec, revision, record.AcceptedAtMs, now)
	t.State.Jobs[id] = job
	if record.Restored || t.Recovery.MayHaveUnloggedTasks(id) {
		t.Recovery.AdoptTasksOf(job, now)
	}
	t.PublishCounts(job)
	t.Planner.Enqueue(job)
	t.Scaler.JobArrived(job, 0, now)
	t.Planner.Requested, t.Planner.GuaranteesStale = true, true
}

func (t *Tracker) applyToJob(job *cluster.Job, record *jobs.Record, revision uint64) {
	switch {
	case record.State == jobs.Cancelled && !job.End.Cancelled:
		t.Cancel(job, revision)
	case record.State == jobs.Done && !job.End.CompletionDurable && !job.End.Cancelled:
		t.CompleteElsewhere(job)
	case !record.Finished() && revision > job.Revision && !job.End.CompletionDurable:
		job.Revision = revision // its record was lost, and is written again
	}
}

// ApplyPeerCancellations takes in what users were told by a moment, while no change can be had from
// the key-value store. What it names ends at once, and is not begun when the changes come that
// say that it was accepted.
func (t *Tracker) ApplyPeerCancellations(cancellations []jobs.Cancellation, by time.Time) {
	for _, cancellation := range cancellations {
		if cancellation.Revision <= t.seenRevision.Load() {
			continue
		}
		t.cancelledLater[cancellation.Job] = cancellation.Revision
		if job := t.State.Jobs[cancellation.Job]; job != nil && !job.End.Cancelled {
			t.Cancel(job, cancellation.Revision)
		}
	}
	if by.After(t.asOf) {
		t.asOf = by
	}
}

// Cancel ends the tasks of a job that was cancelled at a revision.
func (t *Tracker) Cancel(job *cluster.Job, revision uint64) {
	slog.Info("job cancelled", "job", job.ID, "term", t.Fencing.Current)
	job.End.Cancelled, job.Revision, job.End.CancelSeenAt = true, revision, time.Now()
	t.endTasksOf(job)
}

// CompleteElsewhere takes in that a job is done by what others know, while this leader had it from
// a record that was rolled back.
func (t *Tracker) CompleteElsewhere(job *cluster.Job) {
	job.End.Complete = true
	t.DropCompleted(job.ID)
	t.endTasksOf(job)
	t.CompletionDurable(job)
}

func (t *Tracker) endTasksOf(job *cluster.Job) {
	for _, a := range job.Assignments {
		t.Tasks.EndIfUnsent(a)
	}
	t.Planner.Requested = true
	t.RemoveIfSettled(job)
}

// QueueCompleted has a job's record written as done.
func (t *Tracker) QueueCompleted(job *cluster.Job) { t.completed = append(t.completed, job) }

// HasCompleted tells whether records are to be written as done.
func (t *Tracker) HasCompleted() bool { return len(t.completed) > 0 }

// CompletedCount is how many records are to be written as done.
func (t *Tracker) CompletedCount() int { return len(t.completed) }

// TakeCompleted takes the next job off those whose records are to be written. There must be one.
func (t *Tracker) TakeCompleted() *cluster.Job {
	job := t.completed[0]
	t.completed = t.completed[1:]
	return job
}

// DropCompleted takes a job off those whose records are to be written, if it is one.
func (t *Tracker) DropCompleted(id string) {
	t.completed = slices.DeleteFunc(t.completed, func(job *cluster.Job) bool { return job.ID == id })
}

// CompletionDurable takes in that a job's record says done.
func (t *Tracker) CompletionDurable(job *cluster.Job) {
	job.End.CompletionDurable = true
	t.RemoveIfSettled(job)
}

// RemoveIfSettled forgets a job that is over and has no task anywhere.
func (t *Tracker) RemoveIfSettled(job *cluster.Job) {
	if !job.IsOver() || len(job.Assignments) > 0 || t.State.Jobs[job.ID] != job {
		return
	}
	if job.End.Complete && !job.End.Cancelled && !job.End.CompletionDurable {
		return // its record is still to be written
	}
	delete(t.State.Jobs, job.ID)
	t.Planner.Forget(job)
	t.Counts.Drop(job.ID)
}

// PublishCounts shows users a job's counts when they have changed.
func (t *Tracker) PublishCounts(job *cluster.Job) {
	counts := jobs.Counts{Done: job.Completions.Count, Running: job.Running}
	if counts != job.PublishedCounts || counts == (jobs.Counts{}) {
		job.PublishedCounts = counts
		t.Counts.Set(job.ID, counts)
	}
}
