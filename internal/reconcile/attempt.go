package reconcile

import (
	"ospreyslip/internal/workers"
)

// Attempt is the known state of one attempt to run a task on a machine.
type Attempt struct {
	AgentEpoch       uint64 // agent epoch in which the attempt was or is to be started
	Durable          bool   // its start is in the records
	CommandPending   bool   // a start command may still be on its way: its request has not returned, or its heartbeat response may not have arrived
	Sent             bool   // a start command was sent and is not known to have failed
	InDoubtToken     uint64 // fencing token of a start command that may still arrive; 0 if there is none
	ObservedState    string // its state in the worker's newest message; empty if the task was not listed
	RunsToCompletion bool   // it ends by itself, unlike a service

	JobFinished       bool // completed or cancelled
	JobCancelled      bool
	Preempted         bool    // it must stop to make room for another task
	GraceS            float64 // if preempted: seconds granted for its checkpoint
	GangReady         bool    // every task of its gang may be started; always true for other jobs
	RecordsIncomplete bool    // records may have been lost: the task may have ended or may run elsewhere
}

// finishReason returns why a task of a finished job is stopped.
func (a Attempt) finishReason() Reason {
	if a.JobCancelled {
		return JobCancelled
	}
	return JobFinished
}

// Observation is the content of a worker's newest message that concerns an attempt.
type Observation struct {
	AgentEpoch uint64
	Token      uint64              // highest fencing token that the worker has seen
	Task       *workers.TaskStatus // nil if the worker does not list the task
}
