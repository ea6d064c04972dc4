package reconcile

// OrphanedTask is a task that a worker lists but that belongs to no known attempt.
type OrphanedTask struct {
	Ended             bool
	JobCancelled      bool
	RecordsIncomplete bool // records may have been lost: it may belong to a job or an attempt
	// CommandToken is the fencing token of the command that started it; 0 if it was started by a
	// heartbeat response or by an earlier leader.
	CommandToken uint64
	WorkerToken  uint64 // highest fencing token that the worker has seen
	// InHeartbeatResponse is set if the decision is sent in a heartbeat response, after which no
	// start command for the task can arrive.
	InHeartbeatResponse bool
}

// DecideCommand decides which command about an orphaned task to send to its worker, if any. A task
// that has ended is acknowledged only when no copy of the command that started it can still
// arrive: the worker would have forgotten the task and would start it again.
func (orphan OrphanedTask) DecideCommand() Decision {
	switch {
	case orphan.RecordsIncomplete:
		return Decision{Action: InDoubt, Reason: RecordsIncomplete}
	case !orphan.Ended && orphan.JobCancelled:
		return Decision{Action: Stop, Reason: JobCancelled}
	case !orphan.Ended:
		return Decision{Action: Stop, Reason: Orphaned}
	case orphan.CommandToken != 0 && orphan.CommandToken >= orphan.WorkerToken:
		return Decision{Action: Wait, Reason: TokenNotSuperseded}
	case !orphan.InHeartbeatResponse:
		return Decision{Action: Wait, Reason: EndRecorded}
	}
	return Decision{Action: Acknowledge, Reason: EndRecorded}
}
