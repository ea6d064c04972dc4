package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// dueS is how many seconds a job has left for the next aim that it can still
// meet, given how long its tasks run. One that has not begun is due by its aim
// to begin, too.
func (l *Leader) dueS(j *cluster.Job, wall int64) float64 {
	if !j.Spec.RunsToCompletion() {
		return placement.NoDeadline
	}
	age, runs := float64(wall-j.AcceptedMs)/1000, l.runS(j.Spec)
	due, aims := float64(placement.DeadlineMissed), false
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch left := o.WithinS - age; {
		case o.Kind == "finished" && left >= runs:
			due = min(due, left)
		case o.Kind == "deadline" && j.Spec.DeadlineS != nil:
			aims = true
			if left := max(1, o.DeadlineFactor)**j.Spec.DeadlineS - age; left >= runs {
				due = min(due, left)
			}
		case o.Kind == "wait" && left >= 0 && j.Pending.Count == j.Spec.Tasks:
			due = min(due, left+runs)
		}
		aims = aims || o.Kind == "finished"
	}
	if j.Spec.DeadlineS != nil && !aims { // nobody has said how much it matters
		aims = true
		if left := *j.Spec.DeadlineS - age; left >= runs {
			due = left
		}
	}
	if !aims {
		return placement.NoDeadline
	}
	return due
}

// overdueShare is the part of a job's tasks that go first when it has got nothing
// for too long. It would starve without; with all of them, so would the others.
const overdueShare = 1.0 / 8

// queue notes that a job has tasks that wait for a machine.
func (l *Leader) queue(j *cluster.Job) {
	if j.Pending.Count > 0 && !j.IsOver() {
		l.queued[j] = true
	}
}

// cover finds out which jobs their teams' guarantees cover.
func (l *Leader) cover(now time.Time) {
	l.uncovered = false
	var all []*placement.Job
	back := map[*placement.Job]*cluster.Job{}
	for _, j := range l.state.Jobs {
		if !j.IsOver() {
			p := &placement.Job{Spec: j.Spec, AcceptanceOrder: j.SubmissionOrder}
			back[p] = j
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *placement.Job) int { return cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder) })
	placement.MarkGuaranteed(l.Settings.Deployment.Teams, all)
	for p, j := range back {
		if p.Guaranteed && !j.Scheduling.WithinGuarantee {
			j.Scheduling.GuaranteedSince = now
		}
		j.Scheduling.WithinGuarantee = p.Guaranteed
	}
}

// keepShare is the part of its run time for which room is kept for a gang: what stands
// idle meanwhile is little next to its own work, and where many tasks end all the
// time it mostly suffices.
const keepShare = 0.25

// patientShare is the part of the time in which work within a guarantee should
// start for which it waits for tasks to end by themselves.
const patientShare = 0.5

// planJob is a job as placement sees it.
func (l *Leader) planJob(j *cluster.Job, now time.Time, wall int64) *placement.Job {
	p := &placement.Job{
		Spec: j.Spec, AcceptanceOrder: j.SubmissionOrder, DeadlineS: l.dueS(j, wall), Pending: j.Pending.Count, Guaranteed: j.Scheduling.WithinGuarantee,
		RemainingCPUS: float64(j.Spec.Tasks-j.Completions.Count) * l.runS(j.Spec) * j.Spec.CPUs, TasksByZone: make(map[string]int, len(j.Zones)),
	}
	for z, n := range j.Zones {
		p.TasksByZone[z] = n
	}
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind == "guarantee" && j.Spec.Shape == jobs.Batch {
			p.ReclaimDeferred = now.Sub(j.Scheduling.GuaranteedSince).Seconds() < patientShare*o.WithinS
		}
		if o.Kind == "wait" && o.Class == j.Spec.Class {
			// Until the order is out and the report back. What has run before
			// is wanted back as soon as it was wanted at first.
			p.StartWithinS = o.WithinS - l.Derived.Leader.ControlInterval.Seconds()/4
			if !j.Pending.HasRetries() {
				p.StartWithinS -= float64(wall-j.AcceptedMs) / 1000
			}
		}
	}
	if j.Spec.Shape == jobs.Batch && j.Spec.CheckpointIntervalS == 0 && p.DeadlineS < placement.NoDeadline {
		p.NoTimeToRestart = p.DeadlineS < 2*l.runS(j.Spec)
	}
	p.PreemptionDeferred = !l.mayPreempt(j, now)
	p.ReserveRoom = j.IsGang() && now.Sub(j.Scheduling.GangPendingSince).Seconds() < keepShare*l.runS(j.Spec)
	p.Preempting = now.Sub(j.Scheduling.PreemptingForGangAt) < l.Derived.Leader.CountedRunTime
	if p.StarvedTasks = l.overdue(j, now); p.StarvedTasks > 0 && j.IsGang() {
		p.StarvedTasks = j.Pending.Count
	}
	return p
}

// overdue is how many tasks of a job go first because it has got nothing for too
// long. A task that was stopped again soon after its start is nothing.
func (l *Leader) overdue(j *cluster.Job, now time.Time) int {
	if now.Sub(j.Scheduling.LastServedAt) <= l.Derived.Leader.StarvationLimit {
		return 0
	}
	ahead := 0
	for _, a := range j.Assignments {
		switch {
		case a.Outcome != cluster.Open || a.Stop.Requested:
		case a.Restored:
			return 0 // for as long as an earlier leader's is there
		case a.ObservedState == workers.StateRunning && now.Sub(a.RunningSince) > l.Derived.Leader.CountedRunTime:
			j.Scheduling.LastServedAt = now
			return 0
		case a.Overdue:
			ahead++
		}
	}
	return max(0, min(j.Pending.Count, mostAhead(j)-ahead))
}

func mostAhead(j *cluster.Job) int { return int(math.Ceil(overdueShare * float64(j.Spec.Tasks))) }

// remember counts a job's age under earlier leaders: with each new one, its wait
// would begin anew. What it has by now may be there because it went first.
func (l *Leader) remember(j *cluster.Job, age time.Duration, now time.Time) {
	j.Scheduling.LastServedAt = now.Add(-max(0, age))
	if !j.Spec.RunsToCompletion() || now.Sub(j.Scheduling.LastServedAt) <= l.Derived.Leader.StarvationLimit || len(j.Assignments) > mostAhead(j) {
		return
	}
	for _, a := range j.Assignments {
		a.Overdue = true
	}
}
