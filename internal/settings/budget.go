package settings

import (
	"fmt"
	"io"
)

// Shares of a controller's memory.
const (
	// collectShare is how much is held before garbage is collected harder. What the
	// runtime does not count (the program itself, the kernel's buffers) comes on top.
	collectShare = 0.7
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
	leastServed = 64
	leastIdle   = 8
	leastOrders = 4
	leastState  = 4
	mostState   = 16
	cloudConns  = 4
	listeners   = 2
	eachPeer    = 2 // a connection in each direction
)

// servedConns is how many connections of users and workers there may be: a share of the
// sockets, and no more than fit into the memory while they are idle. A sixteenth of the
// sockets is left over: for the state service, the cloud, the other controllers and
// whatever is being closed.
func (l Limits) servedConns() int {
	inMemory := (collectShare*l.MemoryMB*(1<<20) - programBytes) / connBytes
	return min(l.MaxSockets*13/16, int(inMemory))
}

// Allocation is a part of a budget.
type Allocation struct {
	Purpose string
	Amount  int64
}

// Budget is what a controller's limits are used for. The parts of each add up to it.
type Budget struct {
	Sockets []Allocation
	Memory  []Allocation // in bytes
}

// Budget parts the limits of a controller's host.
func (s *Settings) Budget() Budget {
	d := s.Derive()
	limits := s.Deployment.Limits
	sockets := []Allocation{
		{"users and workers", int64(d.Host.ServedConns)},
		{"idle, to workers", int64(d.Host.WorkerConns)},
		{"orders on their way", int64(d.Host.CommandsInFlight)},
		{"calls on their way", int64(d.Host.CommandsInFlight)},
		{"state service", int64(d.Host.StoreConns)},
		{"cloud", int64(d.Host.CloudConns)},
		{"other controllers", int64(eachPeer * len(s.Peers))},
		{"listeners", listeners},
	}
	memory := []Allocation{
		{"program", programBytes},
		{"connections of users and workers, idle", int64(d.Host.ServedConns) * connBytes},
	}
	whole := int64(limits.MemoryMB * (1 << 20))
	memory = append(memory,
		Allocation{"jobs, tasks and machines, garbage among it", d.Host.GCBytes - totalOf(memory)},
		Allocation{"the same, while garbage is collected harder", d.Host.RefuseBytes - d.Host.GCBytes},
		Allocation{"what is accepted, while new jobs are refused", whole - d.Host.RefuseBytes},
	)
	return Budget{
		Sockets: append(sockets, Allocation{"left over", int64(limits.MaxSockets) - totalOf(sockets)}),
		Memory:  memory,
	}
}

func totalOf(uses []Allocation) (all int64) {
	for _, u := range uses {
		all += u.Amount
	}
	return all
}

// Print writes the parts, one a line.
func (b Budget) Print(w io.Writer) error {
	for _, u := range b.Sockets {
		if _, err := fmt.Fprintf(w, "%6d sockets  %s\n", u.Amount, u.Purpose); err != nil {
			return err
		}
	}
	for _, u := range b.Memory {
		if _, err := fmt.Fprintf(w, "%6.1f MB       %s\n", float64(u.Amount)/(1<<20), u.Purpose); err != nil {
			return err
		}
	}
	return nil
}

// fitsLimits tells whether a controller can work within limits: with the parts that do not
// shrink, and some connections of users and workers.
func (s *Settings) fitsLimits(limits Limits) bool {
	with := *s
	with.Deployment.Limits = limits
	b := with.Budget()
	left := b.Sockets[len(b.Sockets)-1].Amount
	return left >= 0 && limits.servedConns() >= leastServed
}

// checkLimits names a limit that is too low, and the least value that will do.
func (s *Settings) checkLimits(bad func(format string, args ...any)) {
	const plenty = 1 << 20
	limits := s.Deployment.Limits
	if least := lowestThatHolds(func(n int) bool { return s.fitsLimits(Limits{MemoryMB: plenty, MaxSockets: n}) }); limits.MaxSockets < least {
		bad("deployment.machine_limits.max_sockets must be at least %d, is %d", least, limits.MaxSockets)
	}
	if least := lowestThatHolds(func(n int) bool { return s.fitsLimits(Limits{MemoryMB: float64(n), MaxSockets: plenty}) }); limits.MemoryMB < float64(least) {
		bad("deployment.machine_limits.memory_mb must be at least %d, is %v", least, limits.MemoryMB)
	}
}

// lowestThatHolds returns the least number from which on something holds.
func lowestThatHolds(holds func(n int) bool) int {
	n := 1
	for !holds(n) {
		n++
	}
	return n
}
