package reconcile

// OrphanedTask is a task that a worker lists and that no attempt accounts for.
type OrphanedTask struct {
	Ended             bool
	JobCancelled      bool
	RecordsIncomplete bool   // records may have been lost: it may have a job, or an attempt, all the same
	CommandToken      uint64 // fencing token of the command that started it; 0 if a heartbeat's answer did, or an earlier leader
	WorkerToken       uint64 // the highest fencing token that the worker has seen
	InHeartbeatAnswer bool   // the decision goes into a heartbeat's answer, which no command to start it can follow
}

// DecideCommand decides which command about an orphaned task its worker is to be sent, if any.
// One that has ended is acknowledged only when no copy of the command that started it can
// arrive any more: the worker, which would have forgotten it, would start it again.
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
