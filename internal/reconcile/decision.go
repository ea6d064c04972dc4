package reconcile

import (
	"time"
)

// Action is what is to be done about one task on one machine.
type Action int

// The actions.
const (
	Adopt       Action = iota // the task is as it should be: nothing is sent
	Wait                      // nothing is certain yet, or nothing is due
	Start                     // the command to start it may be sent
	Reschedule                // it is certainly off its machine, and not done
	Complete                  // it is done
	Stop                      // the command to stop it is to be sent
	Acknowledge               // its end is durable: the worker may forget it
	InDoubt                   // the outcome of a command to start it is unknown: the command may yet arrive
)

// String returns the action as logs and test failures show it.
func (a Action) String() string {
	return [...]string{"adopt", "wait", "begin", "restart", "complete", "stop", "clear", "in doubt"}[a]
}

// Reason is why an action is taken. Operators know reasons by their texts, which stand in the
// status of a failover.
type Reason string

// The reasons. An attempt that has ended on its machine has the worker's cause for a reason.
const (
	Reported           Reason = "reported as stored"               // the worker lists it
	SessionEnded       Reason = "session over"                     // its worker has begun a new session, without the tasks of the old one
	LeaseExpired       Reason = "worker lease over"                // its worker has ended its tasks by itself
	StartNotDurable    Reason = "beginning not written"            // nothing may be sent before it is
	CommandUnanswered  Reason = "order not answered"               // a command is in flight
	Absent             Reason = "not on its machine"               // and no command in flight can start it
	NotWanted          Reason = "never begun, not wanted any more" // its job has ended, or it is preempted
	JobFinished        Reason = "job over"
	JobCancelled       Reason = "job cancelled"
	Preempted          Reason = "asked to stop"
	Checkpointing      Reason = "saving"                       // it stops once its checkpoint is written
	Orphaned           Reason = "no assignment"                // the worker runs it, and no record names it
	RecordsIncomplete  Reason = "records may be incomplete"    // it may have ended, or run elsewhere
	GangIncomplete     Reason = "gang not whole"               // tasks of its gang have no machine yet
	Assigned           Reason = "assigned"                     // nothing speaks against starting it
	EndRecorded        Reason = "end is written"               // the worker need not report it any more
	TokenNotSuperseded Reason = "a copy of its order may come" // the worker has seen no higher fencing token
	NoHeartbeat        Reason = "machine not heard"            // nothing is known from this leader's term
)

// Decision is what to do about an attempt.
type Decision struct {
	Action Action
	Reason Reason
	Until  time.Time // of Wait: when it ends at the latest; zero if no time bounds it
	GraceS float64   // of Stop: seconds that the task has for its checkpoint
}
