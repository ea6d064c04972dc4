// Package reconcile decides, task by task, what a worker's picture means for what is stored
// of its machine: what goes on untouched, what is begun, stopped or cleared, and what has to
// wait. It does no I/O and reads no clock. See docs/restart.md for the ways that were weighed.
package reconcile
