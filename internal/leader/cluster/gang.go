package cluster

import (
	"ospreyslip/internal/gang"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// GangAttempt is the present attempt of a gang. Its tasks are the job's assignments; the next
// attempt begins only when the last of these is removed.
type GangAttempt struct {
	Number   uint64 // shared by all its tasks, by which they find each other; 0 without an attempt
	Assigned int    // tasks that are, or may be, on their machines
	Durable  int    // tasks whose assignment is durable
	Stopping bool
}

// GangPart is a task of a gang that a worker shows while the others are not known yet.
type GangPart struct {
	Machine *Machine
	Task    workers.TaskStatus
	Session uint64
}

// IsGang tells whether the job's tasks start together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == jobs.Gang }

// GangVerdict decides what becomes of the gang's present attempt.
func (j *Job) GangVerdict() gang.Decision {
	return gang.Decide(gang.Attempt{
		Size: j.Spec.Tasks, Placed: j.Gang.Assigned, Durable: j.Gang.Durable, Stopping: j.Gang.Stopping,
	})
}

// JoinGang adds an assignment to the present attempt of its gang.
func (j *Job) JoinGang(assignment *Assignment) {
	j.Gang.Number = assignment.GangAttempt
	j.Gang.Assigned++
	if assignment.Log.Durable {
		j.Gang.Durable++
	}
}

// MayRun tells whether a task may be sent to its machine: a task of a gang only together with
// all others. Were a leader to end after half of them, the rest would hold room until they
// gave up.
func (a *Assignment) MayRun() bool { return !a.Job.IsGang() || a.Job.GangVerdict() == gang.Run }
