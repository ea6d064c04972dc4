package placement

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Job is an unfinished job. Either it has tasks to place, or its running tasks may be preempted;
// in the latter case only Spec and Guaranteed are used.
type Job struct {
	Spec                *jobs.Spec
	AcceptanceOrder     uint64         // increases with the time of acceptance
	DeadlineS           float64        // seconds left until the next deadline it can meet, or NoDeadline or DeadlineMissed
	RemainingCPUSeconds float64        // CPU seconds that its unfinished tasks will take
	Pending             int            // number of tasks to place
	StarvedTasks        int            // pending tasks that go first: the job has been given no machine for too long
	TasksByZone         map[string]int // number of tasks that are, or may be, in each zone
	Guaranteed          bool           // within its team's guarantee
	StartWithinS        float64        // seconds left to meet its start objective; 0 if it has none

	// ReclaimDeferred keeps a job within its team's guarantee from preempting tasks of teams that
	// have borrowed the capacity: enough may still become free in time without preemption.
	ReclaimDeferred bool
	// NoTimeToRestart is set for a job that misses its deadline if it loses a machine. It is kept
	// off spot machines as long as others have room.
	NoTimeToRestart bool
	// PreemptionDeferred is set while machines that are about to report after a failover may have
	// room for the job. Nothing is preempted for it in the meantime.
	PreemptionDeferred bool
	// Preempting is set for a gang for which tasks are being stopped. It precedes all jobs but
	// production: jobs ahead of it would take the released capacity task by task, and would then
	// be preempted for the gang again.
	Preempting bool
	// ReserveRoom is set for a gang that has not waited for long. It precedes its equals, and
	// capacity that becomes free in the zone where most of it fits is reserved until the whole
	// gang fits.
	ReserveRoom bool

	// Reserved lists the machines that the plan has reserved for a gang without placing anything on
	// them. Plan sets it.
	Reserved []*Machine

	// roomReserved is set once the plan has reserved machines for a gang, either for as long as
	// victims take to stop or for a limited time. The second queue entry of the gang must not
	// reserve machines again.
	roomReserved bool
}

// Input is the input of Plan, which modifies its maps and jobs but restores the index.
type Input struct {
	Teams      []settings.Team
	UsedByTeam map[string]Resources // requests of all tasks that are, or may be, on a machine
	Index      *CapacityIndex
	Jobs       []*Job
	// LowestRank is the lowest rank of any task that is on a machine. Only a job of a higher rank
	// can have victims of lower rank.
	LowestRank int
	// LoadTasks sets Tasks and Releasing of a machine. It is called at most once per machine and
	// plan, and only for machines that are considered for preemption or for a gang's reservation.
	// If it is nil, the two fields stay as they are.
	LoadTasks func(*Machine)
}
