package leader

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
)

// In a take-over, while machines that are well have not reported, others are stopped for
// production at once, for a class with an aim to start or a guarantee when half of that time is
// over, and else when the machines are late.
func TestPreemptionInATakeover(t *testing.T) {
	leader, _, _, now := newTestLeader()
	leader.Settings.Deployment.Objectives = []settings.Objective{
		{Kind: "wait", Class: "web", WithinS: 2}, {Kind: "guarantee", WithinS: 6},
	}
	*leader.failover = *reconcile.NewFailover(now, leader.Derived.Detection.HeartbeatOverdue)
	leader.failover.ExpectMachine("m-2")
	leader.failover.RecordsLoaded(now)
	waiting := func(class, priority string, covered bool) *cluster.Job {
		j := cluster.NewJob("j-9", &jobs.Spec{ID: "j-9", Class: class, Team: "red", Shape: jobs.Batch, Priority: priority, Tasks: 1, CPUs: 1}, 1, 0, now)
		j.Scheduling.WithinGuarantee = covered
		return j
	}
	for what, c := range map[string]struct {
		j     *cluster.Job
		bound time.Duration
	}{
		"a class with an aim":       {waiting("web", jobs.Urgent, false), time.Second},
		"covered by a guarantee":    {waiting("sums", jobs.Standard, true), 3 * time.Second},
		"nothing that it should be": {waiting("sums", jobs.Urgent, false), leader.Derived.Detection.HeartbeatOverdue},
	} {
		c.j.Scheduling.LastServedAt = now.Add(-time.Hour) // it has waited under earlier leaders as well
		if leader.mayPreempt(c.j, now.Add(c.bound-time.Millisecond)) || !leader.mayPreempt(c.j, now.Add(c.bound)) {
			t.Errorf("%s: others are stopped for it at another time than after %v", what, c.bound)
		}
	}
	if !leader.mayPreempt(waiting("web", jobs.Prod, false), now) {
		t.Error("production waits")
	}
	leader.Settings.Operator.TakeoverPatience = 0
	if !leader.mayPreempt(waiting("sums", jobs.Urgent, false), now) {
		t.Error("operators want others to be stopped at once")
	}
	leader.Settings.Operator.TakeoverPatience = 1
	leader.failover.MachineReported("m-2")
	if !leader.mayPreempt(waiting("sums", jobs.Urgent, false), now) {
		t.Error("all machines have reported: there is no other room")
	}
}

// Whatever awaits room has nothing stopped for it, and is still placed where there is room.
func TestNothingIsStoppedForWhatAwaitsRoom(t *testing.T) {
	for _, awaits := range []bool{false, true} {
		var index placement.CapacityIndex
		m := &placement.Machine{ID: "m-1", Zone: "a", Type: "c4", Total: placement.Resources{CPUs: 4, RAMGB: 8}, Images: map[string]bool{}, Fetching: map[string]float64{}, AvoidJobs: map[string]bool{}}
		low := &jobs.Spec{ID: "j-1", Shape: jobs.Batch, Priority: jobs.BestEffort, Tasks: 1, CPUs: 4, RAMGB: 1}
		m.Tasks = []*placement.RunningTask{{Job: &placement.Job{Spec: low}}}
		index.Insert(m)
		high := &jobs.Spec{ID: "j-2", Shape: jobs.Batch, Priority: jobs.Urgent, Tasks: 1, CPUs: 4, RAMGB: 1}
		out := placement.Plan(placement.Input{UsedByTeam: map[string]placement.Resources{}, Index: &index, Jobs: []*placement.Job{{Spec: high, TasksByZone: map[string]int{}, Pending: 1, PreemptionDeferred: awaits, DeadlineS: placement.NoDeadline}}})
		if stopped := len(out.Preemptions) > 0; stopped == awaits || len(out.Unmet) > 0 != awaits {
			t.Errorf("awaits room %v: stopped %v, unmet %v", awaits, out.Preemptions, out.Unmet)
		}
	}
}

// A new leader's take-over is settled when the machines that its records name have reported or
// their leases are over. What runs as stored is told nothing; what is gone is begun elsewhere.
func TestTakeoverIsFollowed(t *testing.T) {
	l, reports, now := newFullFleet(t, 4)
	next := newSuccessor(l, writeLog(l), now, l.state.Jobs["j-7"].Spec)
	next.failover.RecordsLoaded(now)
	for i, r := range reports[:3] {
		r.FencingToken = 6
		r.Seq += 10
		if i == 2 { // its lease ran out meanwhile
			r.AgentEpoch, r.Tasks = r.AgentEpoch+1, nil
		}
		if answer := next.answerHeartbeat(r, now.Add(time.Second)); answer == nil || len(answer.Commands) > 0 {
			t.Errorf("%s is told %+v", r.Machine, answer)
		}
	}
	next.finishFailover(now.Add(time.Second))
	if p := next.failover.Progress(now.Add(time.Second)); p.Phase != reconcile.AwaitingHeartbeats || p.Expected != 4 || p.Reported != 3 {
		t.Errorf("one is missing: %+v", p)
	}
	over := now.Add(2 * next.Derived.Workers.LeaseExpiry)
	next.expireLeases(over)
	next.finishFailover(over)
	p := next.failover.Progress(over)
	if p.Phase != reconcile.FailoverDone || p.Reported != 3 || p.NeverReported != 1 || len(p.Commands) > 0 {
		t.Errorf("its lease is over: %+v", p)
	}
	gone := 0
	for _, a := range next.state.Jobs["j-7"].Assignments {
		if a.Outcome == cluster.Retry {
			gone++
		}
	}
	if gone < 2 {
		t.Errorf("%d tasks are to be begun anew", gone)
	}
}
