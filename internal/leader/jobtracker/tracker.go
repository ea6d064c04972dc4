// Package jobtracker keeps the leader's jobs consistent with their records in the key-value store.
// It queues accepted jobs, and ends the tasks of jobs that are cancelled or completed elsewhere.
//
// A Tracker must be used only on the leader's event loop, except for SeenRevision and Follow.
package jobtracker

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

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
	"ospreyslip/internal/wirejson"
)

// Counts publishes to users how many tasks of a job are done and running.
type Counts interface {
	Set(job string, counts jobs.TaskCounts)
	Drop(job string)
}

// Deps holds the dependencies of a Tracker.
type Deps struct {
	Derived  settings.Derived
	Store    *kvstore.Client
	Cache    *jobcache.Cache // what this controller knows of all jobs
	Counts   Counts
	State    *cluster.State
	Fencing  *fencing.Token
	Planner  *planner.Planner
	Tasks    *tasks.Manager
	Scaler   *scaler.Scaler
	Recovery *recoverer.Recoverer
	// Post runs a function on the event loop unless the context ends first.
	Post func(ctx context.Context, apply func(now time.Time))
}

// Tracker holds the leader's knowledge of the job records and how recent it is.
type Tracker struct {
	Deps
	currentAsOf          time.Time         // the jobs include everything users were told by then
	seenRevision         atomic.Uint64     // all changes up to this revision are applied
	futureCancellations  map[string]uint64 // job ids, each cancelled at a revision not yet seen
	unwrittenCompletions []*cluster.Job    // records to be written as done
	changes              []peer.JobChange  // of records, since the last TakeChanges
}

// New returns a Tracker that has seen no records.
func New(deps Deps) *Tracker { return &Tracker{Deps: deps, futureCancellations: map[string]uint64{}} }

// SeenRevision returns the revision up to which all changes are applied. It is safe for concurrent
// use.
func (t *Tracker) SeenRevision() uint64 { return t.seenRevision.Load() }

// Age returns the age of the leader's view of the jobs. Users may have been told since then of
// changes that the leader does not know.
func (t *Tracker) Age(now time.Time) time.Duration { return now.Sub(t.currentAsOf) }

// MarkLoaded sets the state after the initial read: all records that existed at asOf, and all
// changes up to revision, have been applied.
func (t *Tracker) MarkLoaded(asOf time.Time, revision uint64) {
	t.currentAsOf = asOf
	t.seenRevision.Store(revision)
}

// TakeChanges returns the changes of records since the last call.
func (t *Tracker) TakeChanges() []peer.JobChange {
	changes := t.changes
	t.changes = nil
	return changes
}

// apply processes all changes of records up to a revision.
func (t *Tracker) apply(changes []kvstore.Change, revision uint64, now time.Time) {
	for _, change := range changes {
		t.Apply(change, now)
	}
	t.seenRevision.Store(revision)
	maps.DeleteFunc(t.futureCancellations, func(_ string, at uint64) bool { return at <= revision })
}

// Apply processes one change of a job's record.
func (t *Tracker) Apply(change kvstore.Change, now time.Time) {
	if change.Set == "" {
		t.Cache.ApplyRemoval(change.Remove, change.Revision)
		return
	}
	var record jobs.Record
	if err := wirejson.Unmarshal(change.Value, &record); err != nil {
		slog.Error("job record unreadable", "key", change.Set, "reason", err)
		return
	}
	id := jobs.JobIDFromKey(change.Set)
	t.changes = append(t.changes, peer.JobChange{ID: id, State: record.State, Tasks: record.Tasks})
	if known, _ := t.Cache.Known(id); known.Finished() && !record.Finished() {
		return // the record is older than what users were told and will be written again
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
	isCancelledSince := t.futureCancellations[id] > change.Revision
	if !isCancelledSince && !record.Finished() && record.Spec != nil {
		t.addJob(id, &record, change.Revision, now)
	}
}

// addJob adds a newly accepted job to the queue.
func (t *Tracker) addJob(id string, record *jobs.Record, revision uint64, now time.Time) {
	job := cluster.NewJob(id, record.Spec, revision, record.AcceptedAtMs, now)
	t.State.Jobs[id] = job
	if record.Restored || t.Recovery.MayHaveUnloggedTasks(id) {
		t.Recovery.AdoptTasksOf(job, now)
	}
	t.PublishCounts(job)
	t.Planner.Enqueue(job)
	t.Scaler.JobArrived(job, 0, now)
	t.Planner.PlanRequested, t.Planner.GuaranteesStale = true, true
}

func (t *Tracker) applyToJob(job *cluster.Job, record *jobs.Record, revision uint64) {
	switch {
	case record.State == jobs.Cancelled && !job.End.Cancelled:
		t.Cancel(job, revision)
	case record.State == jobs.Done && !job.End.CompletionDurable && !job.End.Cancelled:
		t.CompleteElsewhere(job)
	case !record.Finished() && revision > job.Revision && !job.End.CompletionDurable:
		job.Revision = revision // the record was lost and has been written again
	}
}

// ApplyPeerCancellations applies the cancellations that peers told users of by a given time, while
// the key-value store delivers no changes. The jobs end at once. A job whose acceptance arrives only
// later is not started.
func (t *Tracker) ApplyPeerCancellations(cancellations []jobs.Cancellation, toldBy time.Time) {
	for _, cancellation := range cancellations {
		if cancellation.Revision <= t.seenRevision.Load() {
			continue
		}
		t.futureCancellations[cancellation.Job] = cancellation.Revision
		if job := t.State.Jobs[cancellation.Job]; job != nil && !job.End.Cancelled {
			t.Cancel(job, cancellation.Revision)
		}
	}
	if toldBy.After(t.currentAsOf) {
		t.currentAsOf = toldBy
	}
}

// Cancel marks a job as cancelled at a revision and ends its tasks.
func (t *Tracker) Cancel(job *cluster.Job, revision uint64) {
	slog.Info("job cancelled", "job", job.ID, "term", t.Fencing.Current)
	job.End.Cancelled, job.Revision, job.End.CancelSeenAt = true, revision, time.Now()
	t.endTasksOf(job)
}

// CompleteElsewhere marks a job as done because another source knows that it is. This leader has
// read an older record of it, because the store was rolled back.
func (t *Tracker) CompleteElsewhere(job *cluster.Job) {
	job.End.Complete = true
	t.DropCompleted(job.ID)
	t.endTasksOf(job)
	t.MarkCompletionDurable(job)
}

func (t *Tracker) endTasksOf(job *cluster.Job) {
	for _, a := range job.Assignments {
		t.Tasks.EndIfUnsent(a)
	}
	t.Planner.PlanRequested = true
	t.RemoveIfFinished(job)
}

// QueueCompleted queues a job's record to be written as done.
func (t *Tracker) QueueCompleted(job *cluster.Job) {
	t.unwrittenCompletions = append(t.unwrittenCompletions, job)
}

// HasCompleted reports whether any record is queued to be written as done.
func (t *Tracker) HasCompleted() bool { return len(t.unwrittenCompletions) > 0 }

// CompletedCount returns the number of records that are queued to be written as done.
func (t *Tracker) CompletedCount() int { return len(t.unwrittenCompletions) }

// TakeCompleted dequeues the next job whose record is to be written. The queue must not be empty.
func (t *Tracker) TakeCompleted() *cluster.Job {
	job := t.unwrittenCompletions[0]
	t.unwrittenCompletions = t.unwrittenCompletions[1:]
	return job
}

// DropCompleted removes a job from the queue of records to be written, if it is in it.
func (t *Tracker) DropCompleted(id string) {
	t.unwrittenCompletions = slices.DeleteFunc(t.unwrittenCompletions, func(job *cluster.Job) bool { return job.ID == id })
}

// MarkCompletionDurable marks a job's record as written as done.
func (t *Tracker) MarkCompletionDurable(job *cluster.Job) {
	job.End.CompletionDurable = true
	t.RemoveIfFinished(job)
}

// RemoveIfFinished removes a job that is finished and has no task on any machine, once its record
// has been written.
func (t *Tracker) RemoveIfFinished(job *cluster.Job) {
	if !job.IsFinished() || len(job.Assignments) > 0 || t.State.Jobs[job.ID] != job {
		return
	}
	if job.End.Complete && !job.End.Cancelled && !job.End.CompletionDurable {
		return // its record has not been written yet
	}
	delete(t.State.Jobs, job.ID)
	t.Planner.Forget(job)
	t.Counts.Drop(job.ID)
}

// PublishCounts publishes a job's counts to users if they have changed or are all zero.
func (t *Tracker) PublishCounts(job *cluster.Job) {
	counts := jobs.TaskCounts{Done: job.Completions.Count, Running: job.Running}
	if counts != job.PublishedCounts || counts == (jobs.TaskCounts{}) {
		job.PublishedCounts = counts
		t.Counts.Set(job.ID, counts)
	}
}
