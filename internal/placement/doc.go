// Package placement decides which task runs on which machine and which tasks are preempted for
// it. A plan is a function of its input: the package does no I/O and reads no clock, so all times
// are in seconds relative to the time of the plan.
//
// The parts of a plan, in the order in which they are applied to each entry of the queue:
//
//   - queue.go orders the jobs;
//   - bin_packing.go finds the machine that fits a task best, and constraints.go restricts where
//     it may run: its team's quota, zones, machine types, machines to avoid;
//   - preemption.go stops less important tasks where nothing fits;
//   - reservation.go keeps machines free for work that would otherwise wait forever;
//   - gang_placement.go does all of this for a gang, whose tasks are placed together or not at
//     all: it places them tentatively and rolls back.
//
// The caller owns the [CapacityIndex], which outlives plans. The package is not safe for
// concurrent use.
package placement
