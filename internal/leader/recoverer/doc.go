// Package recoverer is the leader's recovery of lost records: what it does after something has
// shown that the key-value store has lost records, or was rolled back to an earlier state.
//
// A recovery has two phases. While comparing, the leader asks this node's cache and all other
// controllers for jobs of which they know more than the records say. While restoring, it writes
// the records of these jobs back. A job of which it is not certain that it should run is held:
// its record says so, and it waits for proof or an operator. Meanwhile tasks that workers show
// and the assignment log lacks are adopted, and orphaned tasks, those of jobs that nobody knows,
// are left alone. docs/recovery.md has the rules and their reasons.
//
// A Recoverer belongs to the leader's event loop, which calls it. It starts goroutines for
// requests to the key-value store and to peers only; their outcomes are handed to the loop.
// What belongs to other parts of the leader it reaches through the interface Leader.
package recoverer
