package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// After a failover all workers send heartbeats without being asked. The new leader sends commands at
// once only to machines that it needs: here one with free capacity and one with a task of a
// cancelled job. A machine that has not reported after AnnounceDelay gets a command too, at any
// cost, because its worker may be unable to reach a controller.
func TestFailoverNotifiesNeededAndSilentMachines(t *testing.T) {
	leader, heartbeats, now := newFullFleet(t, 12) // one task uses all CPUs of each machine
	small := &jobs.Spec{ID: "j-8", Class: "sums", Team: "red", Shape: jobs.Batch, Tasks: 12, CPUs: 1, RAMGB: 1, EstimatedRuntimeS: 30}
	cancelled := &jobs.Spec{ID: "j-9", Class: "sums", Team: "red", Shape: jobs.Batch, Tasks: 1, CPUs: 4, RAMGB: 1, EstimatedRuntimeS: 30}
	for i, spec := range []*jobs.Spec{small, cancelled} {
		j := cluster.NewJob(spec.ID, spec, 2, 0, now)
		leader.state.Jobs[j.ID] = j
		heartbeat := &workers.Heartbeat{Machine: fmt.Sprintf("m-90000%d", i), Addr: "10.1.0.2:9000", Type: "c4", Zone: "a", AgentEpoch: 1, Seq: 1, FencingToken: 5}
		leader.handleHeartbeat(heartbeat, now)
		leader.tasks.Assign(j, j.TakePendingTask(), leader.state.Machines.ByID[heartbeat.Machine], now)
	}

	// The record of a cancelled job has no spec, so the successor does not load the job.
	spec, smallCopy := *leader.state.Jobs["j-7"].Spec, *small
	next := newSuccessor(leader, writeLog(leader), now, &spec, &smallCopy)
	alreadyNotified := map[string]bool{}
	notifyPending := func() (ids []string) {
		for _, m := range next.state.Machines.All {
			if m.Commands.NotifyPending && !alreadyNotified[m.ID] {
				ids = append(ids, m.ID)
				alreadyNotified[m.ID] = true
			}
		}
		slices.Sort(ids)
		return ids
	}
	if got := notifyPending(); fmt.Sprint(got) != "[m-900000 m-900001]" {
		t.Errorf("notified at once: %v", got)
	}
	checkAllGroups := func(at time.Time) {
		for range cluster.TickGroups {
			next.loop.tickGroup = (next.loop.tickGroup + 1) % cluster.TickGroups
			for m := range next.state.Machines.Groups[next.loop.tickGroup] {
				next.dispatcher.AnnounceToSilentMachine(m, at)
			}
		}
	}
	checkAllGroups(now.Add(next.Derived.Workers.AnnounceDelay))
	if got := notifyPending(); len(got) != 0 {
		t.Errorf("notified before the announce delay had passed: %v", got)
	}
	for _, heartbeat := range heartbeats[:10] {
		heartbeat.FencingToken = 6
		heartbeat.Seq++
		next.handleHeartbeat(heartbeat, now)
	}
	checkAllGroups(now.Add(next.Derived.Workers.AnnounceDelay + time.Second))
	if got := notifyPending(); fmt.Sprint(got) != "[m-000010 m-000011]" {
		t.Errorf("notified after the announce delay: %v", got)
	}
}
