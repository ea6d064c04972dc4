// Package gang decides what becomes of an attempt of a gang: tasks that run at the
// same time or not at all. It does no I/O and knows no clock; control gives it what
// is known of the attempt's tasks, and carries out what it says.
package gang

// Facts is what is known of one attempt.
type Facts struct {
	Size     int  // tasks of the gang
	Here     int  // that are, or may be, on their machines
	Written  int  // whose beginnings are durable
	Stopping bool // all have been told to stop, or are to be
}

// Verdict is what to do with an attempt.
type Verdict int

// The verdicts.
const (
	Hold Verdict = iota // no task may start yet
	Go                  // every task may start, or go on
	End                 // it is not whole: the tasks that are left have to stop
	Wait                // for those that are left to be off their machines
	Anew                // nothing is left of it: the next attempt may begin
)

// Decide judges an attempt. One that has lost a task is over: what ran has fallen
// back to its last checkpoint, and what had not begun to run holds room in vain. The
// next begins when the last task is surely off its machine.
func Decide(f Facts) Verdict {
	switch {
	case f.Here == 0:
		return Anew
	case f.Stopping:
		return Wait
	case f.Here < f.Size:
		return End
	case f.Written < f.Size:
		return Hold
	}
	return Go
}

// Saves tells whether a gang that has so many seconds left should be stopped so that
// its progress is saved: all its tasks have to be told in time and to save.
func Saves(checkpointS, saveS, peerS, leftS float64) bool {
	return checkpointS > 0 && saveS+peerS/2 < leftS
}
