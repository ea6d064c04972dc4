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

// At a take-over all workers connect by themselves. Only machines from which something
// is wanted are sent a command at once: here those with room, and one with a task of a
// cancelled job. Of the others, those that have not reported after a heartbeat interval get
// one as well, whatever that costs: a worker may reach no controller by itself.
func TestAnnouncedAtTakeOver(t *testing.T) {
	leader, reports, now := newFullFleet(t, 12) // of each machine, one task takes all CPUs
	small := &jobs.Spec{ID: "j-8", Class: "sums", Team: "red", Shape: jobs.Batch, Tasks: 12, CPUs: 1, RAMGB: 1, EstimatedRuntimeS: 30}
	cancelled := &jobs.Spec{ID: "j-9", Class: "sums", Team: "red", Shape: jobs.Batch, Tasks: 1, CPUs: 4, RAMGB: 1, EstimatedRuntimeS: 30}
	for i, spec := range []*jobs.Spec{small, cancelled} {
		j := cluster.NewJob(spec.ID, spec, 2, 0, now)
		leader.state.Jobs[j.ID] = j
		r := &workers.Heartbeat{Machine: fmt.Sprintf("m-90000%d", i), Addr: "10.1.0.2:9000", Type: "c4", Zone: "a", AgentEpoch: 1, Seq: 1, FencingToken: 5}
		leader.answerHeartbeat(r, now)
		leader.tasks.Assign(j, j.TakePendingTask(), leader.state.Machines.ByID[r.Machine], now)
	}

	// The record of a cancelled job has no description, so that it is not among the jobs.
	spec, live := *leader.state.Jobs["j-7"].Spec, *small
	next := newSuccessor(leader, writeLog(leader), now, &spec, &live)
	seen := map[string]bool{}
	notifyPending := func() (ids []string) {
		for _, m := range next.state.Machines.All {
			if m.Commands.NotifyPending && !seen[m.ID] {
				ids = append(ids, m.ID)
				seen[m.ID] = true
			}
		}
		slices.Sort(ids)
		return ids
	}
	if got := notifyPending(); fmt.Sprint(got) != "[m-900000 m-900001]" {
		t.Errorf("ordered at once: %v", got)
	}
	interval := func(at time.Time) {
		for range cluster.TickGroups {
			next.loop.tickGroup = (next.loop.tickGroup + 1) % cluster.TickGroups
			for m := range next.state.Machines.Groups[next.loop.tickGroup] {
				next.dispatcher.AnnounceToSilent(m, at)
			}
		}
	}
	interval(now.Add(next.Derived.Workers.AnnounceDelay))
	if got := notifyPending(); len(got) != 0 {
		t.Errorf("ordered before a report period was over: %v", got)
	}
	for _, r := range reports[:10] {
		r.FencingToken = 6
		r.Seq++
		next.answerHeartbeat(r, now)
	}
	interval(now.Add(next.Derived.Workers.AnnounceDelay + time.Second))
	if got := notifyPending(); fmt.Sprint(got) != "[m-000010 m-000011]" {
		t.Errorf("ordered after a report period: %v", got)
	}
}
