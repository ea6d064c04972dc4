// Package reconcile decides, task by task, what a worker's picture means for what is stored
// of its machine: what goes on untouched, what is begun, stopped or cleared, and what has to
// wait. It does no I/O and reads no clock. See docs/restart.md for the ways that were weighed.
package reconcile

import (
	"time"

	"ospreyslip/internal/workers"
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

// Observation is what a worker's newest message says of an attempt.
type Observation struct {
	Session uint64
	Token   uint64        // the highest that the worker has seen
	Task    *workers.Task // nil if the worker does not list it
}

// DecideOnHeartbeat decides what a picture proves of an attempt. Only what no command on its way can
// change is concluded from a task's absence.
func DecideOnHeartbeat(attempt Attempt, observed Observation) Decision {
	switch {
	case observed.Session > attempt.Session:
		return Decision{Action: Reschedule, Reason: SessionEnded}
	case observed.Session < attempt.Session:
		return Decision{Action: Wait, Reason: NoHeartbeat}
	case observed.Task == nil:
		return decideOnAbsence(attempt, observed.Token)
	case observed.Task.State != workers.Ended:
		return Decision{Action: Adopt, Reason: Reported}
	case observed.Task.Cause == workers.CauseDone && attempt.RunsToCompletion:
		return Decision{Action: Complete, Reason: Reason(observed.Task.Cause)}
	}
	return Decision{Action: Reschedule, Reason: Reason(observed.Task.Cause)}
}

// decideOnAbsence judges an attempt that the newest picture does not show.
func decideOnAbsence(attempt Attempt, workerToken uint64) Decision {
	switch {
	case !attempt.Durable:
		return Decision{Action: Wait, Reason: StartNotDurable}
	case attempt.CommandPending:
		return Decision{Action: InDoubt, Reason: CommandUnanswered}
	case attempt.InDoubtToken != 0 && workerToken <= attempt.InDoubtToken:
		return Decision{Action: InDoubt, Reason: TokenNotSuperseded}
	case attempt.JobFinished || attempt.Preempted:
		return Decision{Action: Reschedule, Reason: NotWanted}
	}
	return Decision{Action: Start, Reason: Absent}
}

// DecideCommand decides what a worker is to be told of an attempt.
func DecideCommand(attempt Attempt) Decision {
	present := attempt.ObservedState != ""
	switch {
	case !attempt.Durable:
		return Decision{Action: Wait, Reason: StartNotDurable}
	case attempt.JobFinished && present:
		return Decision{Action: Stop, Reason: attempt.finishReason()}
	case attempt.Preempted && present && attempt.ObservedState == workers.Saving:
		return Decision{Action: Wait, Reason: Checkpointing}
	case attempt.Preempted && present:
		return Decision{Action: Stop, Reason: Preempted, GraceS: attempt.GraceS}
	case present:
		return Decision{Action: Adopt, Reason: Reported}
	case attempt.JobFinished || attempt.Preempted:
		return Decision{Action: Wait, Reason: NotWanted}
	case attempt.RecordsIncomplete:
		return Decision{Action: Wait, Reason: RecordsIncomplete}
	case attempt.InDoubtToken != 0:
		return Decision{Action: InDoubt, Reason: TokenNotSuperseded}
	case attempt.Sent || attempt.CommandPending:
		return Decision{Action: Wait, Reason: CommandUnanswered}
	case !attempt.GangReady:
		return Decision{Action: Wait, Reason: GangIncomplete}
	}
	return Decision{Action: Start, Reason: Assigned}
}

func (a Attempt) finishReason() Reason {
	if a.JobCancelled {
		return JobCancelled
	}
	return JobFinished
}

// OrphanedTask is a task that a worker lists and that no attempt accounts for.
type OrphanedTask struct {
	Ended             bool
	JobCancelled      bool
	RecordsIncomplete bool   // its job, or its attempt, may be missing from the records
	CommandToken      uint64 // of the order that began it; 0 if an answer did, or an earlier leader
	WorkerToken       uint64 // the highest that the worker has seen
	InHeartbeatAnswer bool   // a report is being answered: no command to begin it can follow
}

// DecideCommand decides what a worker is to be told of a task that is not assigned to it.
func (u OrphanedTask) DecideCommand() Decision {
	switch {
	case u.RecordsIncomplete:
		return Decision{Action: InDoubt, Reason: RecordsIncomplete}
	case !u.Ended && u.JobCancelled:
		return Decision{Action: Stop, Reason: JobCancelled}
	case !u.Ended:
		return Decision{Action: Stop, Reason: Orphaned}
	case u.CommandToken != 0 && u.CommandToken >= u.WorkerToken:
		return Decision{Action: Wait, Reason: TokenNotSuperseded}
	case !u.InHeartbeatAnswer:
		return Decision{Action: Wait, Reason: EndRecorded}
	}
	return Decision{Action: Acknowledge, Reason: EndRecorded}
}

// DecideOnStaleHeartbeat decides about a task in a report from before the term. It proves nothing,
// but its answer renews the lease: what is cancelled stops all the same.
func DecideOnStaleHeartbeat(task *workers.Task, cancelled bool) Decision {
	if cancelled && task.State != workers.Ended {
		return Decision{Action: Stop, Reason: JobCancelled}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat}
}

// DecideWithoutHeartbeat decides about an attempt on a machine of which nothing was heard: it may be there
// until the worker's lease must have ended.
func DecideWithoutHeartbeat(leaseUntil, now time.Time) Decision {
	if now.Before(leaseUntil) {
		return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
	}
	return Decision{Action: Reschedule, Reason: LeaseExpired}
}

// DecideOnRecords decides about an attempt that a new leader has found in the records, by these
// alone: its task may be recorded as done, or a later session of its worker.
func DecideOnRecords(attempt Attempt, taskDone bool, newestSession uint64, leaseUntil time.Time) Decision {
	switch {
	case taskDone:
		return Decision{Action: Complete, Reason: Reason(workers.CauseDone)}
	case attempt.Session < newestSession:
		return Decision{Action: Reschedule, Reason: SessionEnded}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
}
