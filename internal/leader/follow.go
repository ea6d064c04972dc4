package leader

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
)

// jobWatch is how far a leader has followed the job records. It belongs to the goroutine that
// runs follow.
type jobWatch struct {
	after         uint64 // all changes up to this revision have been seen
	revision      uint64 // that the store had at some moment after revisionAsked
	revisionAsked time.Time
	newest        detection.Watermark
}

// isProven tells whether all changes up to revisionAsked have been seen. Only what reaches a
// revision read at some moment is as new as that: a watch may lag, or be empty because the store
// does not serve this node.
func (w *jobWatch) isProven() bool { return w.after >= w.revision && !w.revisionAsked.IsZero() }

// followJobRecords watches the jobs.
func (l *Leader) followJobRecords(ctx context.Context, after uint64) {
	watch := &jobWatch{after: after}
	for ctx.Err() == nil {
		rolledBack := l.readRevision(ctx, watch)
		request := watch.newest.Baseline()
		revision, changes, err := l.readChanges(ctx, watch.after, rolledBack)
		if err != nil {
			slog.Debug("watch failed", "term", l.fencing.OfTerm, "reason", err)
			l.sleep(ctx, l.Derived.Election.RenewInterval)
			continue
		}
		watch.after = max(watch.after, revision)
		watch.newest.Advance(request, revision)
		l.postChanges(ctx, watch, changes)
	}
}

// readRevision reads the store's revision, once the one that was read last is reached. It tells
// whether the store was rolled back meanwhile: then revisions are given out again, and nothing
// can be concluded from those before.
func (l *Leader) readRevision(ctx context.Context, watch *jobWatch) (rolledBack bool) {
	if watch.revision > watch.after {
		return false
	}
	request := watch.newest.Baseline()
	sent := time.Now()
	revision, err := l.Store.Revision(ctx)
	if err != nil {
		return false
	}
	watch.revision, watch.revisionAsked = revision, sent
	loss, rolledBack := watch.newest.Observe(request, detection.RevisionBack, "", revision)
	if rolledBack {
		l.post(ctx, func(now time.Time) { l.recovery.ReportLoss(loss, now) })
		watch.after = 0
	}
	return rolledBack
}

// readChanges waits for changes of job records, or lists all records where changes may have been
// missed.
func (l *Leader) readChanges(ctx context.Context, after uint64, rolledBack bool) (uint64, []kvstore.Change, error) {
	revision, changes, err := l.Store.Watch(ctx, jobs.RecordPrefix, after, l.Derived.Store.WatchTimeout)
	if !rolledBack && !l.recovery.TakeRelist() && !errors.Is(err, kvstore.ErrCompacted) {
		return revision, changes, err
	}
	pairs, revision, err := l.Store.List(ctx, jobs.RecordPrefix)
	if err != nil {
		return revision, nil, err
	}
	for _, p := range pairs {
		changes = append(changes, kvstore.Change{Set: p.Key, Value: p.Value, Revision: p.Revision})
	}
	return revision, changes, nil
}

// postChanges hands changes to the leader's goroutine.
func (l *Leader) postChanges(ctx context.Context, watch *jobWatch, changes []kvstore.Change) {
	seen, proven, asked := watch.after, watch.isProven(), watch.revisionAsked
	l.post(ctx, func(now time.Time) {
		if proven && asked.After(l.view.asOf) {
			l.view.asOf = asked
		}
		for _, c := range changes {
			l.applyJobChange(c, now)
		}
		l.view.seenRevision.Store(seen)
		maps.DeleteFunc(l.view.cancelledLater, func(_ string, at uint64) bool { return at <= seen })
	})
}

// cancelFromPeers takes in what users were told by a moment, while no change can be
// had from the state service. What it names ends at once, and is not begun when the
// changes come that say that it was accepted.
func (l *Leader) cancelFromPeers(all []jobs.Cancellation, by time.Time) {
	for _, c := range all {
		if c.Revision <= l.view.seenRevision.Load() {
			continue
		}
		l.view.cancelledLater[c.Job] = c.Revision
		if j := l.state.Jobs[c.Job]; j != nil && !j.End.Cancelled {
			l.cancelJob(j, c.Revision)
		}
	}
	if by.After(l.view.asOf) {
		l.view.asOf = by
	}
}

func (l *Leader) cancelJob(j *cluster.Job, revision uint64) {
	slog.Info("job cancelled", "job", j.ID, "term", l.fencing.Current)
	j.End.Cancelled, j.Revision, j.End.CancelSeenAt = true, revision, time.Now()
	l.endTasksOf(j)
}

func (l *Leader) applyJobChange(c kvstore.Change, now time.Time) {
	if c.Set == "" {
		l.Cache.ApplyRemoval(c.Remove, c.Revision)
		return
	}
	var rec jobs.Record
	if err := jsonv2.Unmarshal(c.Value, &rec); err != nil {
		slog.Error("job record unreadable", "key", c.Set, "reason", err)
		return
	}
	id := jobs.JobIDFromKey(c.Set)
	l.broadcast.changes = append(l.broadcast.changes, peer.JobChange{ID: id, State: rec.State, Tasks: rec.Tasks})
	j := l.state.Jobs[id]
	if known, _ := l.Cache.Known(id); known.Finished() && !rec.Finished() {
		return // the record is older than what users were told: it will be written again
	}
	if rec.Held != nil {
		l.recovery.HoldJob(id, &rec, c.Revision)
	} else {
		l.recovery.ReleaseJob(id)
	}
	switch {
	case j == nil && l.view.cancelledLater[id] > c.Revision: // cancelled since
	case j == nil && !rec.Finished() && rec.Spec != nil:
		j = cluster.NewJob(id, rec.Spec, c.Revision, rec.AcceptedAtMs, now)
		l.state.Jobs[id] = j
		if rec.Restored || l.recovery.MayHaveUnloggedTasks(id) {
			l.recovery.AdoptTasksOf(j, now)
		}
		l.publishCounts(j)
		l.planner.Enqueue(j)
		l.scaler.JobArrived(j, 0, now)
		l.planner.Requested, l.planner.GuaranteesStale = true, true
	case j == nil: // over, or held
	case rec.State == jobs.Cancelled && !j.End.Cancelled:
		l.cancelJob(j, c.Revision)
	case rec.State == jobs.Done && !j.End.CompletionDurable && !j.End.Cancelled:
		l.completeElsewhere(j)
	case !rec.Finished() && c.Revision > j.Revision && !j.End.CompletionDurable:
		j.Revision = c.Revision // its record was lost, and is written again
	}
}

func (l *Leader) endTasksOf(j *cluster.Job) {
	for _, a := range j.Assignments {
		l.tasks.EndIfUnsent(a)
	}
	l.planner.Requested = true
	l.removeIfSettled(j)
}

// removeIfSettled forgets a job that is over and has no task anywhere.
func (l *Leader) removeIfSettled(j *cluster.Job) {
	if !j.IsOver() || len(j.Assignments) > 0 || l.state.Jobs[j.ID] != j {
		return
	}
	if j.End.Complete && !j.End.Cancelled && !j.End.CompletionDurable {
		return // its record is still to be written
	}
	delete(l.state.Jobs, j.ID)
	l.planner.Forget(j)
	l.Counts.drop(j.ID)
}

// recordsAge is for how long users may have been told of changes that the leader does not know.
func (l *Leader) recordsAge(now time.Time) time.Duration { return now.Sub(l.view.asOf) }
