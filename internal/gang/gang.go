// Package gang decides what becomes of an attempt of a gang: tasks that run at the
// same time or not at all. It does no I/O and knows no clock; control gives it what
// is known of the attempt's tasks, and carries out what it says.
package gang

// Attempt is what is known of one attempt.
type Attempt struct {
	Size     int  // tasks of the gang
	Placed   int  // that are, or may be, on their machines
	Durable  int  // whose beginnings are durable
	Stopping bool // all have been told to stop, or are to be
}

// Decision is what to do with an attempt.
type Decision int

// The verdicts.
const (
	AwaitRecords Decision = iota // no task may start yet
	Run                          // every task may start, or go on
	Abort                        // it is not whole: the tasks that are left have to stop
	AwaitStop                    // for those that are left to be off their machines
	Retry                        // nothing is left of it: the next attempt may begin
)

// Decide judges an attempt. One that has lost a task is over: what ran has fallen
// back to its last checkpoint, and what had not begun to run holds room in vain. The
// next begins when the last task is surely off its machine.
func Decide(f Attempt) Decision {
	switch {
	case f.Placed == 0:
		return Retry
	case f.Stopping:
		return AwaitStop
	case f.Placed < f.Size:
		return Abort
	case f.Durable < f.Size:
		return AwaitRecords
	}
	return Run
}

// ShouldCheckpoint tells whether a gang that has so many seconds left should be stopped so that
// its progress is saved: all its tasks have to be told in time and to save.
func ShouldCheckpoint(checkpointS, saveS, peerS, leftS float64) bool {
	return checkpointS > 0 && saveS+peerS/2 < leftS
}
