package reconcile

import (
	"time"

	"ospreyslip/internal/workers"
)

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
