// Package recovery joins what the state service, controllers, workers and snapshots know of
// jobs whose records are lost, and decides what may be written back. It does no I/O, reads no
// clock and has no state; its values may be used by several goroutines that don't change them.
//
// Knowledge of a job is an element of a lattice: it only grows, and a job that is over by any
// source stays over. Knowledge.Join is the least upper bound, so it is commutative,
// associative and idempotent: it matters neither in which order sources are heard nor how
// often. Decide is a function of the joined knowledge alone.
package recovery
