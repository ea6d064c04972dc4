// Package loader reads the state that a new leader starts from: the records of jobs and the
// assignment log. This state is provisional until the workers have reported.
package loader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/scaler"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson"
)

// Loader restores the leader's state from the records. It is used before the event loop runs.
type Loader struct {
	Derived    settings.Derived
	LogConfig  assignmentlog.Config
	Store      *kvstore.Client
	Cache      *jobcache.Cache // what this controller knows of all jobs
	State      *cluster.State
	Fencing    *fencing.Token
	Detector   *liveness.Detector
	Failover   *reconcile.Failover
	Log        *assignmentlog.Log
	Planner    *planner.Planner
	Jobs       *jobtracker.Tracker
	Tasks      *tasks.Manager
	Dispatcher *dispatch.Dispatcher
	Scaler     *scaler.Scaler
	Recovery   *recoverer.Recoverer
}

// Load reads all records and returns the revision after which the watch has to continue. It is
// called once the term is won, so that no earlier leader can change the records any more; users
// still can.
func (l *Loader) Load(ctx context.Context) (after uint64, err error) {
	now := time.Now()
	l.Recovery.StartTerm()
	stored, _, err := l.Store.List(ctx, assignmentlog.Prefix)
	if err != nil {
		return 0, err
	}
	if err := l.Recovery.ReadControlKeys(ctx, now); err != nil {
		return 0, err
	}
	segments := l.Log.Load(l.LogConfig, stored)
	l.Recovery.CheckLog(segments, now)
	records := loadedRecords{
		referencedInLog: assignmentlog.ReferencedJobs(segments), finished: FinishedRecords{},
		counts: recoverer.RecordCounts{Known: l.Cache.RecordedCount()},
	}
	after, err = l.Store.ForEach(ctx, jobs.RecordPrefix, func(record kvstore.KeyValue) { l.loadRecord(record, &records, now) })
	if err != nil {
		return 0, err
	}
	l.Recovery.CheckRecords(records.counts, segments, records.isFinished, now)
	l.Restore(segments, records.finished, now)
	l.resumeJobs(now)
	l.Planner.PlanRequested, l.Planner.GuaranteesStale = true, true
	l.Fencing.RaiseRequestedAt = now
	l.Scaler.DeferProvisioning(now.Add(2 * l.Derived.Cloud.ListLag))
	l.Jobs.MarkLoaded(now, after)
	l.Failover.RecordsLoaded(time.Now())
	slog.Info("records read", "term", l.Fencing.Current, "jobs", len(l.State.Jobs), "ended", records.finishedCount, "machines", len(l.State.Machines.All))
	return after, nil
}

// FinishedRecords holds the records of finished jobs that may have tasks left, by job id.
type FinishedRecords map[string]kvstore.KeyValue

// loadedRecords collects what a new leader needs from the job records while it reads them.
type loadedRecords struct {
	referencedInLog map[string]bool
	finished        FinishedRecords
	finishedCount   int // number of finished jobs
	counts          recoverer.RecordCounts
}

func (r *loadedRecords) isFinished(id string) bool {
	_, found := r.finished[id]
	return found
}

// loadRecord processes the record of one job.
func (l *Loader) loadRecord(stored kvstore.KeyValue, records *loadedRecords, now time.Time) {
	records.counts.Read++
	var record jobs.Record
	if err := wirejson.Unmarshal(stored.Value, &record); err != nil {
		slog.Error("job record unreadable", "key", stored.Key, "reason", err)
		return
	}
	id := jobs.JobIDFromKey(stored.Key)
	known, _ := l.Cache.Known(id)
	if record.Held != nil {
		l.Recovery.HoldJob(id, &record, stored.Revision)
	}
	switch {
	case record.Finished(), known.Finished():
		// If only known is finished, the record is older than what users were told.
	case record.Held != nil:
		return
	case record.Spec != nil:
		job := cluster.NewJob(id, record.Spec, stored.Revision, record.AcceptedAtMs, now)
		l.State.Jobs[id] = job
		if record.Restored || l.Recovery.LogIncomplete() {
			l.Recovery.AdoptTasksOf(job, now)
		}
		return
	}
	records.finishedCount++
	if records.referencedInLog[id] {
		records.finished[id] = stored
	}
}

// resumeJobs continues each job from the state in which the previous leader left it.
func (l *Loader) resumeJobs(now time.Time) {
	for _, job := range l.State.Jobs {
		if job.IsGang() && !job.IsFinished() && job.GangVerdict() == gang.Abort {
			// The previous leader's term ended while only some tasks of the gang had started or ended.
			l.Tasks.StopGang(job, 0)
		}
		if !job.IsFinished() && job.Spec.Shape == jobs.Batch && job.Completions.Count == job.Spec.Tasks {
			l.Tasks.CompleteJob(job)
		}
		l.Jobs.PublishCounts(job)
		l.Planner.Enqueue(job)
		age := time.Duration(now.UnixMilli()-job.AcceptedMs) * time.Millisecond
		l.Scaler.JobArrived(job, age, now)
		l.Planner.RestoreAge(job, age, now)
	}
}

// Restore restores the assignments in the log. Each of their tasks may be running and counts until
// a heartbeat under this leader's fencing token, or the expiry of the worker's lease, shows
// otherwise. No earlier leader has responded to a heartbeat since this term started.
func (l *Loader) Restore(segments []assignmentlog.StoredSegment, finished FinishedRecords, now time.Time) {
	l.restoreSegments(segments, finished, now)
	l.forEachAssignment(func(a *cluster.Assignment) {
		l.Planner.Capacity.Allocate(a)
		a.Machine.Assignments[a.Attempt] = a
		a.Job.RestoreAssignment(a)
	})
	l.forEachAssignment(func(a *cluster.Assignment) {
		worker := &a.Machine.Worker
		decision := reconcile.DecideOnRecords(l.Tasks.AttemptState(a, now), a.Job.IsTaskDone(a.Index), worker.AgentEpoch, worker.LeaseUntil)
		switch decision.Action {
		case reconcile.Complete:
			l.Tasks.End(a, cluster.Success)
		case reconcile.Reschedule:
			l.Tasks.End(a, cluster.Retry)
		default: // wait for the machine's heartbeat
		}
	})
	l.Dispatcher.AnnounceTerm(l.Log.Segments())
}

// forEachAssignment calls visit for all assignments in the segments, oldest segment first.
func (l *Loader) forEachAssignment(visit func(a *cluster.Assignment)) {
	for _, segment := range l.Log.Segments() {
		for _, attempt := range cluster.SortedAttempts(segment.Assignments) {
			visit(segment.Assignments[attempt])
		}
	}
}

// restoreSegments determines the entries of each segment. Later segments override earlier ones.
func (l *Loader) restoreSegments(segments []assignmentlog.StoredSegment, finished FinishedRecords, now time.Time) {
	segmentByAttempt := map[uint64]*cluster.Segment{}
	for _, stored := range segments {
		segment := stored.Segment
		for _, machineRecord := range stored.Record.Started {
			machine := l.restoreMachine(machineRecord, now)
			for _, task := range machineRecord.Tasks {
				if earlier := segmentByAttempt[task.Attempt]; earlier != nil {
					delete(earlier.Assignments, task.Attempt) // carried over to a later segment
				}
				segmentByAttempt[task.Attempt] = segment
				l.restoreTask(segment, machine, machineRecord.AgentEpoch, task, finished, now)
			}
		}
		for _, attempt := range stored.Record.Ended {
			if earlier := segmentByAttempt[attempt]; earlier != nil {
				delete(earlier.Assignments, attempt)
			}
		}
		for _, completions := range stored.Record.Done {
			l.restoreCompletions(segment, completions)
		}
	}
}

// restoreCompletions restores the completions of one chunk of a job's tasks.
func (l *Loader) restoreCompletions(segment *cluster.Segment, done assignmentlog.CompletionRecord) {
	job := l.State.Jobs[done.Job]
	if job == nil || done.Chunk < 0 || done.Chunk*l.Derived.Store.ChunkTasks >= job.Spec.Tasks {
		return
	}
	if err := job.DecodeChunk(done.Chunk, l.Derived.Store.ChunkTasks, done.Bits); err != nil {
		slog.Error("failed to decode completions", "job", done.Job, "reason", err)
		return
	}
	segment.Completions[cluster.ChunkRef{Job: job, Index: done.Chunk}] = true
	job.Completions.Chunks[done.Chunk] = &cluster.Chunk{Segment: segment, Saved: true}
}

// restoreMachine returns the machine that a log record names, and adds it if it is unknown.
func (l *Loader) restoreMachine(record assignmentlog.MachineRecord, now time.Time) *cluster.Machine {
	machine := l.State.Machines.ByID[record.Machine]
	if machine == nil {
		machine = cluster.NewMachine(record.Machine, now)
		machine.Phase, machine.Worker.LeaseUntil = cluster.Up, now.Add(l.Derived.Workers.LeaseExpiry)
		l.State.Machines.Add(machine)
		l.Detector.Restore(machine.ID, record.Zone, now)
		l.Failover.ExpectMachine(machine.ID)
	}
	machine.Addr, machine.Type, machine.Zone, machine.Spot = record.Addr, record.Type, record.Zone, record.Spot
	machine.Worker.AgentEpoch = max(machine.Worker.AgentEpoch, record.AgentEpoch)
	return machine
}

// restoreTask adds an assignment to its segment. It takes no effect before the whole log is read.
func (l *Loader) restoreTask(segment *cluster.Segment, machine *cluster.Machine, agentEpoch uint64, task assignmentlog.TaskRecord, finished FinishedRecords, now time.Time) {
	job := l.State.Jobs[task.Job]
	if job == nil {
		record, isFinished := finished[task.Job]
		if !isFinished {
			l.Recovery.AddLoggedTask(task)
			return
		}
		job = l.restoreFinishedJob(task, record, now)
	}
	if task.Index < 0 || task.Index >= job.Spec.Tasks {
		if !job.IsFinished() {
			slog.Error("assignment log names a task index that is out of range for its job", "job", task.Job, "task", task.Index)
			return
		}
		job.GrowTo(task.Index + 1)
	}
	segment.Assignments[task.Attempt] = &cluster.Assignment{
		Job: job, Index: task.Index, Attempt: task.Attempt, GangAttempt: task.Gang, AgentEpoch: agentEpoch, Machine: machine,
		Restored: true, CreatedAt: now, RunningSince: now,
		Start: cluster.Start{InDoubtToken: l.Fencing.Current - 1},
		Log:   cluster.LogState{Segment: segment, Durable: true},
	}
}

// restoreFinishedJob adds a finished job that may still have a task on a machine.
func (l *Loader) restoreFinishedJob(task assignmentlog.TaskRecord, stored kvstore.KeyValue, now time.Time) *cluster.Job {
	var record jobs.Record
	_ = wirejson.Unmarshal(stored.Value, &record)
	if record.Spec == nil {
		// The job is done, so its tasks on the machine end by themselves.
		record.Spec = &jobs.Spec{ID: task.Job, Tasks: task.Index + 1, Shape: jobs.Batch}
	}
	job := cluster.NewJob(task.Job, record.Spec, stored.Revision, 0, now)
	isDone := record.State == jobs.Done
	job.End = cluster.JobEnd{RecordedState: record.State, Cancelled: !isDone, Complete: isDone, CompletionDurable: isDone}
	l.State.Jobs[task.Job] = job
	return job
}
