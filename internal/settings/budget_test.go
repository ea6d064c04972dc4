package settings

import (
	"testing"
)

// The allocations of a budget add up to the limits, and none is negative.
func TestBudgetAddsUp(t *testing.T) {
	for _, limits := range []HostLimits{
		{MemoryMB: 65, MaxSockets: 1000},
		{MemoryMB: 212, MaxSockets: 5000},
		{MemoryMB: 322, MaxSockets: 3163},
		{MemoryMB: 25, MaxSockets: 5000},
		{MemoryMB: 1000, MaxSockets: 300},
	} {
		settings := Settings{Operator: DefaultOperator(), Peers: make([]Peer, 4), Deployment: Deployment{Workers: Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40}, Store: StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12}, Cloud: Cloud{RPS: 5, ListLagS: 5}, Limits: limits}}
		if !settings.fitsLimits(limits) {
			t.Errorf("limits %+v are rejected", limits)
		}
		budget := settings.Budget()
		if got := totalOf(budget.Sockets); got != int64(limits.MaxSockets) {
			t.Errorf("%+v: %d sockets", limits, got)
		}
		if got := totalOf(budget.Memory); got != int64(limits.MemoryMB*(1<<20)) {
			t.Errorf("%+v: %d bytes", limits, got)
		}
		for _, allocation := range append(budget.Sockets, budget.Memory...) {
			if allocation.Amount < 0 {
				t.Errorf("%+v: %d for %s", limits, allocation.Amount, allocation.Purpose)
			}
		}
	}
}
