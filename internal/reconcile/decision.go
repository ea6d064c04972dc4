package reconcile

import (
	"time"
)

// Action is what to do about one task on one machine.
type Action int

// Actions about a task.
const (
	Adopt       Action = iota // the task is in its desired state: no command is sent
	Wait                      // nothing is certain yet, or nothing is due
	Start                     // the start command may be sent
	Reschedule                // the task is certainly off its machine, and not done
	Complete                  // the task is done
	Stop                      // the stop command is to be sent
	Acknowledge               // the end of the task is durable: the worker may forget it
	InDoubt                   // the outcome of a start command is unknown: it may still arrive
)

// String returns the name of the action as shown in logs and test failures.
func (a Action) String() string {
	return [...]string{"adopt", "wait", "begin", "restart", "complete", "stop", "clear", "in doubt"}[a]
}

// Reason is why an action is taken. Operators see its text in the status of a failover.
type Reason string

// Reasons of actions. For an attempt that has ended on its machine, the reason is the cause that
// the worker reports.
const (
	Reported           Reason = "reported as stored"               // the worker lists it
	AgentEpochEnded    Reason = "session over"                     // a later agent epoch keeps no tasks of the old one
	LeaseExpired       Reason = "worker lease over"                // the worker has ended its tasks by itself
	StartNotDurable    Reason = "beginning not written"            // no command may be sent until the start is durable
	CommandUnanswered  Reason = "order not answered"               // a start command is in flight
	Absent             Reason = "not on its machine"               // and no command in flight can start it
	NotWanted          Reason = "never begun, not wanted any more" // its job has finished, or it is preempted
	JobFinished        Reason = "job over"
	JobCancelled       Reason = "job cancelled"
	Preempted          Reason = "asked to stop"
	Checkpointing      Reason = "saving"                       // the task stops once its checkpoint is written
	Orphaned           Reason = "no assignment"                // the worker lists the task, but no record names it
	RecordsIncomplete  Reason = "records may be incomplete"    // the task may have ended or may run elsewhere
	GangIncomplete     Reason = "gang not whole"               // not all tasks of its gang have a machine
	Assigned           Reason = "assigned"                     // nothing prevents its start
	EndRecorded        Reason = "end is written"               // the worker need not report the task any more
	TokenNotSuperseded Reason = "a copy of its order may come" // the worker has seen no higher fencing token
	NoHeartbeat        Reason = "machine not heard"            // no heartbeat in this leader's term
)

// Decision is the action to take on an attempt, and why.
type Decision struct {
	Action Action
	Reason Reason
	Until  time.Time // for Wait: latest time at which the wait ends; zero if unbounded
	GraceS float64   // for Stop: seconds granted to the task for its checkpoint
}
