package reconcile

import (
	"time"

	"ospreyslip/internal/workers"
)

// DecideOnHeartbeat decides what an observation proves of an attempt. From a task's absence only
// that is concluded which no command in flight can change any more.
func DecideOnHeartbeat(attempt Attempt, observed Observation) Decision {
	switch {
	case observed.Session > attempt.Session:
		return Decision{Action: Reschedule, Reason: SessionEnded}
	case observed.Session < attempt.Session:
		return Decision{Action: Wait, Reason: NoHeartbeat}
	case observed.Task == nil:
		return decideOnAbsence(attempt, observed.Token)
	case observed.Task.State != workers.StateEnded:
		return Decision{Action: Adopt, Reason: Reported}
	case observed.Task.Cause == workers.CauseDone && attempt.RunsToCompletion:
		return Decision{Action: Complete, Reason: Reason(observed.Task.Cause)}
	}
	return Decision{Action: Reschedule, Reason: Reason(observed.Task.Cause)}
}

// decideOnAbsence decides about an attempt that the worker does not list. The worker refuses a
// command with a lower fencing token than the highest it has seen, so that a late command can
// start nothing once the worker has seen a higher one.
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

// DecideCommand decides which command about an attempt a worker is to be sent, if any. It never
// decides to start an attempt that may be running, or while a command to start it may be in
// flight.
func DecideCommand(attempt Attempt) Decision {
	present := attempt.ObservedState != ""
	switch {
	case !attempt.Durable:
		return Decision{Action: Wait, Reason: StartNotDurable}
	case attempt.JobFinished && present:
		return Decision{Action: Stop, Reason: attempt.finishReason()}
	case attempt.Preempted && present && attempt.ObservedState == workers.StateSaving:
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

// DecideOnStaleHeartbeat decides about a task in a heartbeat from before this leader's term. It
// proves nothing, but the answer to it renews the worker's lease: a task of a cancelled job must
// not go on by it.
func DecideOnStaleHeartbeat(task *workers.TaskStatus, cancelled bool) Decision {
	if cancelled && task.State != workers.StateEnded {
		return Decision{Action: Stop, Reason: JobCancelled}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat}
}

// DecideWithoutHeartbeat decides about an attempt on a machine that has sent no heartbeat: the
// task may be running until the worker's lease must have expired.
func DecideWithoutHeartbeat(leaseUntil, now time.Time) Decision {
	if now.Before(leaseUntil) {
		return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
	}
	return Decision{Action: Reschedule, Reason: LeaseExpired}
}

// DecideOnRecords decides about an attempt that a new leader has found, by the records alone:
// they may have its task as done, or a later session of its worker than the attempt's. Else it
// waits for a heartbeat, or until the worker's lease must have expired.
func DecideOnRecords(attempt Attempt, taskDone bool, newestSession uint64, leaseUntil time.Time) Decision {
	switch {
	case taskDone:
		return Decision{Action: Complete, Reason: Reason(workers.CauseDone)}
	case attempt.Session < newestSession:
		return Decision{Action: Reschedule, Reason: SessionEnded}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
}
