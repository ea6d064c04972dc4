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

// A machine of an earlier leader takes work from its first heartbeat on. What waits has
// to be planned for then: it found no room before, and nothing else may happen for
// long. (Found with real processes: a job waited until the next one came.)
func TestPlansWhenAMachineReports(t *testing.T) {
	leader, _, _, now := newTestLeader()
	leader.catalog.Types = func() []jobs.MachineType {
		return []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 8, FetchGBPS: 1, BootS: 10}}
	}
	restoreMachine(t, leader, assignmentlog.MachineRecord{Machine: "m-9", Addr: "10.1.0.9:9000", Type: "c4", Zone: "a", Session: 1}, now)
	leader.plan(now)
	if leader.planner.Requested {
		t.Fatal("a plan is wanted before anything has happened")
	}
	r := newHeartbeat(1, 7)
	r.Machine = "m-9"
	if leader.answerHeartbeat(r, now); !leader.planner.Requested {
		t.Error("no plan when it takes work")
	}
	leader.plan(now)
	r.Seq++
	if leader.answerHeartbeat(r, now); leader.planner.Requested {
		t.Error("a plan after a report without news")
	}
}

// A transaction that is rejected as it is says nothing of an outage: planning goes on.
func TestRejectedIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, _, now := newTestLeader()
		discardLogs(t)
		l.inbox.events = make(chan func(time.Time), 1)
		l.writer.Returned(t.Context(), transaction.New(), 0, nil, kvstore.ErrOutcomeUnknown)
		if l.mayBegin(now) {
			t.Error("plans while nothing can be made durable")
		}
		l.readLog(nil)
		l.writer.Returned(t.Context(), transaction.New(), 0, nil, fmt.Errorf("%w: %w", kvstore.ErrNotExecuted, kvstore.ErrInvalidRequest))
		if !l.mayBegin(now) {
			t.Error("plans no more")
		}
		synctest.Wait()
	})
}
