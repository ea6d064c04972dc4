// Package gang decides what becomes of an attempt of a gang: a job whose tasks run at the same
// time or not at all (gang scheduling). It does no I/O and reads no clock. The leader says what
// is known of the attempt's tasks, and carries the decision out.
package gang

// Attempt is what is known of one attempt to run a gang.
type Attempt struct {
	Size     int  // number of the gang's tasks
	Placed   int  // tasks that are, or may be, on their machines
	Durable  int  // tasks whose start is in the records
	Stopping bool // all tasks have been told to stop, or are to be
}

// Decision is what to do about an attempt.
type Decision int

// The decisions.
const (
	AwaitRecords Decision = iota // no task may start until the start of all is durable
	Run                          // every task may start, or go on
	Abort                        // tasks are missing: those that are left have to stop
	AwaitStop                    // those that are left are stopping
	Retry                        // no task is left: the next attempt may begin
)

// Decide decides about an attempt. One that has lost a task is over: tasks that ran have
// fallen back to their last checkpoint, and others hold room in vain. The next attempt begins
// only when the last task is certainly off its machine, so that no task runs twice.
func Decide(attempt Attempt) Decision {
	switch {
	case attempt.Placed == 0:
		return Retry
	case attempt.Stopping:
		return AwaitStop
	case attempt.Placed < attempt.Size:
		return Abort
	case attempt.Durable < attempt.Size:
		return AwaitRecords
	}
	return Run
}

// ShouldCheckpoint tells whether a gang that loses a machine in leftS seconds should be stopped
// now so that its progress is saved. A checkpoint takes saveS seconds, and all tasks have to be
// told to stop within peerS seconds of the first, half of which is allowed for. A gang without
// a checkpoint interval saves nothing.
func ShouldCheckpoint(checkpointS, saveS, peerS, leftS float64) bool {
	return checkpointS > 0 && saveS+peerS/2 < leftS
}
