package cluster

import (
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Job is an unfinished job, or an ended one of which tasks may still be on machines.
type Job struct {
	ID              string
	Spec            *jobs.Spec
	Revision        uint64 // of its record in the key-value store
	SubmissionOrder uint64 // revision at which its record was created: earlier jobs go first
	AcceptedMs      int64  // wall clock of the acceptance, in milliseconds

	End         JobEnd
	Completions Completions
	Assignments map[int]*Assignment // by task index: where a task is, or may be
	Pending     PendingTasks
	Running     int            // tasks that their machines showed as running
	Zones       map[string]int // tasks on machines, by zone
	Scheduling  SchedulingState
	Gang        GangAttempt
	Adoption    Adoption

	// PublishedCounts is what users were last shown of the job.
	PublishedCounts jobs.Counts
	// RunTimeLogs is run times of completed tasks, as logarithms of seconds, ascending.
	RunTimeLogs []float64
}

// JobEnd is whether and how a job is over.
type JobEnd struct {
	Cancelled         bool
	CancelSeenAt      time.Time // when this leader learnt of the cancellation
	Recorded          string    // the end in the job's record, where this leader found the job over
	Complete          bool      // all tasks are done: that is written, or waits to be
	CompletionDurable bool      // the job's record says done
}

// PendingTasks is the tasks of a job that wait for a machine.
type PendingTasks struct {
	Count   int
	next    int   // each task from this index on was never placed
	retries []int // tasks that were placed before, and lost or stopped
}

// SchedulingState is what the queue remembers of a job between plans.
type SchedulingState struct {
	LastServedAt        time.Time // when a task was last found to run on, or the job was accepted
	WithinGuarantee     bool      // the job fits within what its team is guaranteed
	GuaranteedSince     time.Time // since when it does
	GangPendingSince    time.Time // since when all tasks of a gang wait
	PreemptingForGangAt time.Time // when tasks were last stopped to make room for the whole gang
	ConsecutiveFailures int       // failed attempts since one succeeded, on any machine
	BackoffUntil        time.Time // no task is placed before
}

// Adoption is the recovery of a job's tasks that the assignment log may lack: none is placed,
// and those that workers show are taken over, until each worker must have reported.
type Adoption struct {
	Until      time.Time
	GangParts  map[int]GangPart      // tasks of a gang of which not all are known yet
	duplicates map[int][]*Assignment // earlier assignments of a task, where the log lacks their ends
}

// NewJob makes a job all of whose tasks are pending.
func NewJob(id string, spec *jobs.Spec, revision uint64, acceptedMs int64, now time.Time) *Job {
	return &Job{
		ID: id, Spec: spec, Revision: revision, SubmissionOrder: revision, AcceptedMs: acceptedMs,
		Completions: newCompletions(spec.Tasks),
		Assignments: map[int]*Assignment{}, Zones: map[string]int{},
		Pending:    PendingTasks{Count: spec.Tasks},
		Scheduling: SchedulingState{LastServedAt: now, GangPendingSince: now},
	}
}

// HasRetries tells whether any of the pending tasks was placed before.
func (p *PendingTasks) HasRetries() bool { return len(p.retries) > 0 }

// IsOver tells whether no task of the job is to be started any more.
func (j *Job) IsOver() bool { return j.End.Cancelled || j.End.Complete }

// TakePendingTask removes a task from the pending ones and returns its index. There must be
// one. Tasks that were placed before go first.
func (j *Job) TakePendingTask() int {
	pending := &j.Pending
	pending.Count--
	if n := len(pending.retries); n > 0 {
		last := pending.retries[n-1]
		pending.retries = pending.retries[:n-1]
		return last
	}
	for j.Assignments[pending.next] != nil || j.IsTaskDone(pending.next) {
		pending.next++
	}
	pending.next++
	return pending.next - 1
}

// RequeueTask makes a task pending again that is off its machine and not done.
func (j *Job) RequeueTask(index int) {
	j.Pending.Count++
	if index < j.Pending.next {
		j.Pending.retries = append(j.Pending.retries, index)
	}
}

// RestoreAssignment adds an assignment from the assignment log. There may be two of one task
// if the segment was lost that said that the first was over: both have to be off their
// machines before the task is placed again.
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

// RemoveAssignment drops an assignment whose end is durable. It tells whether the task is on
// no machine any more.
func (j *Job) RemoveAssignment(assignment *Assignment) (offAllMachines bool) {
	if duplicates := j.Adoption.duplicates[assignment.Index]; len(duplicates) > 0 {
		left := slices.DeleteFunc(duplicates, func(other *Assignment) bool { return other == assignment })
		if j.Assignments[assignment.Index] == assignment {
			j.Assignments[assignment.Index], left = left[0], left[1:]
		}
		j.Adoption.duplicates[assignment.Index] = left
		return false
	}
	if j.Assignments[assignment.Index] != assignment {
		return false
	}
	delete(j.Assignments, assignment.Index)
	return true
}

// MayAdopt tells whether a task that a worker shows may be one of the job's that the log
// lacks. A task that ended without being done needs no adoption.
func (j *Job) MayAdopt(index int, task *workers.TaskStatus) bool {
	if j.IsOver() || index >= j.Spec.Tasks || j.IsTaskDone(index) || j.Assignments[index] != nil {
		return false
	}
	return task.State != workers.StateEnded || task.Cause == workers.CauseDone && j.Spec.Shape == jobs.Batch
}
