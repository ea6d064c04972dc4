package reconcile

import (
	"ospreyslip/internal/workers"
)

// Attempt is what is stored, and what else is known, of one attempt to run a task on a
// machine.
type Attempt struct {
	Session          uint64 // of the worker, in which it was or is to be begun
	Durable          bool   // its beginning is written
	CommandPending   bool   // an order to begin it has no answer yet
	Sent             bool   // a command to begin it went out, and is not known to have failed
	InDoubtToken     uint64 // a command under this token may still arrive; 0 if there is none
	ObservedState    string // its state in the newest picture; empty if it was absent
	RunsToCompletion bool   // it completes by itself

	JobFinished       bool
	JobCancelled      bool
	Preempted         bool // it has to make room
	GraceS            float64
	GangReady         bool // all tasks of its gang may be sent; true for what is no gang
	RecordsIncomplete bool // records may be incomplete: it may be over, or elsewhere
}

func (a Attempt) finishReason() Reason {
	if a.JobCancelled {
		return JobCancelled
	}
	return JobFinished
}

// Observation is what a worker's newest message says of an attempt.
type Observation struct {
	Session uint64
	Token   uint64        // the highest that the worker has seen
	Task    *workers.Task // nil if the worker does not list it
}
