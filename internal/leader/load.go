package leader

import (
	"context"
	"log/slog"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
)

// load reads all records. The term is ours already, so that no earlier leader
// can change them any more; users can, and the watch starts where load began.
func (l *Leader) load(ctx context.Context) (after uint64, err error) {
	now := time.Now()
	l.viewTime, l.fresh = now, !l.Cache.Settled()
	segments, _, err := l.Store.List(ctx, logPrefix)
	if err != nil {
		return 0, err
	}
	if err := l.readRecoveryKeys(ctx, now); err != nil {
		return 0, err
	}
	log := l.readLog(segments)
	l.checkLog(log, now)
	named := jobsNamed(log)
	ended := map[string]kvstore.Pair{} // of which tasks may be left
	over, listed, known := 0, 0, l.Cache.Recorded()
	after, err = l.Store.Each(ctx, jobs.RecordPrefix, func(p kvstore.Pair) {
		listed++
		var rec jobs.Record
		if err := jsonv2.Unmarshal(p.Value, &rec); err != nil {
			slog.Error("job record unreadable", "key", p.Key, "reason", err)
			return
		}
		id := jobs.IDOf(p.Key)
		told, _ := l.Cache.Known(id)
		if rec.Held != nil {
			l.hold(id, &rec, p.Revision)
		}
		switch {
		case rec.Over(), told.Over(): // the latter: it is older than what users were told
		case rec.Held != nil:
			return
		case rec.Spec != nil:
			j := cluster.NewJob(id, rec.Spec, p.Revision, rec.AtMs, now)
			l.jobs[id] = j
			if rec.Restored || l.affectsLog {
				l.adoptTasksOf(j, now)
			}
			return
		}
		over++
		if named[id] {
			ended[id] = p
		}
	})
	if err != nil {
		return 0, err
	}
	l.checkRecords(log, ended, known, listed, now)
	l.restore(log, ended, now)
	for _, j := range l.jobs {
		if j.IsGang() && !j.IsOver() && j.GangVerdict() == gang.End {
			l.stopGang(j, 0) // its leader ended when a part of it had begun, or was over
		}
		if !j.IsOver() && j.Spec.Shape == jobs.Batch && j.Completions.Count == j.Spec.Tasks {
			l.finish(j)
		}
		l.show(j)
		l.queue(j)
		age := time.Duration(now.UnixMilli()-j.AcceptedMs) * time.Millisecond
		l.arrived(j, age, now)
		l.remember(j, age, now)
	}
	l.replan, l.uncovered = true, true
	l.raisedAt = now
	l.listSyncAt = now.Add(2 * l.Derived.ListLag)
	l.seen.Store(after)
	l.takeover.RecordsRead(time.Now())
	slog.Info("records read", "term", l.token, "jobs", len(l.jobs), "ended", over, "machines", len(l.machines.All))
	return after, nil
}

// jobsNamed returns the jobs of which the log has tasks.
func jobsNamed(log []segmentRecord) map[string]bool {
	named := map[string]bool{}
	for _, segment := range log {
		for _, b := range segment.Begun {
			for _, t := range b.Tasks {
				named[t.Job] = true
			}
		}
	}
	return named
}

// restore takes in the log. Whatever it names may be there: the tasks count
// until a report under our token, or the end of the lease, shows otherwise. No
// earlier leader answered a report later than the term began.
func (l *Leader) restore(recs []segmentRecord, ended map[string]kvstore.Pair, now time.Time) {
	first := len(l.log.segments) - len(recs)
	where := map[uint64]*cluster.Segment{}
	defer l.announce()
	for i, rec := range recs {
		p := l.log.segments[first+i]
		for _, b := range rec.Begun {
			m := l.restoreMachine(b, now)
			for _, t := range b.Tasks {
				if old := where[t.Attempt]; old != nil {
					delete(old.Begun, t.Attempt) // carried along since
				}
				where[t.Attempt] = p
				l.restoreTask(p, m, b.Session, t, ended, now)
			}
		}
		for _, attempt := range rec.Over {
			if p := where[attempt]; p != nil {
				delete(p.Begun, attempt)
			}
		}
		for _, d := range rec.Done {
			j := l.jobs[d.Job]
			if j == nil || d.Chunk < 0 || d.Chunk*l.Derived.ChunkTasks >= j.Spec.Tasks {
				continue
			}
			if err := j.DecodeChunk(d.Chunk, l.Derived.ChunkTasks, d.Bits); err != nil {
				slog.Error("completions unreadable", "job", d.Job, "reason", err)
				continue
			}
			ref := cluster.ChunkRef{Job: j, Index: d.Chunk}
			p.Completions[ref] = true
			j.Completions.Chunks[d.Chunk] = &cluster.Chunk{Segment: p, Saved: true}
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range cluster.SortedAttempts(p.Begun) {
			a := p.Begun[attempt]
			l.count(a)
			a.Machine.Assignments[attempt] = a
			a.Job.RestoreAssignment(a)
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range cluster.SortedAttempts(p.Begun) {
			a := p.Begun[attempt]
			switch d := reconcile.OfRecord(l.attemptFacts(a, now), a.Job.IsTaskDone(a.Index), a.Machine.Worker.Session, a.Machine.Worker.LeaseUntil); d.Action {
			case reconcile.Complete:
				l.conclude(a, cluster.Success)
			case reconcile.Restart:
				l.conclude(a, cluster.Retry)
			default: // its machine is heard first
			}
		}
	}
}

func (l *Leader) restoreMachine(b begunRecord, now time.Time) *cluster.Machine {
	m := l.machines.ByID[b.Machine]
	if m == nil {
		m = cluster.NewMachine(b.Machine, now)
		m.Phase, m.Worker.LeaseUntil = cluster.Up, now.Add(l.Derived.LeaseOver)
		l.machines.Add(m)
		l.watch.Restore(m.ID, b.Zone, now)
		l.takeover.Expect(m.ID)
	}
	m.Addr, m.Type, m.Zone, m.Spot = b.Addr, b.Type, b.Zone, b.Spot
	m.Worker.Session = max(m.Worker.Session, b.Session)
	return m
}

// restoreTask finds out what may be on a machine; it does not count before the
// whole log is read.
func (l *Leader) restoreTask(p *cluster.Segment, m *cluster.Machine, session uint64, t taskRecord, ended map[string]kvstore.Pair, now time.Time) {
	j := l.jobs[t.Job]
	if _, recorded := ended[t.Job]; j == nil && !recorded {
		l.learnFromLog(t)
		return
	}
	if j == nil {
		var old jobs.Record
		_ = jsonv2.Unmarshal(ended[t.Job].Value, &old)
		if old.Spec == nil {
			// Done: what is left of it on the machine ends by itself.
			old.Spec = &jobs.Spec{ID: t.Job, Tasks: t.N + 1, Shape: jobs.Batch}
		}
		j = cluster.NewJob(t.Job, old.Spec, ended[t.Job].Revision, 0, now)
		j.End.Cancelled, j.End.Recorded = true, old.State
		l.jobs[t.Job] = j
	}
	if t.N < 0 || t.N >= j.Spec.Tasks {
		if !j.End.Cancelled {
			slog.Error("record names a task that its job does not have", "job", t.Job, "task", t.N)
			return
		}
		j.GrowTo(t.N + 1)
	}
	p.Begun[t.Attempt] = &cluster.Assignment{
		Job: j, Index: t.N, Attempt: t.Attempt, GangAttempt: t.Gang, Session: session, Machine: m, Restored: true, Log: cluster.LogState{Segment: p, Durable: true}, Start: cluster.Start{InDoubtToken: l.token - 1}, CreatedAt: now, RunningSince: now,
	}
}
