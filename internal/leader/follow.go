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

// followJobRecords watches the jobs.
func (l *Leader) followJobRecords(ctx context.Context, after uint64) {
	var least uint64
	var asked time.Time
	var newest detection.Watermark
	for ctx.Err() == nil {
		// Only what reaches a revision read at some moment is as new as that: a
		// watch may lag, or be empty because the service does not serve this node.
		putBack := false
		request := newest.Baseline()
		if sent := time.Now(); least <= after {
			if r, err := l.Store.Revision(ctx); err == nil {
				least, asked = r, sent
				var e detection.Evidence
				if e, putBack = newest.Observe(request, detection.RevisionBack, "", r); putBack {
					l.post(ctx, func(now time.Time) { l.suspect(e, now) })
					after = 0 // revisions are given out again: nothing can be concluded from those before
				}
			}
		}
		request = newest.Baseline()
		rev, changes, err := l.Store.Watch(ctx, jobs.RecordPrefix, after, l.Derived.Store.WatchTimeout)
		if putBack || l.listAnew.Swap(false) || errors.Is(err, kvstore.ErrCompacted) {
			var pairs []kvstore.KeyValue
			if pairs, rev, err = l.Store.List(ctx, jobs.RecordPrefix); err == nil {
				for _, p := range pairs {
					changes = append(changes, kvstore.Change{Set: p.Key, Value: p.Value, Revision: p.Revision})
				}
			}
		}
		if err != nil {
			slog.Debug("watch failed", "term", l.term.FencingToken, "reason", err)
			select {
			case <-ctx.Done():
			case <-time.After(l.Derived.Election.RenewInterval):
			}
			continue
		}
		after = max(after, rev)
		newest.Advance(request, rev)
		seen := after
		proven := after >= least && !asked.IsZero()
		sent := asked
		l.post(ctx, func(now time.Time) {
			if proven && sent.After(l.view.asOf) {
				l.view.asOf = sent
			}
			for _, c := range changes {
				l.applyJobChange(c, now)
			}
			l.view.seenRevision.Store(seen)
			maps.DeleteFunc(l.view.cancelledLater, func(_ string, at uint64) bool { return at <= seen })
		})
	}
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
	slog.Info("job cancelled", "job", j.ID, "term", l.fencing.token)
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
		l.hold(id, &rec, c.Revision)
	} else {
		delete(l.held, id)
	}
	switch {
	case j == nil && l.view.cancelledLater[id] > c.Revision: // cancelled since
	case j == nil && !rec.Finished() && rec.Spec != nil:
		j = cluster.NewJob(id, rec.Spec, c.Revision, rec.AcceptedAtMs, now)
		l.state.Jobs[id] = j
		if _, seen := l.knowledge[id]; seen || rec.Restored || l.strays[id] != nil {
			l.adoptTasksOf(j, now)
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
		l.dropUnsent(a)
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
