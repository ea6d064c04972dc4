// Package reconcile compares the stored assignments of a machine's tasks (the desired state) with
// what its worker reports (the observed state). For each attempt it decides whether the task
// continues untouched, is started, stopped or acknowledged, or has to wait until its state is
// certain. It also tracks a failover until every machine in the records is accounted for.
//
// The package does no I/O and reads no clock. Its decisions are functions of their arguments.
// docs/restart.md describes the alternatives that were considered.
package reconcile
