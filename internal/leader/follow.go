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
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
)

// follow watches the jobs.
func (l *Leader) follow(ctx context.Context, after uint64) {
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
			var pairs []kvstore.Pair
			if pairs, rev, err = l.Store.List(ctx, jobs.RecordPrefix); err == nil {
				for _, p := range pairs {
					changes = append(changes, kvstore.Change{Set: p.Key, Value: p.Value, Revision: p.Revision})
				}
			}
		}
		if err != nil {
			slog.Debug("watch failed", "term", l.term.Token, "reason", err)
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
			if proven && sent.After(l.viewTime) {
				l.viewTime = sent
			}
			for _, c := range changes {
				l.jobChanged(c, now)
			}
			l.seen.Store(seen)
			maps.DeleteFunc(l.unseen, func(_ string, at uint64) bool { return at <= seen })
		})
	}
}

// cancelledUnseen takes in what users were told by a moment, while no change can be
// had from the state service. What it names ends at once, and is not begun when the
// changes come that say that it was accepted.
func (l *Leader) cancelledUnseen(all []jobs.Cancellation, by time.Time) {
	for _, c := range all {
		if c.Revision <= l.seen.Load() {
			continue
		}
		l.unseen[c.Job] = c.Revision
		if j := l.jobs[c.Job]; j != nil && !j.cancelled {
			l.cancelled(j, c.Revision)
		}
	}
	if by.After(l.viewTime) {
		l.viewTime = by
	}
}

func (l *Leader) cancelled(j *job, revision uint64) {
	slog.Info("job cancelled", "job", j.id, "term", l.token)
	j.cancelled, j.revision, j.heard = true, revision, time.Now()
	l.cancelTasks(j)
}

func (l *Leader) jobChanged(c kvstore.Change, now time.Time) {
	if c.Set == "" {
		l.Cache.Removed(c.Remove, c.Revision)
		return
	}
	var rec jobs.Record
	if err := jsonv2.Unmarshal(c.Value, &rec); err != nil {
		slog.Error("job record unreadable", "key", c.Set, "reason", err)
		return
	}
	id := jobs.IDOf(c.Set)
	l.changes = append(l.changes, peer.JobChange{ID: id, State: rec.State, Tasks: rec.Tasks})
	j := l.jobs[id]
	if known, _ := l.Cache.Known(id); known.Over() && !rec.Over() {
		return // the record is older than what users were told: it will be written again
	}
	if rec.Held != nil {
		l.hold(id, &rec, c.Revision)
	} else {
		delete(l.held, id)
	}
	switch {
	case j == nil && l.unseen[id] > c.Revision: // cancelled since
	case j == nil && !rec.Over() && rec.Spec != nil:
		j = newJob(id, rec.Spec, c.Revision, rec.AtMs, now)
		l.jobs[id] = j
		if _, seen := l.knowledge[id]; seen || rec.Restored || l.strays[id] != nil {
			l.adoptTasksOf(j, now)
		}
		l.show(j)
		l.queue(j)
		l.arrived(j, 0, now)
		l.replan, l.uncovered = true, true
	case j == nil: // over, or held
	case rec.State == jobs.Cancelled && !j.cancelled:
		l.cancelled(j, c.Revision)
	case rec.State == jobs.Done && !j.recorded && !j.cancelled:
		l.doneElsewhere(j)
	case !rec.Over() && c.Revision > j.revision && !j.recorded:
		j.revision = c.Revision // its record was lost, and is written again
	}
}

func (l *Leader) cancelTasks(j *job) {
	for _, a := range j.tasks {
		l.dropUnsent(a)
	}
	l.replan = true
	l.settled(j)
}

// settled forgets a job that is over and has no task anywhere.
func (l *Leader) settled(j *job) {
	if !j.over() || len(j.tasks) > 0 || l.jobs[j.id] != j {
		return
	}
	if j.final && !j.cancelled && !j.recorded {
		return // its record is still to be written
	}
	delete(l.jobs, j.id)
	delete(l.queued, j)
	l.uncovered = true
	l.Counts.drop(j.id)
}
