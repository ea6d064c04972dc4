package reconcile

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
