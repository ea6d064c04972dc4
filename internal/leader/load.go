package leader

import (
	"context"
	"log/slog"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
)

// loadRecords reads all records. The term is ours already, so that no earlier leader
// can change them any more; users can, and the watch starts where load began.
func (l *Leader) loadRecords(ctx context.Context) (after uint64, err error) {
	now := time.Now()
	l.view.asOf, l.fresh = now, !l.Cache.Readiness.ProvenCurrent()
	segments, _, err := l.Store.List(ctx, assignmentlog.Prefix)
	if err != nil {
		return 0, err
	}
	if err := l.readRecoveryKeys(ctx, now); err != nil {
		return 0, err
	}
	log := l.readLog(segments)
	l.checkLog(log, now)
	named := assignmentlog.JobsNamed(log)
	ended := map[string]kvstore.KeyValue{} // of which tasks may be left
	over, listed, known := 0, 0, l.Cache.RecordedCount()
	after, err = l.Store.ForEach(ctx, jobs.RecordPrefix, func(p kvstore.KeyValue) {
		listed++
		var rec jobs.Record
		if err := jsonv2.Unmarshal(p.Value, &rec); err != nil {
			slog.Error("job record unreadable", "key", p.Key, "reason", err)
			return
		}
		id := jobs.JobIDFromKey(p.Key)
		told, _ := l.Cache.Known(id)
		if rec.Held != nil {
			l.hold(id, &rec, p.Revision)
		}
		switch {
		case rec.Finished(), told.Finished(): // the latter: it is older than what users were told
		case rec.Held != nil:
			return
		case rec.Spec != nil:
			j := cluster.NewJob(id, rec.Spec, p.Revision, rec.AcceptedAtMs, now)
			l.state.Jobs[id] = j
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
	l.restoreLog(log, ended, now)
	for _, j := range l.state.Jobs {
		if j.IsGang() && !j.IsOver() && j.GangVerdict() == gang.Abort {
			l.stopGang(j, 0) // its leader ended when a part of it had begun, or was over
		}
		if !j.IsOver() && j.Spec.Shape == jobs.Batch && j.Completions.Count == j.Spec.Tasks {
			l.completeJob(j)
		}
		l.publishCounts(j)
		l.planner.Enqueue(j)
		age := time.Duration(now.UnixMilli()-j.AcceptedMs) * time.Millisecond
		l.scaler.JobArrived(j, age, now)
		l.planner.RestoreAge(j, age, now)
	}
	l.planner.Requested, l.planner.GuaranteesStale = true, true
	l.fencing.raisedAt = now
	l.scaler.DeferRentals(now.Add(2 * l.Derived.Cloud.ListLag))
	l.view.seenRevision.Store(after)
	l.failover.RecordsLoaded(time.Now())
	slog.Info("records read", "term", l.fencing.token, "jobs", len(l.state.Jobs), "ended", over, "machines", len(l.state.Machines.All))
	return after, nil
}

// readLog makes the log of its segments. What each says is for the caller.
func (l *Leader) readLog(stored []kvstore.KeyValue) (read []assignmentlog.StoredSegment) {
	l.log, read = assignmentlog.Load(logConfig(l.Derived), stored)
	return read
}

// restoreLog takes in the log. Whatever it names may be there: the tasks count
// until a report under our token, or the end of the lease, shows otherwise. No
// earlier leader answered a report later than the term began.
func (l *Leader) restoreLog(segments []assignmentlog.StoredSegment, ended map[string]kvstore.KeyValue, now time.Time) {
	where := map[uint64]*cluster.Segment{}
	defer l.announceTerm()
	for _, stored := range segments {
		p := stored.Segment
		for _, b := range stored.Record.Begun {
			m := l.restoreMachine(b, now)
			for _, t := range b.Tasks {
				if old := where[t.Attempt]; old != nil {
					delete(old.Begun, t.Attempt) // carried along since
				}
				where[t.Attempt] = p
				l.restoreTask(p, m, b.Session, t, ended, now)
			}
		}
		for _, attempt := range stored.Record.Over {
			if p := where[attempt]; p != nil {
				delete(p.Begun, attempt)
			}
		}
		for _, d := range stored.Record.Done {
			j := l.state.Jobs[d.Job]
			if j == nil || d.Chunk < 0 || d.Chunk*l.Derived.Store.ChunkTasks >= j.Spec.Tasks {
				continue
			}
			if err := j.DecodeChunk(d.Chunk, l.Derived.Store.ChunkTasks, d.Bits); err != nil {
				slog.Error("completions unreadable", "job", d.Job, "reason", err)
				continue
			}
			ref := cluster.ChunkRef{Job: j, Index: d.Chunk}
			p.Completions[ref] = true
			j.Completions.Chunks[d.Chunk] = &cluster.Chunk{Segment: p, Saved: true}
		}
	}
	for _, p := range l.log.Segments() {
		for _, attempt := range cluster.SortedAttempts(p.Begun) {
			a := p.Begun[attempt]
			l.planner.Capacity.Count(a)
			a.Machine.Assignments[attempt] = a
			a.Job.RestoreAssignment(a)
		}
	}
	for _, p := range l.log.Segments() {
		for _, attempt := range cluster.SortedAttempts(p.Begun) {
			a := p.Begun[attempt]
			switch d := reconcile.DecideOnRecords(l.attemptFacts(a, now), a.Job.IsTaskDone(a.Index), a.Machine.Worker.Session, a.Machine.Worker.LeaseUntil); d.Action {
			case reconcile.Complete:
				l.endAssignment(a, cluster.Success)
			case reconcile.Reschedule:
				l.endAssignment(a, cluster.Retry)
			default: // its machine is heard first
			}
		}
	}
}

func (l *Leader) restoreMachine(b assignmentlog.MachineRecord, now time.Time) *cluster.Machine {
	m := l.state.Machines.ByID[b.Machine]
	if m == nil {
		m = cluster.NewMachine(b.Machine, now)
		m.Phase, m.Worker.LeaseUntil = cluster.Up, now.Add(l.Derived.Workers.LeaseExpiry)
		l.state.Machines.Add(m)
		l.detector.Restore(m.ID, b.Zone, now)
		l.failover.ExpectMachine(m.ID)
	}
	m.Addr, m.Type, m.Zone, m.Spot = b.Addr, b.Type, b.Zone, b.Spot
	m.Worker.Session = max(m.Worker.Session, b.Session)
	return m
}

// restoreTask finds out what may be on a machine; it does not count before the
// whole log is read.
func (l *Leader) restoreTask(p *cluster.Segment, m *cluster.Machine, session uint64, t assignmentlog.TaskRecord, ended map[string]kvstore.KeyValue, now time.Time) {
	j := l.state.Jobs[t.Job]
	if _, recorded := ended[t.Job]; j == nil && !recorded {
		l.learnFromLog(t)
		return
	}
	if j == nil {
		var old jobs.Record
		_ = jsonv2.Unmarshal(ended[t.Job].Value, &old)
		if old.Spec == nil {
			// Done: what is left of it on the machine ends by itself.
			old.Spec = &jobs.Spec{ID: t.Job, Tasks: t.Index + 1, Shape: jobs.Batch}
		}
		j = cluster.NewJob(t.Job, old.Spec, ended[t.Job].Revision, 0, now)
		j.End.Cancelled, j.End.Recorded = true, old.State
		l.state.Jobs[t.Job] = j
	}
	if t.Index < 0 || t.Index >= j.Spec.Tasks {
		if !j.End.Cancelled {
			slog.Error("record names a task that its job does not have", "job", t.Job, "task", t.Index)
			return
		}
		j.GrowTo(t.Index + 1)
	}
	p.Begun[t.Attempt] = &cluster.Assignment{
		Job: j, Index: t.Index, Attempt: t.Attempt, GangAttempt: t.Gang, Session: session, Machine: m, Restored: true, Log: cluster.LogState{Segment: p, Durable: true}, Start: cluster.Start{InDoubtToken: l.fencing.token - 1}, CreatedAt: now, RunningSince: now,
	}
}
