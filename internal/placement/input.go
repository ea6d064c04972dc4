package placement

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Job is an unfinished job: one with tasks to place, or one whose running tasks may be
// preempted, of which only Spec and Guaranteed are used.
type Job struct {
	Spec            *jobs.Spec
	AcceptanceOrder uint64         // rises with the time of acceptance
	DeadlineS       float64        // seconds left to the next objective it can meet, or NoDeadline, or DeadlineMissed
	RemainingCPUS   float64        // CPU seconds that its unfinished tasks will take
	Pending         int            // tasks to place
	StarvedTasks    int            // of these, how many go first because the job has got no machine for too long
	TasksByZone     map[string]int // tasks that are, or may be, in a zone
	Guaranteed      bool           // within its team's guarantee
	StartWithinS    float64        // seconds left to its objective for a start; 0 without one

	// ReclaimDeferred holds back a job within its team's guarantee from preempting those that
	// borrowed it: enough may still come free in time by itself.
	ReclaimDeferred bool
	// NoTimeToRestart is set for a job that misses its deadline if it loses a machine: it is
	// kept off spot machines where others have room.
	NoTimeToRestart bool
	// PreemptionDeferred is set while machines that are about to report, after a failover, may
	// have room for the job: nothing is preempted for it until they have.
	PreemptionDeferred bool
	// Preempting is set for a gang for which tasks are being stopped. It goes ahead of all but
	// production: jobs ahead of it would take the room task by task as it comes free, and be
	// preempted for the gang again.
	Preempting bool
	// ReserveRoom is set for a gang that has not waited for long. It goes ahead of its equals,
	// and what comes free in the zone where most of it fits is reserved until there is enough.
	ReserveRoom bool

	// roomReserved is set by the plan once machines are reserved for a gang, be it for victims
	// on their way out or for a while: its second entry in the queue must not do it again.
	roomReserved bool
}

// Input is what a plan is made from. Plan uses up all of it but the index: the maps and the
// jobs are changed.
type Input struct {
	Teams      []settings.Team
	UsedByTeam map[string]Resources // of all tasks that are, or may be, on a machine
	Index      *CapacityIndex
	Jobs       []*Job
	// LowestRank is the lowest rank of any task that is on a machine. A job of no higher rank
	// need not look for victims.
	LowestRank int
	// LoadTasks sets Tasks and Releasing of a machine. It is called only where a preemption is
	// looked for, once a machine and plan; nil leaves the two as they are.
	LoadTasks func(*Machine)
}
