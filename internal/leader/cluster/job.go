package cluster

import (
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Job is an unfinished job, or a finished one that may still have tasks on machines.
type Job struct {
	ID              string
	Spec            *jobs.Spec
	Revision        uint64 // of its record in the key-value store
	SubmissionOrder uint64 // revision at which the record was created; orders jobs by submission
	AcceptedMs      int64  // wall-clock time of acceptance, in Unix milliseconds

	End         JobEnd
	Completions Completions
	Assignments map[int]*Assignment // by task index
	Pending     PendingTasks
	Running     int            // number of tasks whose observed state is running
	Zones       map[string]int // number of tasks on machines, by zone
	Scheduling  SchedulingState
	Gang        GangAttempt
	Adoption    Adoption

	// PublishedCounts holds the counts last published to users.
	PublishedCounts jobs.TaskCounts
	// RunTimeLogs holds run times of completed tasks as logarithms of seconds, ascending.
	RunTimeLogs []float64
	// stoppedAsSlow holds the tasks that were stopped because their machine appeared to be slow.
	stoppedAsSlow map[int]bool
}

// JobEnd is the state of a job's end.
type JobEnd struct {
	Cancelled         bool
	CancelSeenAt      time.Time // when this leader learned of the cancellation
	RecordedState     string    // state in the record of a job that was finished when the term began
	Complete          bool      // all tasks are done; the job's record may not say so yet
	CompletionDurable bool      // the job's record says that it is done
}

// PendingTasks holds the tasks of a job that wait for a machine.
type PendingTasks struct {
	Count     int
	nextIndex int   // no task from this index on has been taken
	retries   []int // tasks to be placed again after they were lost or stopped
}

// SchedulingState is the scheduling state that a job keeps between plans.
type SchedulingState struct {
	LastServedAt        time.Time // when a task last completed or ran for long; initially the acceptance
	WithinGuarantee     bool      // the job fits within its team's guarantee
	GuaranteedSince     time.Time // when WithinGuarantee last became true
	GangPendingSince    time.Time // when all tasks of the gang last became pending
	PreemptingForGangAt time.Time // when tasks were last preempted to make room for the whole gang
	ConsecutiveFailures int       // failed attempts since the last success, on any machine
	BackoffUntil        time.Time // no task is placed before this time
}

// Adoption is the recovery of a job's tasks that the assignment log may lack. Until every worker
// must have reported, no task of the job is placed, and tasks that workers list are adopted.
type Adoption struct {
	Until             time.Time
	ReportedGangTasks map[int]ReportedGangTask // tasks of a gang whose tasks are not all known yet, by task index
	duplicates        map[int][]*Assignment    // other restored assignments of a task, whose ends the log lacks
}

// NewJob returns a job with all tasks pending.
func NewJob(id string, spec *jobs.Spec, revision uint64, acceptedMs int64, now time.Time) *Job {
	return &Job{
		ID: id, Spec: spec, Revision: revision, SubmissionOrder: revision, AcceptedMs: acceptedMs,
		Completions: newCompletions(spec.Tasks),
		Assignments: map[int]*Assignment{}, Zones: map[string]int{},
		Pending:    PendingTasks{Count: spec.Tasks},
		Scheduling: SchedulingState{LastServedAt: now, GangPendingSince: now},
	}
}

// HasRetries reports whether any of the pending tasks was placed before.
func (p *PendingTasks) HasRetries() bool { return len(p.retries) > 0 }

// IsFinished reports whether the job is cancelled or complete. None of its tasks may be started then.
func (j *Job) IsFinished() bool { return j.End.Cancelled || j.End.Complete }

// TakePendingTask removes one of the pending tasks and returns its index. There must be at least
// one. Tasks that were placed before come first.
func (j *Job) TakePendingTask() int {
	pending := &j.Pending
	pending.Count--
	if n := len(pending.retries); n > 0 {
		last := pending.retries[n-1]
		pending.retries = pending.retries[:n-1]
		return last
	}
	for j.Assignments[pending.nextIndex] != nil || j.IsTaskDone(pending.nextIndex) {
		pending.nextIndex++
	}
	pending.nextIndex++
	return pending.nextIndex - 1
}

// RequeueTask makes a task pending again. The task must be off its machine and not done.
func (j *Job) RequeueTask(index int) {
	j.Pending.Count++
	if index < j.Pending.nextIndex {
		j.Pending.retries = append(j.Pending.retries, index)
	}
}

// RestoreAssignment adds an assignment from the assignment log. The log has several assignments of
// one task if a segment with the end of an earlier one was lost. The task is placed again only when
// all of them are off their machines.
func (j *Job) RestoreAssignment(assignment *Assignment) {
	if earlier := j.Assignments[assignment.Index]; earlier != nil {
		if j.Adoption.duplicates == nil {
			j.Adoption.duplicates = map[int][]*Assignment{}
		}
		j.Adoption.duplicates[assignment.Index] = append(j.Adoption.duplicates[assignment.Index], earlier)
		j.Assignments[assignment.Index] = assignment
		return
	}
	j.Assignments[assignment.Index] = assignment
	if !j.IsTaskDone(assignment.Index) {
		j.Pending.Count--
	}
	if j.IsGang() {
		j.JoinGang(assignment)
	}
}

// RemoveAssignment removes an assignment whose end is durable. It reports whether the task is now
// off all machines.
func (j *Job) RemoveAssignment(assignment *Assignment) (offAllMachines bool) {
	if duplicates := j.Adoption.duplicates[assignment.Index]; len(duplicates) > 0 {
		remaining := slices.DeleteFunc(duplicates, func(other *Assignment) bool { return other == assignment })
		if j.Assignments[assignment.Index] == assignment {
			j.Assignments[assignment.Index], remaining = remaining[0], remaining[1:]
		}
		j.Adoption.duplicates[assignment.Index] = remaining
		return false
	}
	if j.Assignments[assignment.Index] != assignment {
		return false
	}
	delete(j.Assignments, assignment.Index)
	return true
}

// MayAdopt reports whether a task that a worker lists may be a task of the job that the log lacks.
// A task that ended without completing needs no adoption.
func (j *Job) MayAdopt(index int, task *workers.TaskStatus) bool {
	if j.IsFinished() || index >= j.Spec.Tasks || j.IsTaskDone(index) || j.Assignments[index] != nil {
		return false
	}
	return task.State != workers.StateEnded || task.Cause == workers.CauseDone && j.Spec.Shape == jobs.Batch
}
