package cluster

import (
	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// GangAttempt is the current attempt to run a gang. Its tasks are the job's assignments; the next
// attempt starts only when the last of these is removed.
type GangAttempt struct {
	Number   uint64 // shared by all tasks, which find each other by it; 0 if there is no attempt
	Assigned int    // tasks that are, or may be, on their machines
	Durable  int    // tasks whose assignment is durable
	Stopping bool
}

// ReportedGangTask is a task of a gang that a worker has reported. It is not adopted yet, because
// not all tasks of the gang are known.
type ReportedGangTask struct {
	Machine    *Machine
	Task       workers.TaskStatus
	AgentEpoch uint64 // agent epoch of the worker that reported the task
}

// IsGang reports whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == jobs.Gang }

// GangVerdict decides what to do about the gang's current attempt.
func (j *Job) GangVerdict() gang.Decision {
	return gang.Decide(gang.Attempt{
		Size: j.Spec.Tasks, Placed: j.Gang.Assigned, Durable: j.Gang.Durable, Stopping: j.Gang.Stopping,
	})
}

// JoinGang adds an assignment to the current attempt of its gang.
func (j *Job) JoinGang(assignment *Assignment) {
	j.Gang.Number = assignment.GangAttempt
	j.Gang.Assigned++
	if assignment.Log.Durable {
		j.Gang.Durable++
	}
}

// MayRun reports whether the task may be started on its machine. A task of a gang may be started
// only once the assignments of all its tasks are durable. Otherwise, if the leader failed after it
// had started some tasks, these would occupy their machines until they timed out.
func (a *Assignment) MayRun() bool { return !a.Job.IsGang() || a.Job.GangVerdict() == gang.Run }
