package leader

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// During a failover, while healthy machines have not reported yet, production preempts at once. A
// job with a wait objective or a guarantee preempts after half of the time in which it should start,
// any other job when the machines are overdue.
func TestPreemptionDelayDuringFailover(t *testing.T) {
	leader, _, _, now := newTestLeader()
	leader.Settings.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: "web", WithinS: 2}, {Kind: "guarantee", WithinS: 6},
	}
	*leader.failover = *reconcile.NewFailover(now, leader.Derived.Detection.HeartbeatOverdue)
	leader.failover.ExpectMachine("m-2")
	leader.failover.RecordsLoaded(now)
	newPendingJob := func(class, priority string, withinGuarantee bool) *cluster.Job {
		j := cluster.NewJob("j-9", &jobs.Spec{ID: "j-9", Class: class, Team: "red", Shape: jobs.Batch, Priority: priority, Tasks: 1, CPUs: 1}, 1, 0, now)
		j.Scheduling.WithinGuarantee = withinGuarantee
		return j
	}
	for name, tc := range map[string]struct {
		j     *cluster.Job
		delay time.Duration
	}{
		"wait objective":     {newPendingJob("web", jobs.Urgent, false), time.Second},
		"within a guarantee": {newPendingJob("sums", jobs.Standard, true), 3 * time.Second},
		"no objective":       {newPendingJob("sums", jobs.Urgent, false), leader.Derived.Detection.HeartbeatOverdue},
	} {
		tc.j.Scheduling.LastServedAt = now.Add(-time.Hour) // it has waited under earlier leaders, too
		if leader.mayPreempt(tc.j, now.Add(tc.delay-time.Millisecond)) || !leader.mayPreempt(tc.j, now.Add(tc.delay)) {
			t.Errorf("%s: preemption is not allowed exactly from %v on", name, tc.delay)
		}
	}
	if !leader.mayPreempt(newPendingJob("web", jobs.Prod, false), now) {
		t.Error("production may not preempt at once")
	}
	leader.Settings.Operator.FailoverPatience = 0
	if !leader.mayPreempt(newPendingJob("sums", jobs.Urgent, false), now) {
		t.Error("preemption is delayed although FailoverPatience is 0")
	}
	leader.Settings.Operator.FailoverPatience = 1
	leader.failover.MachineReported("m-2")
	if !leader.mayPreempt(newPendingJob("sums", jobs.Urgent, false), now) {
		t.Error("preemption is delayed although all machines have reported")
	}
}

// A job whose preemption is deferred preempts no task and stays unmet while nothing is free. It is
// still placed where there is free capacity.
func TestDeferredPreemptionStopsNoTask(t *testing.T) {
	for _, deferred := range []bool{false, true} {
		var index placement.CapacityIndex
		m := &placement.Machine{ID: "m-1", Zone: "a", Type: "c4", Total: placement.Resources{CPUs: 4, RAMGB: 8, HeartbeatBytes: workers.MaxListedTasksBytes}, Images: map[string]bool{}, Fetching: map[string]float64{}, AvoidJobs: map[string]bool{}}
		lowPriority := &jobs.Spec{ID: "j-1", Shape: jobs.Batch, Priority: jobs.BestEffort, Tasks: 1, CPUs: 4, RAMGB: 1}
		m.Tasks = []*placement.RunningTask{{Job: &placement.Job{Spec: lowPriority}}}
		index.Insert(m)
		highPriority := &jobs.Spec{ID: "j-2", Shape: jobs.Batch, Priority: jobs.Urgent, Tasks: 1, CPUs: 4, RAMGB: 1}
		out := placement.Plan(placement.Input{UsedByTeam: map[string]placement.Resources{}, Index: &index, Jobs: []*placement.Job{{Spec: highPriority, TasksByZone: map[string]int{}, Pending: 1, PreemptionDeferred: deferred, DeadlineS: placement.NoDeadline}}})
		if preempted := len(out.Preemptions) > 0; preempted == deferred || len(out.Unmet) > 0 != deferred {
			t.Errorf("preemption deferred %v: preempted %v, unmet %v", deferred, out.Preemptions, out.Unmet)
		}
	}
}

// A failover is done when all machines that the records name have reported or their leases have
// expired. Tasks that run as recorded get no commands; lost tasks are to be started elsewhere.
func TestFailoverProgress(t *testing.T) {
	l, heartbeats, now := newFullFleet(t, 4)
	next := newSuccessor(l, writeLog(l), now, l.state.Jobs["j-7"].Spec)
	next.failover.RecordsLoaded(now)
	for i, heartbeat := range heartbeats[:3] {
		heartbeat.FencingToken = 6
		heartbeat.Seq += 10
		if i == 2 { // its lease has expired in the meantime
			heartbeat.AgentEpoch, heartbeat.Tasks = heartbeat.AgentEpoch+1, nil
		}
		if response := next.handleHeartbeat(heartbeat, now.Add(time.Second)); response == nil || len(response.Commands) > 0 {
			t.Errorf("%s: response %+v, want one without commands", heartbeat.Machine, response)
		}
	}
	next.finishFailover(now.Add(time.Second))
	if p := next.failover.Progress(now.Add(time.Second)); p.Phase != reconcile.AwaitingHeartbeats || p.Expected != 4 || p.Reported != 3 {
		t.Errorf("one machine has not reported: %+v", p)
	}
	leasesExpired := now.Add(2 * next.Derived.Workers.LeaseExpiry)
	next.expireLeases(leasesExpired)
	next.finishFailover(leasesExpired)
	p := next.failover.Progress(leasesExpired)
	if p.Phase != reconcile.FailoverDone || p.Reported != 3 || p.NeverReported != 1 || len(p.Commands) > 0 {
		t.Errorf("the last lease has expired: %+v", p)
	}
	lost := 0
	for _, a := range next.state.Jobs["j-7"].Assignments {
		if a.Outcome == cluster.Retry {
			lost++
		}
	}
	if lost < 2 {
		t.Errorf("%d tasks are to be started again, want at least 2", lost)
	}
}
