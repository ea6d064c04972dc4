// Package gang decides what to do with an attempt to run a gang, which is a job whose tasks run
// either all at the same time or not at all (gang scheduling). It does no I/O and reads no clock.
// The leader reports what is known of the attempt's tasks and carries out the decision.
package gang

// Attempt is the known state of one attempt to run a gang.
type Attempt struct {
	Size     int  // number of tasks in the gang
	Placed   int  // number of tasks that are, or may be, on their machines
	Durable  int  // number of tasks whose start is in the records
	Stopping bool // all tasks have been told to stop, or are to be told
}

// Decision is the action to take on an attempt.
type Decision int

// Decisions about an attempt.
const (
	AwaitRecords Decision = iota // no task may start until the start of every task is durable
	Run                          // every task may start or continue
	Abort                        // tasks are missing, so the remaining ones must stop
	AwaitStop                    // the remaining tasks are stopping
	Retry                        // no task is left, so the next attempt may start
)

// Decide returns the decision about an attempt. An attempt that has lost a task has failed: the
// tasks that ran have fallen back to their last checkpoint, and the others occupy capacity without
// doing useful work. The next attempt starts only when the last task is certainly off its machine,
// so that no task runs twice.
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

// ShouldCheckpoint reports whether a gang that loses a machine in remainingS seconds should be
// stopped now to save its progress. A checkpoint takes saveS seconds. All tasks must be told to
// stop within stopWindowS seconds of the first, and half of that time is allowed for it. A gang
// without a checkpoint interval saves nothing.
func ShouldCheckpoint(checkpointIntervalS, saveS, stopWindowS, remainingS float64) bool {
	return checkpointIntervalS > 0 && saveS+stopWindowS/2 < remainingS
}
