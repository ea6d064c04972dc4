package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/transaction"
)

// A machine from an earlier term accepts work from its first heartbeat to this leader on. That
// heartbeat has to request a plan, because pending jobs found no capacity before and no other event
// may follow for a long time. Without it, a job waited until the next job was submitted.
func TestHeartbeatRequestsPlan(t *testing.T) {
	leader, _, _, now := newTestLeader()
	leader.catalog.Types = func() []jobs.MachineType {
		return []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 8, FetchGBPS: 1, BootS: 10}}
	}
	restoreMachine(t, leader, assignmentlog.MachineRecord{Machine: "m-9", Addr: "10.1.0.9:9000", Type: "c4", Zone: "a", AgentEpoch: 1}, now)
	leader.plan(now)
	if leader.planner.PlanRequested {
		t.Fatal("a plan is requested before any event")
	}
	heartbeat := newHeartbeat(1, 7)
	heartbeat.Machine = "m-9"
	if leader.handleHeartbeat(heartbeat, now); !leader.planner.PlanRequested {
		t.Error("no plan requested when a machine starts to accept work")
	}
	leader.plan(now)
	heartbeat.Seq++
	if leader.handleHeartbeat(heartbeat, now); leader.planner.PlanRequested {
		t.Error("a plan requested by an unchanged heartbeat")
	}
}

// A transaction that the store rejects as invalid is no sign of an outage, so planning continues.
func TestRejectedTransactionIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, _, now := newTestLeader()
		discardLogs(t)
		l.inbox.events = make(chan func(time.Time), 1)
		l.writer.HandleOutcome(t.Context(), transaction.New(), 0, nil, kvstore.ErrOutcomeUnknown)
		if l.canPersistWork(now) {
			t.Error("planning continues while nothing can be made durable")
		}
		l.readLog(nil)
		l.writer.HandleOutcome(t.Context(), transaction.New(), 0, nil, fmt.Errorf("%w: %w", kvstore.ErrNotExecuted, kvstore.ErrInvalidRequest))
		if !l.canPersistWork(now) {
			t.Error("planning stopped after a rejected transaction")
		}
		synctest.Wait()
	})
}
