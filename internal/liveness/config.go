package liveness

import (
	"time"
)

// Config holds the periods, all derived from the settings.
type Config struct {
	SuspectAfter       time.Duration // unheard for so long, a machine looks dead
	LeaseExpiry        time.Duration // by then a worker has ended its tasks by itself
	HoldTimeout        time.Duration // how long one floor holds all verdicts
	VerdictInterval    time.Duration // between two verdicts in a zone of up to ZoneSize machines; larger ones have more in it
	MachinesPerVerdict int
	// A machine whose report is overdue, or of whose zone nobody is heard, is
	// called before it has been silent for as long as SilentFor.
	HeartbeatOverdue, GroupSuspectAfter time.Duration
	// Importance tells how much depends on a machine: the more, the earlier its turn to
	// be called and judged. Nil takes all for equal.
	Importance func(id string) int
}
