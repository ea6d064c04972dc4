package leader

import (
	"context"
	"log/slog"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
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
			j := newJob(id, rec.Spec, p.Revision, rec.AtMs, now)
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
		if j.isGang() && !j.over() && j.verdict() == gang.Abort {
			l.stopGang(j, 0) // its leader ended when a part of it had begun, or was over
		}
		if !j.over() && j.spec.Shape == jobs.Batch && j.doneCount == j.spec.Tasks {
			l.finish(j)
		}
		l.show(j)
		l.queue(j)
		age := time.Duration(now.UnixMilli()-j.atMs) * time.Millisecond
		l.arrived(j, age, now)
		l.remember(j, age, now)
	}
	l.replan, l.uncovered = true, true
	l.raisedAt = now
	l.listSyncAt = now.Add(2 * l.Derived.ListLag)
	l.seen.Store(after)
	l.takeover.RecordsLoaded(time.Now())
	slog.Info("records read", "term", l.token, "jobs", len(l.jobs), "ended", over, "machines", len(l.machines.all))
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
	where := map[uint64]*segment{}
	defer l.announce()
	for i, rec := range recs {
		p := l.log.segments[first+i]
		for _, b := range rec.Begun {
			m := l.restoreMachine(b, now)
			for _, t := range b.Tasks {
				if old := where[t.Attempt]; old != nil {
					delete(old.begun, t.Attempt) // carried along since
				}
				where[t.Attempt] = p
				l.restoreTask(p, m, b.Session, t, ended, now)
			}
		}
		for _, attempt := range rec.Over {
			if p := where[attempt]; p != nil {
				delete(p.begun, attempt)
			}
		}
		for _, d := range rec.Done {
			j := l.jobs[d.Job]
			if j == nil || d.Chunk < 0 || d.Chunk*l.Derived.ChunkTasks >= j.spec.Tasks {
				continue
			}
			if err := j.loadChunk(d.Chunk, l.Derived.ChunkTasks, d.Bits); err != nil {
				slog.Error("completions unreadable", "job", d.Job, "reason", err)
				continue
			}
			ref := chunkRef{j, d.Chunk}
			p.done[ref] = true
			j.chunks[d.Chunk] = &chunk{home: p, saved: true}
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range sorted(p.begun) {
			a := p.begun[attempt]
			l.count(a)
			a.m.assigned[attempt] = a
			a.job.restored(a)
		}
	}
	for _, p := range l.log.segments {
		for _, attempt := range sorted(p.begun) {
			a := p.begun[attempt]
			switch d := reconcile.DecideOnRecords(l.attemptFacts(a, now), a.job.isDone(a.n), a.m.session, a.m.leaseUntil); d.Action {
			case reconcile.Complete:
				l.conclude(a, success)
			case reconcile.Reschedule:
				l.conclude(a, retry)
			default: // its machine is heard first
			}
		}
	}
}

// restored takes in an assignment of the job from the log. There may be two of one task, if
// the segment was lost that said that the first was over: then both have to be off their
// machines before it is placed again.
func (j *job) restored(a *assignment) {
	if before := j.tasks[a.n]; before != nil {
		if j.doubled == nil {
			j.doubled = map[int][]*assignment{}
		}
		j.doubled[a.n] = append(j.doubled[a.n], before)
		j.tasks[a.n] = a
		return
	}
	j.tasks[a.n] = a
	if !j.isDone(a.n) {
		j.waiting--
	}
	if j.isGang() {
		j.joined(a)
	}
}

func (l *Leader) restoreMachine(b begunRecord, now time.Time) *machine {
	m := l.machines.byID[b.Machine]
	if m == nil {
		m = newMachine(b.Machine, now)
		m.phase, m.leaseUntil = up, now.Add(l.Derived.LeaseOver)
		l.machines.add(m)
		l.watch.Restore(m.id, b.Zone, now)
		l.takeover.ExpectMachine(m.id)
	}
	m.addr, m.typ, m.zone, m.spot = b.Addr, b.Type, b.Zone, b.Spot
	m.session = max(m.session, b.Session)
	return m
}

// restoreTask finds out what may be on a machine; it does not count before the
// whole log is read.
func (l *Leader) restoreTask(p *segment, m *machine, session uint64, t taskRecord, ended map[string]kvstore.Pair, now time.Time) {
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
		j = newJob(t.Job, old.Spec, ended[t.Job].Revision, 0, now)
		j.cancelled, j.endedAs = true, old.State
		l.jobs[t.Job] = j
	}
	if t.N < 0 || t.N >= j.spec.Tasks {
		if !j.cancelled {
			slog.Error("record names a task that its job does not have", "job", t.Job, "task", t.N)
			return
		}
		j.grow(t.N + 1)
	}
	p.begun[t.Attempt] = &assignment{
		job: j, n: t.N, attempt: t.Attempt, gang: t.Gang, session: session, m: m, home: p,
		restored: true, durable: true, doubt: l.token - 1, born: now, since: now,
	}
}
