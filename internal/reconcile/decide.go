package reconcile

import (
	"time"

	"ospreyslip/internal/workers"
)

// DecideOnHeartbeat decides what an observation proves about an attempt. The absence of a task
// proves only what no command in flight can change any more.
func DecideOnHeartbeat(attempt Attempt, observed Observation) Decision {
	switch {
	case observed.AgentEpoch > attempt.AgentEpoch:
		return Decision{Action: Reschedule, Reason: AgentEpochEnded}
	case observed.AgentEpoch < attempt.AgentEpoch:
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

// decideOnAbsence decides about an attempt that the worker does not list. A worker refuses a
// command whose fencing token is lower than the highest that it has seen, so a delayed command can
// start nothing once the worker has seen a higher token.
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

// DecideCommand decides which command about an attempt to send to the worker, if any. It never
// starts an attempt that may be running, nor one for which a start command may be in flight.
func DecideCommand(attempt Attempt) Decision {
	listed := attempt.ObservedState != ""
	switch {
	case !attempt.Durable:
		return Decision{Action: Wait, Reason: StartNotDurable}
	case attempt.JobFinished && listed:
		return Decision{Action: Stop, Reason: attempt.finishReason()}
	case attempt.Preempted && listed && attempt.ObservedState == workers.StateSaving:
		return Decision{Action: Wait, Reason: Checkpointing}
	case attempt.Preempted && listed:
		return Decision{Action: Stop, Reason: Preempted, GraceS: attempt.GraceS}
	case listed:
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

// DecideOnStaleHeartbeat decides about a task listed in a heartbeat from before this leader's
// term. The heartbeat proves nothing, but the response to it renews the worker's lease, and a task
// of a cancelled job must not keep running on that lease.
func DecideOnStaleHeartbeat(task *workers.TaskStatus, cancelled bool) Decision {
	if cancelled && task.State != workers.StateEnded {
		return Decision{Action: Stop, Reason: JobCancelled}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat}
}

// DecideWithoutHeartbeat decides about an attempt on a machine that has sent no heartbeat. The
// task may be running until the worker's lease must have expired.
func DecideWithoutHeartbeat(leaseUntil, now time.Time) Decision {
	if now.Before(leaseUntil) {
		return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
	}
	return Decision{Action: Reschedule, Reason: LeaseExpired}
}

// DecideOnRecords decides about an attempt that a new leader found in the records, before any
// heartbeat. The records may show that the task is done, or that its worker has started a later
// agent epoch. Otherwise the attempt waits for a heartbeat, or until the worker's lease must have
// expired.
func DecideOnRecords(attempt Attempt, taskDone bool, newestAgentEpoch uint64, leaseUntil time.Time) Decision {
	switch {
	case taskDone:
		return Decision{Action: Complete, Reason: Reason(workers.CauseDone)}
	case attempt.AgentEpoch < newestAgentEpoch:
		return Decision{Action: Reschedule, Reason: AgentEpochEnded}
	}
	return Decision{Action: Wait, Reason: NoHeartbeat, Until: leaseUntil}
}
