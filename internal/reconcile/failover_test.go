package reconcile

import (
	"testing"
	"time"

	"ospreyslip/internal/workers"
)

// A failover is done when every machine of the records is accounted for. Until then, or until
// those that are left are overdue, others are preempted only for what would wait too long.
func TestFailover(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	failover := NewFailover(began, 6*time.Second)
	for _, m := range []string{"m-1", "m-2", "m-3", "m-1"} {
		failover.ExpectMachine(m)
	}
	if failover.Phase() != LoadingRecords || failover.TryFinish(at(1)) {
		t.Error("settled before the records were read")
	}
	failover.RecordsLoaded(at(1))
	failover.MachineReported("m-1")
	failover.MachineReported("m-1")
	failover.HeartbeatAnswered(at(1.5))
	failover.HeartbeatAnswered(at(2))
	failover.CountCommand(workers.OpRun, Assigned)
	if failover.Phase() != AwaitingHeartbeats || failover.MayPreempt(at(2), at(1.9), time.Second) {
		t.Error("m-2 and m-3 may have room")
	}
	if !failover.MayPreempt(at(2), at(0), time.Second) || failover.MayPreempt(at(1.9), at(0), time.Second) {
		t.Error("what waits since before is bounded from when the records were read")
	}
	if !failover.MayPreempt(at(7), at(6.9), time.Minute) {
		t.Error("m-2 and m-3 are late: their room is not waited for")
	}
	if p := failover.Progress(at(7)); p.Overdue != 2 || p.Reported != 1 || p.Expected != 3 {
		t.Errorf("%+v", p)
	}
	failover.MachineReported("m-2")
	failover.MachineGone("m-3")
	failover.MachineGone("m-2")
	if !failover.TryFinish(at(9)) || failover.TryFinish(at(10)) {
		t.Error("settled once, when all are accounted for")
	}
	failover.CountCommand(workers.OpRun, Assigned)
	p := failover.Progress(at(10))
	if p.Phase != FailoverDone || p.Reported != 2 || p.NeverReported != 1 || p.DoneS != 9 || p.FirstAnswerS != 1.5 || p.FirstCommandS != 0 {
		t.Errorf("%+v", p)
	}
	if len(p.Commands) != 1 || p.Commands[0].String() != "run (assigned): 1" {
		t.Errorf("commands %v", p.Commands)
	}
	failover.ExpectMachine("m-9")
	if failover.Phase() != FailoverDone || !failover.MayPreempt(at(10), at(10), time.Hour) {
		t.Error("a failover that is done expects nothing")
	}
}
