package settings

import (
	"testing"
	"time"
)

// The ratios have to leave room for each other, at any pace.
func TestDerivedBounds(t *testing.T) {
	for _, workers := range []Workers{
		{HeartbeatS: 1.5, LeaseS: 10, CancelS: 30},
		{HeartbeatS: 3, LeaseS: 45, CancelS: 70},
		{HeartbeatS: 0.5, LeaseS: 4, CancelS: 9},
		{HeartbeatS: 10, LeaseS: 40, CancelS: 41},
	} {
		set := Settings{Operator: DefaultOperator(), Deployment: Deployment{Workers: workers, Store: StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12}, Cloud: Cloud{RPS: 5, ListLagS: 5}, Limits: Limits{MemoryMB: 100, MaxSockets: 100}}}
		derived := set.Derive()
		if derived.Election.LeaseValidity >= derived.Election.LeaseDuration {
			t.Errorf("%+v: the holder may outlast its lease", workers)
		}
		if derived.Workers.LeaseExpiry <= derived.Workers.Lease {
			t.Errorf("%+v: a task could be freed before its worker ends it", workers)
		}
		// A cancellation unseen for as long as the cache may be stale, plus a
		// worker's lease, must end in time.
		if derived.Store.MaxStaleness+derived.Workers.LeaseExpiry > derived.Workers.CancelDeadline {
			t.Errorf("%+v: a cancelled task could outlast %v", workers, derived.Workers.CancelDeadline)
		}
		if derived.Store.WatchTimeout >= derived.Store.MaxStaleness {
			t.Errorf("%+v: a quiet watch would look stale", workers)
		}
		if derived.Election.RenewInterval <= 0 || derived.Election.RenewInterval > derived.Election.LeaseValidity/3 {
			t.Errorf("%+v: too few renewals in one lease", workers)
		}
		if derived.API.RequestTimeout > 2*time.Second {
			t.Errorf("%+v: polls wait two seconds", workers)
		}
	}
}

// All is written within the smaller of the limits that hold and those to come, but
// for what says how stored records are laid out.
func TestUpcomingLimits(t *testing.T) {
	valueKB, writes, ops := 2.0, 35.0, 20
	set := Settings{Operator: DefaultOperator(), Deployment: Deployment{
		Workers: Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   Cloud{RPS: 5, ListLagS: 5}, Limits: Limits{MemoryMB: 100, MaxSockets: 100},
	}}
	now := set.Derive()
	set.Deployment.Store.Next = &UpcomingStoreLimits{ValueKB: &valueKB, WriteRPS: &writes, TxnOps: &ops}
	derived := set.Derive()
	if within := set.Deployment.Store.Effective(); within.RPS != 100 || within.WriteRPS != 35 || within.ValueKB != 2 || within.TxnOps != 12 {
		t.Errorf("within %+v", within)
	}
	if derived.Store.ValueBytes != 2048 || derived.Store.TxnOps != 12 || derived.Leader.FlushInterval <= now.Leader.FlushInterval {
		t.Errorf("%d bytes a value, %d writes a transaction, one in %v", derived.Store.ValueBytes, derived.Store.TxnOps, derived.Leader.FlushInterval)
	}
	if derived.Store.ChunkTasks != now.Store.ChunkTasks || derived.Election.LeaseDuration != now.Election.LeaseDuration {
		t.Error("what both versions have to agree on follows the limits to come")
	}
}
