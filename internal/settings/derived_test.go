package settings

import (
	"testing"
	"time"
)

// The derived durations must be consistent with each other for any timing of the workers.
func TestDerivedBounds(t *testing.T) {
	for _, workers := range []Workers{
		{HeartbeatS: 1.5, LeaseS: 10, CancelS: 30},
		{HeartbeatS: 3, LeaseS: 45, CancelS: 70},
		{HeartbeatS: 0.5, LeaseS: 4, CancelS: 9},
		{HeartbeatS: 10, LeaseS: 40, CancelS: 41},
	} {
		settings := Settings{Operator: DefaultOperator(), Deployment: Deployment{Workers: workers, Store: StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12}, Cloud: Cloud{RPS: 5, ListLagS: 5}, Limits: HostLimits{MemoryMB: 100, MaxSockets: 100}}}
		derived := settings.Derive()
		if derived.Election.LeaseValidity >= derived.Election.LeaseDuration {
			t.Errorf("%+v: the leader may rely on its lease after the lease expired", workers)
		}
		if derived.Workers.LeaseExpiry <= derived.Workers.Lease {
			t.Errorf("%+v: a task may be reassigned before its worker stops it", workers)
		}
		// A cancelled task must stop in time even if the cache misses the cancellation for
		// as long as it may be stale and the worker then keeps the task for its lease.
		if derived.Store.MaxStaleness+derived.Workers.LeaseExpiry > derived.Workers.CancelDeadline {
			t.Errorf("%+v: a cancelled task may run for longer than %v", workers, derived.Workers.CancelDeadline)
		}
		if derived.Store.WatchTimeout >= derived.Store.MaxStaleness {
			t.Errorf("%+v: the cache becomes stale during a watch without changes", workers)
		}
		if derived.Election.RenewInterval <= 0 || derived.Election.RenewInterval > derived.Election.LeaseValidity/3 {
			t.Errorf("%+v: too few renewals during one lease", workers)
		}
		if derived.API.RequestTimeout > 2*time.Second {
			t.Errorf("%+v: the request timeout exceeds the 2 s that users wait for a poll", workers)
		}
	}
}

// Derived limits respect both the current and the upcoming limits of the state service, except for
// the layout of stored records, which must not change.
func TestUpcomingLimits(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 20
	settings := Settings{Operator: DefaultOperator(), Deployment: Deployment{
		Workers: Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   Cloud{RPS: 5, ListLagS: 5}, Limits: HostLimits{MemoryMB: 100, MaxSockets: 100},
	}}
	current := settings.Derive()
	settings.Deployment.Store.Next = &UpcomingStoreLimits{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	derived := settings.Derive()
	if effective := settings.Deployment.Store.Effective(); effective.RPS != 100 || effective.WriteRPS != 35 || effective.ValueKB != 2 || effective.TxnOps != 12 {
		t.Errorf("effective limits: %+v", effective)
	}
	if derived.Store.ValueBytes != 2048 || derived.Store.TxnOps != 12 || derived.Leader.FlushInterval <= current.Leader.FlushInterval {
		t.Errorf("%d bytes per value, %d writes per transaction, one transaction per %v", derived.Store.ValueBytes, derived.Store.TxnOps, derived.Leader.FlushInterval)
	}
	if derived.Store.ChunkTasks != current.Store.ChunkTasks || derived.Election.LeaseDuration != current.Election.LeaseDuration {
		t.Error("the stored layout or the leadership lease changes with the upcoming limits")
	}
}
