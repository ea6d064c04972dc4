// Package placement decides which task goes to which machine and which task is preempted for
// it. A plan is a function of its input: the package does no I/O and reads no clock, so that
// durations come in as seconds from the moment of the plan.
//
// The parts of a plan, in the order in which they are applied to each entry of the queue:
//
//   - queue.go orders the jobs;
//   - bin_packing.go finds the machine on which a task fits best, and constraints.go says where
//     it may be: quota of its team, zones, machine types, machines to avoid;
//   - preemption.go stops tasks of less importance where nothing fits;
//   - reservation.go keeps machines free for work that would otherwise wait for ever;
//   - gang_placement.go does all of that for a gang, whose tasks are placed together or not at
//     all: it tries, and rolls back.
//
// The caller owns the [CapacityIndex], which outlives plans. Nothing in the package may be
// used by two goroutines at a time.
package placement
