package reconcile

import (
	"ospreyslip/internal/workers"
)

// Attempt is what is known of one attempt to run a task on a machine.
type Attempt struct {
	Session          uint64 // of the worker, in which the attempt was or is to be started
	Durable          bool   // its start is in the records
	CommandPending   bool   // a command to start it, sent outside a heartbeat's answer, has no answer yet
	Sent             bool   // a command to start it was sent, and is not known to have failed
	InDoubtToken     uint64 // fencing token of a command to start it that may still arrive; 0 if there is none
	ObservedState    string // its state in the worker's newest message; empty if that did not list it
	RunsToCompletion bool   // it ends by itself; services do not

	JobFinished       bool // completed or cancelled
	JobCancelled      bool
	Preempted         bool    // it has to stop to make room
	GraceS            float64 // if preempted: seconds for its checkpoint
	GangReady         bool    // all tasks of its gang may be started; true for other jobs
	RecordsIncomplete bool    // records may have been lost: it may have ended, or run elsewhere
}

// finishReason is why a task of a job that has finished is stopped.
func (a Attempt) finishReason() Reason {
	if a.JobCancelled {
		return JobCancelled
	}
	return JobFinished
}

// Observation is what a worker's newest message says of an attempt.
type Observation struct {
	Session uint64
	Token   uint64              // the highest fencing token that the worker has seen
	Task    *workers.TaskStatus // nil if the worker does not list it
}
