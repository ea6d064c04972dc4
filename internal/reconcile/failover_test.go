package reconcile

import (
	"testing"
	"time"

	"ospreyslip/internal/workers"
)

// A failover is done when every machine in the records is accounted for. Until then, or until the
// remaining machines are overdue, a job preempts others only once it has waited for its bound.
func TestFailover(t *testing.T) {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return startedAt.Add(time.Duration(s * float64(time.Second))) }
	failover := NewFailover(startedAt, 6*time.Second)
	for _, m := range []string{"m-1", "m-2", "m-3", "m-1"} {
		failover.ExpectMachine(m)
	}
	if failover.Phase() != LoadingRecords || failover.TryFinish(at(1)) {
		t.Error("failover is done before the records are loaded")
	}
	failover.RecordsLoaded(at(1))
	failover.MachineReported("m-1")
	failover.MachineReported("m-1")
	failover.HeartbeatAnswered(at(1.5))
	failover.HeartbeatAnswered(at(2))
	failover.CountCommand(workers.OpRun, Assigned)
	if failover.Phase() != AwaitingHeartbeats || failover.MayPreempt(at(2), at(1.9), time.Second) {
		t.Error("job may preempt although m-2 and m-3 may still bring capacity")
	}
	if !failover.MayPreempt(at(2), at(0), time.Second) || failover.MayPreempt(at(1.9), at(0), time.Second) {
		t.Error("bound of a job that waited earlier must be measured from the loading of the records")
	}
	if !failover.MayPreempt(at(7), at(6.9), time.Minute) {
		t.Error("job still waits for m-2 and m-3, which are overdue")
	}
	if p := failover.Progress(at(7)); p.Overdue != 2 || p.Reported != 1 || p.Expected != 3 {
		t.Errorf("%+v", p)
	}
	failover.MachineReported("m-2")
	failover.MachineGone("m-3")
	failover.MachineGone("m-2")
	if !failover.TryFinish(at(9)) || failover.TryFinish(at(10)) {
		t.Error("TryFinish must return true exactly once, when every machine is accounted for")
	}
	failover.CountCommand(workers.OpRun, Assigned)
	p := failover.Progress(at(10))
	if p.Phase != FailoverDone || p.Reported != 2 || p.NeverReported != 1 || p.DoneS != 9 || p.FirstResponseS != 1.5 || p.FirstCommandS != 0 {
		t.Errorf("%+v", p)
	}
	if len(p.Commands) != 1 || p.Commands[0].String() != "run (assigned): 1" {
		t.Errorf("commands %v", p.Commands)
	}
	failover.ExpectMachine("m-9")
	if failover.Phase() != FailoverDone || !failover.MayPreempt(at(10), at(10), time.Hour) {
		t.Error("a failover that is done must ignore expected machines and allow preemption")
	}
}
