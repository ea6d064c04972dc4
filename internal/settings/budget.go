package settings

import (
	"fmt"
	"io"
)

// Shares of a controller's memory.
const (
	// gcShare is how much is held before garbage is collected harder. What the
	// runtime does not count (the program itself, the kernel's buffers) comes on top.
	gcShare = 0.7
	// refuseShare is how much is held before new jobs are refused: what is accepted
	// already has to be finished with the rest.
	refuseShare = 0.85
)

// What a process holds, as measured: with nothing to do, and for each connection that is
// open and idle (8 KB of stack and 12 KB of heap).
const (
	programBytes = 16 << 20
	connBytes    = 20 << 10
)

// Sockets of each use, where a share of the limit would be too few or more than needed.
const (
	minServedConns      = 64
	minIdleConns        = 8
	minCommandsInFlight = 4
	minStoreConns       = 4
	maxStoreConns       = 16
	cloudConnections    = 4
	listeners           = 2
	connsPerPeer        = 2 // a connection in each direction
)

// servedConns is how many connections of users and workers there may be: a share of the
// sockets, and no more than fit into the memory while they are idle. A sixteenth of the
// sockets is left over: for the state service, the cloud, the other controllers and
// whatever is being closed.
func (l Limits) servedConns() int {
	inMemory := (gcShare*l.MemoryMB*(1<<20) - programBytes) / connBytes
	return min(l.MaxSockets*13/16, int(inMemory))
}

// Allocation is a part of a budget.
type Allocation struct {
	Purpose string // as it is printed
	Amount  int64  // sockets or bytes
}

// Budget is what a controller's limits are used for. The parts of each add up to it.
type Budget struct {
	Sockets []Allocation
	Memory  []Allocation // in bytes
}

// Budget divides the limits of a controller's host among all uses.
func (s *Settings) Budget() Budget {
	derived := s.Derive()
	limits := s.Deployment.Limits
	sockets := []Allocation{
		{"users and workers", int64(derived.Host.ServedConns)},
		{"idle, to workers", int64(derived.Host.WorkerConns)},
		{"orders on their way", int64(derived.Host.CommandsInFlight)},
		{"calls on their way", int64(derived.Host.CommandsInFlight)},
		{"state service", int64(derived.Host.StoreConns)},
		{"cloud", int64(derived.Host.CloudConns)},
		{"other controllers", int64(connsPerPeer * len(s.Peers))},
		{"listeners", listeners},
	}
	memory := []Allocation{
		{"program", programBytes},
		{"connections of users and workers, idle", int64(derived.Host.ServedConns) * connBytes},
	}
	whole := int64(limits.MemoryMB * (1 << 20))
	memory = append(memory,
		Allocation{"jobs, tasks and machines, garbage among it", derived.Host.GCBytes - totalOf(memory)},
		Allocation{"the same, while garbage is collected harder", derived.Host.RefuseBytes - derived.Host.GCBytes},
		Allocation{"what is accepted, while new jobs are refused", whole - derived.Host.RefuseBytes},
	)
	return Budget{
		Sockets: append(sockets, Allocation{"left over", int64(limits.MaxSockets) - totalOf(sockets)}),
		Memory:  memory,
	}
}

// totalOf adds up the amounts.
func totalOf(allocations []Allocation) (all int64) {
	for _, allocation := range allocations {
		all += allocation.Amount
	}
	return all
}

// Print writes the parts, one a line, memory in MB.
func (b Budget) Print(w io.Writer) error {
	for _, allocation := range b.Sockets {
		if _, err := fmt.Fprintf(w, "%6d sockets  %s\n", allocation.Amount, allocation.Purpose); err != nil {
			return err
		}
	}
	for _, allocation := range b.Memory {
		if _, err := fmt.Fprintf(w, "%6.1f MB       %s\n", float64(allocation.Amount)/(1<<20), allocation.Purpose); err != nil {
			return err
		}
	}
	return nil
}

// fitsLimits tells whether a controller can work within limits: with the parts that do not
// shrink, and minServedConns connections of users and workers.
func (s *Settings) fitsLimits(limits Limits) bool {
	changed := *s
	changed.Deployment.Limits = limits
	budget := changed.Budget()
	left := budget.Sockets[len(budget.Sockets)-1].Amount
	return left >= 0 && limits.servedConns() >= minServedConns
}

// checkLimits names a limit that is too low, and the least value that will do.
func (s *Settings) checkLimits(addf func(format string, args ...any)) {
	const plenty = 1 << 20
	limits := s.Deployment.Limits
	if least := lowestThatHolds(func(n int) bool { return s.fitsLimits(Limits{MemoryMB: plenty, MaxSockets: n}) }); limits.MaxSockets < least {
		addf("deployment.machine_limits.max_sockets must be at least %d, is %d", least, limits.MaxSockets)
	}
	if least := lowestThatHolds(func(n int) bool { return s.fitsLimits(Limits{MemoryMB: float64(n), MaxSockets: plenty}) }); limits.MemoryMB < float64(least) {
		addf("deployment.machine_limits.memory_mb must be at least %d, is %v", least, limits.MemoryMB)
	}
}

// lowestThatHolds returns the least number, from 1, for which something holds.
func lowestThatHolds(holds func(n int) bool) int {
	n := 1
	for !holds(n) {
		n++
	}
	return n
}
