package placement

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Job is an unfinished job with tasks to place.
type Job struct {
	Spec               *jobs.Spec
	AcceptanceOrder    uint64         // order of acceptance
	DeadlineS          float64        // seconds left to its deadline; without one, a large number
	RemainingCPUS      float64        // what its unfinished tasks will take, in CPU seconds
	Pending            int            // tasks to place
	StarvedTasks       int            // of these, how many go first because it got nothing for too long
	TasksByZone        map[string]int // tasks that are, or may be, in a zone
	Guaranteed         bool           // within its team's guarantee
	StartWithinS       float64        // seconds left to its aim to start; 0 without one
	ReclaimDeferred    bool           // others need not yet stop for its guarantee
	NoTimeToRestart    bool           // a task that loses its machine will be late
	PreemptionDeferred bool           // machines about to report may have room: nothing is stopped for it

	// Preempting is set for a gang for which room is being made: it goes ahead of all but
	// production. (Else what goes before it takes that room, task by task, and is
	// stopped for it again and again.)
	Preempting bool
	// ReserveRoom is set for a gang that has not waited for long: it goes ahead of its equals,
	// and what falls free where most of it fits is kept until there is enough.
	ReserveRoom bool

	roomReserved bool // room is being made for it, or kept
}

// Input is the whole picture. Plan uses up all but the index.
type Input struct {
	Teams      []settings.Team
	UsedByTeam map[string]Resources // by team: all tasks that are, or may be, on a machine
	Index      *CapacityIndex
	Jobs       []*Job
	LowestRank int // the lowest rank of any task that is on a machine
	// LoadTasks sets a machine's tasks and what is being freed on it. It is asked for
	// only where room has to be made; nil leaves them as they are.
	LoadTasks func(*Machine)
}
