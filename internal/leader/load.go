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
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/reconcile"
)

// loadRecords reads all records. The term is ours already, so that no earlier leader
// can change them any more; users can, and the watch starts where load began.
func (l *Leader) loadRecords(ctx context.Context) (after uint64, err error) {
	now := time.Now()
	l.view.asOf = now
	l.recovery.BeginTerm()
	segments, _, err := l.Store.List(ctx, assignmentlog.Prefix)
	if err != nil {
		return 0, err
	}
	if err := l.recovery.ReadControlKeys(ctx, now); err != nil {
		return 0, err
	}
	log := l.readLog(segments)
	l.recovery.CheckLog(log, now)
	records := loadedRecords{
		namedInLog: assignmentlog.JobsNamed(log), ended: map[string]kvstore.KeyValue{},
		counts: recoverer.RecordCounts{Known: l.Cache.RecordedCount()},
	}
	after, err = l.Store.ForEach(ctx, jobs.RecordPrefix, func(p kvstore.KeyValue) { l.loadRecord(p, &records, now) })
	if err != nil {
		return 0, err
	}
	l.recovery.CheckRecords(records.counts, log, records.hasEnded, now)
	l.restoreLog(log, records.ended, now)
	l.resumeJobs(now)
	l.planner.Requested, l.planner.GuaranteesStale = true, true
	l.fencing.RaisedAt = now
	l.scaler.DeferRentals(now.Add(2 * l.Derived.Cloud.ListLag))
	l.view.seenRevision.Store(after)
	l.failover.RecordsLoaded(time.Now())
	slog.Info("records read", "term", l.fencing.Current, "jobs", len(l.state.Jobs), "ended", records.over, "machines", len(l.state.Machines.All))
	return after, nil
}

// loadedRecords is what a new leader notes of the job records while it reads them.
type loadedRecords struct {
	namedInLog map[string]bool
	ended      map[string]kvstore.KeyValue // records of jobs that are over, of which tasks may be left
	over       int                         // jobs that are over
	counts     recoverer.RecordCounts
}

func (r *loadedRecords) hasEnded(id string) bool {
	_, ended := r.ended[id]
	return ended
}

// loadRecord takes in one job's record.
func (l *Leader) loadRecord(p kvstore.KeyValue, records *loadedRecords, now time.Time) {
	records.counts.Read++
	var record jobs.Record
	if err := jsonv2.Unmarshal(p.Value, &record); err != nil {
		slog.Error("job record unreadable", "key", p.Key, "reason", err)
		return
	}
	id := jobs.JobIDFromKey(p.Key)
	told, _ := l.Cache.Known(id)
	if record.Held != nil {
		l.recovery.HoldJob(id, &record, p.Revision)
	}
	switch {
	case record.Finished(), told.Finished(): // the latter: it is older than what users were told
	case record.Held != nil:
		return
	case record.Spec != nil:
		job := cluster.NewJob(id, record.Spec, p.Revision, record.AcceptedAtMs, now)
		l.state.Jobs[id] = job
		if record.Restored || l.recovery.LogIncomplete() {
			l.recovery.AdoptTasksOf(job, now)
		}
		return
	}
	records.over++
	if records.namedInLog[id] {
		records.ended[id] = p
	}
}

// resumeJobs goes on with each job where the records say that its leader has ended.
func (l *Leader) resumeJobs(now time.Time) {
	for _, j := range l.state.Jobs {
		if j.IsGang() && !j.IsOver() && j.GangVerdict() == gang.Abort {
			l.tasks.StopGang(j, 0) // its leader ended when a part of it had begun, or was over
		}
		if !j.IsOver() && j.Spec.Shape == jobs.Batch && j.Completions.Count == j.Spec.Tasks {
			l.tasks.CompleteJob(j)
		}
		l.publishCounts(j)
		l.planner.Enqueue(j)
		age := time.Duration(now.UnixMilli()-j.AcceptedMs) * time.Millisecond
		l.scaler.JobArrived(j, age, now)
		l.planner.RestoreAge(j, age, now)
	}
}

// readLog makes the log of its segments. What each says is for the caller.
func (l *Leader) readLog(stored []kvstore.KeyValue) (read []assignmentlog.StoredSegment) {
	return l.log.Load(logConfig(l.Derived), stored)
}

// restoreLog takes in the log. Whatever it names may be there: the tasks count
// until a report under our token, or the end of the lease, shows otherwise. No
// earlier leader answered a report later than the term began.
func (l *Leader) restoreLog(segments []assignmentlog.StoredSegment, ended map[string]kvstore.KeyValue, now time.Time) {
	defer l.dispatcher.AnnounceTerm(l.log.Segments())
	l.restoreSegments(segments, ended, now)
	for _, segment := range l.log.Segments() {
		for _, attempt := range cluster.SortedAttempts(segment.Begun) {
			a := segment.Begun[attempt]
			l.planner.Capacity.Count(a)
			a.Machine.Assignments[attempt] = a
			a.Job.RestoreAssignment(a)
		}
	}
	for _, segment := range l.log.Segments() {
		for _, attempt := range cluster.SortedAttempts(segment.Begun) {
			a := segment.Begun[attempt]
			switch d := reconcile.DecideOnRecords(l.tasks.Facts(a, now), a.Job.IsTaskDone(a.Index), a.Machine.Worker.Session, a.Machine.Worker.LeaseUntil); d.Action {
			case reconcile.Complete:
				l.tasks.End(a, cluster.Success)
			case reconcile.Reschedule:
				l.tasks.End(a, cluster.Retry)
			default: // its machine is heard first
			}
		}
	}
}

// restoreSegments finds out what stands on each segment. Later segments overrule earlier ones.
func (l *Leader) restoreSegments(segments []assignmentlog.StoredSegment, ended map[string]kvstore.KeyValue, now time.Time) {
	where := map[uint64]*cluster.Segment{}
	for _, stored := range segments {
		segment := stored.Segment
		for _, begun := range stored.Record.Begun {
			machine := l.restoreMachine(begun, now)
			for _, task := range begun.Tasks {
				if old := where[task.Attempt]; old != nil {
					delete(old.Begun, task.Attempt) // carried along since
				}
				where[task.Attempt] = segment
				l.restoreTask(segment, machine, begun.Session, task, ended, now)
			}
		}
		for _, attempt := range stored.Record.Over {
			if earlier := where[attempt]; earlier != nil {
				delete(earlier.Begun, attempt)
			}
		}
		for _, done := range stored.Record.Done {
			l.restoreCompletions(segment, done)
		}
	}
}

// restoreCompletions takes in the completions of one chunk of a job's tasks.
func (l *Leader) restoreCompletions(segment *cluster.Segment, done assignmentlog.CompletionRecord) {
	job := l.state.Jobs[done.Job]
	if job == nil || done.Chunk < 0 || done.Chunk*l.Derived.Store.ChunkTasks >= job.Spec.Tasks {
		return
	}
	if err := job.DecodeChunk(done.Chunk, l.Derived.Store.ChunkTasks, done.Bits); err != nil {
		slog.Error("completions unreadable", "job", done.Job, "reason", err)
		return
	}
	segment.Completions[cluster.ChunkRef{Job: job, Index: done.Chunk}] = true
	job.Completions.Chunks[done.Chunk] = &cluster.Chunk{Segment: segment, Saved: true}
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
		l.recovery.AddLoggedTask(t)
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
		Job: j, Index: t.Index, Attempt: t.Attempt, GangAttempt: t.Gang, Session: session, Machine: m, Restored: true, Log: cluster.LogState{Segment: p, Durable: true}, Start: cluster.Start{InDoubtToken: l.fencing.Current - 1}, CreatedAt: now, RunningSince: now,
	}
}
