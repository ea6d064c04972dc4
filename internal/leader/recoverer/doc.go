// Package recoverer recovers lost records for the leader, after evidence that the key-value
// store has lost records or was rolled back to an earlier state.
//
// A recovery has two phases. While comparing, the leader asks its own controller's cache and all
// other controllers for jobs of which they know more than the records say. While restoring, it
// writes the records of these jobs back. A job is held if it is not certain that it should run:
// its record is marked as held, and it waits for proof or for an operator. Meanwhile the leader adopts
// tasks that workers report and the assignment log lacks. It neither stops nor clears orphaned
// tasks, whose jobs are unknown. See docs/recovery.md for the rules and their reasons.
//
// A Recoverer may be used only on the leader's event loop, except for the methods that say
// otherwise. It starts goroutines only for requests to the key-value store and to peers, and
// posts their results to the loop. It reaches the other parts of the leader through the Leader
// interface.
package recoverer
