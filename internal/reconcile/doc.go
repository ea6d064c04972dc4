// Package reconcile compares what is stored of a machine's tasks (the desired state) with what its
// worker reports (the observed state), and decides, attempt by attempt, what follows: which task
// goes on untouched, is started, stopped or acknowledged, and what has to wait until it is
// certain. It also follows a failover until every machine of the records is accounted for.
//
// The package does no I/O and reads no clock. Its decisions are functions of their arguments.
// docs/restart.md describes the designs that were weighed.
package reconcile
