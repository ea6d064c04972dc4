// Package recovery joins what the key-value store, controllers, workers and snapshots know of jobs
// whose records are lost, and decides what may be written back. It does no I/O, reads no clock and
// keeps no state. Concurrent reads of its values are safe.
//
// Knowledge of a job is an element of a lattice. It only grows, and a job that any source knows to
// have finished stays finished. Knowledge.Join returns the least upper bound. It is commutative,
// associative and idempotent, so the result does not depend on the order in which sources
// respond, or on how often they do. Decide depends only on the joined knowledge and on whether all
// controllers have responded.
package recovery
