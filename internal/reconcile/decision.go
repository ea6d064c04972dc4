package reconcile

import (
	"time"
)

// Action is what is to be done about one task on one machine.
type Action int

// The actions.
const (
	Adopt       Action = iota // it is there as it should be: nothing is sent
	Wait                      // nothing is certain yet, or nothing is due
	Start                     // it may be sent to its machine
	Reschedule                // it is certainly off its machine, and not done
	Complete                  // it is done
	Stop                      // it has to stop
	Acknowledge               // its end is taken in: the worker may forget it
	InDoubt                   // it may have been begun by a message that is still on its way
)

func (a Action) String() string {
	return [...]string{"adopt", "wait", "begin", "restart", "complete", "stop", "clear", "in doubt"}[a]
}

// Reason is why.
type Reason string

// The reasons. Those of tasks that have ended on their machine are the worker's causes.
const (
	Reported           Reason = "reported as stored"
	SessionEnded       Reason = "session over"
	LeaseExpired       Reason = "worker lease over"
	StartNotDurable    Reason = "beginning not written"
	CommandUnanswered  Reason = "order not answered"
	Absent             Reason = "not on its machine"
	NotWanted          Reason = "never begun, not wanted any more"
	JobFinished        Reason = "job over"
	JobCancelled       Reason = "job cancelled"
	Preempted          Reason = "asked to stop"
	Checkpointing      Reason = "saving"
	Orphaned           Reason = "no assignment"
	RecordsIncomplete  Reason = "records may be incomplete"
	GangIncomplete     Reason = "gang not whole"
	Assigned           Reason = "assigned"
	EndRecorded        Reason = "end is written"
	TokenNotSuperseded Reason = "a copy of its order may come"
	NoHeartbeat        Reason = "machine not heard"
)

// Decision is an action, why it is taken and, if it has to wait, until when at most.
type Decision struct {
	Action Action
	Reason Reason
	Until  time.Time // of Wait, where a time bounds it
	GraceS float64   // of Stop
}
