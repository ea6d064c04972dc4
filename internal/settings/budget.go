package settings

import (
	"fmt"
	"io"
)

// Shares of a controller's memory limit.
const (
	// gcShare is the share in use above which garbage is collected more aggressively. It
	// leaves room for memory that the Go runtime does not count: the program itself and the
	// kernel's buffers.
	gcShare = 0.7
	// refuseShare is the share in use above which new jobs are refused. The rest is reserved
	// for finishing the jobs that are already accepted.
	refuseShare = 0.85
)

// Memory use of an idle controller, and of each open and idle connection.
const (
	idleProcessBytes = 16 << 20
	idleConnBytes    = 20 << 10 // 8 KB of stack and 12 KB of heap
)

// Socket counts for uses where a share of the limit would be too small or more than needed.
const (
	minServedConns      = 64
	minIdleConns        = 8
	minCommandsInFlight = 4
	minStoreConns       = 4
	maxStoreConns       = 16
	idleCloudConns      = 4
	listenerSockets     = 2
	connsPerPeer        = 2 // one connection in each direction
)

// servedConns returns the maximum number of connections from users and workers: a share of
// the sockets, but no more than fit into memory while they are idle. A sixteenth of the
// sockets stays unassigned, for the state service, the cloud, the other controllers and
// connections that are being closed.
func (l HostLimits) servedConns() int {
	inMemory := (gcShare*l.MemoryMB*(1<<20) - idleProcessBytes) / idleConnBytes
	return min(l.MaxSockets*13/16, int(inMemory))
}

// Allocation is the amount of a resource that is assigned to one purpose.
type Allocation struct {
	Purpose string // as printed by `ospreyslip check`
	Amount  int64  // sockets or bytes
}

// Budget divides a controller's limits among their uses. The allocations of a resource add up
// to its limit.
type Budget struct {
	Sockets []Allocation
	Memory  []Allocation // in bytes
}

// Budget returns how the limits of the controller's host are divided among their uses.
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
		{"listeners", listenerSockets},
	}
	memory := []Allocation{
		{"program", idleProcessBytes},
		{"connections of users and workers, idle", int64(derived.Host.ServedConns) * idleConnBytes},
	}
	memoryLimit := int64(limits.MemoryMB * (1 << 20))
	memory = append(memory,
		Allocation{"jobs, tasks and machines, garbage among it", derived.Host.GCBytes - totalOf(memory)},
		Allocation{"the same, while garbage is collected harder", derived.Host.RefuseBytes - derived.Host.GCBytes},
		Allocation{"what is accepted, while new jobs are refused", memoryLimit - derived.Host.RefuseBytes},
	)
	return Budget{
		Sockets: append(sockets, Allocation{"left over", int64(limits.MaxSockets) - totalOf(sockets)}),
		Memory:  memory,
	}
}

// totalOf returns the sum of the amounts.
func totalOf(allocations []Allocation) (total int64) {
	for _, allocation := range allocations {
		total += allocation.Amount
	}
	return total
}

// Print writes the allocations to w, one per line, with memory in MB.
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

// fitsLimits reports whether a controller can run within limits. They must cover the
// allocations of fixed size and at least minServedConns connections from users and workers.
func (s *Settings) fitsLimits(limits HostLimits) bool {
	candidate := *s
	candidate.Deployment.Limits = limits
	budget := candidate.Budget()
	remaining := budget.Sockets[len(budget.Sockets)-1].Amount
	return remaining >= 0 && limits.servedConns() >= minServedConns
}

// checkLimits reports each limit that is too low, with the smallest sufficient value.
func (s *Settings) checkLimits(addf func(format string, args ...any)) {
	const unlimited = 1 << 20
	limits := s.Deployment.Limits
	if least := smallestSatisfying(func(n int) bool { return s.fitsLimits(HostLimits{MemoryMB: unlimited, MaxSockets: n}) }); limits.MaxSockets < least {
		addf("deployment.machine_limits.max_sockets must be at least %d, is %d", least, limits.MaxSockets)
	}
	if least := smallestSatisfying(func(n int) bool { return s.fitsLimits(HostLimits{MemoryMB: float64(n), MaxSockets: unlimited}) }); limits.MemoryMB < float64(least) {
		addf("deployment.machine_limits.memory_mb must be at least %d, is %v", least, limits.MemoryMB)
	}
}

// smallestSatisfying returns the smallest positive n for which condition(n) is true. It does not
// return if there is none.
func smallestSatisfying(condition func(n int) bool) int {
	n := 1
	for !condition(n) {
		n++
	}
	return n
}
