package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// dueS is how many seconds a job has left for the next aim that it can still
// meet, given how long its tasks run. One that has not begun is due by its aim
// to begin, too.
func (l *Leader) dueS(j *job, wall int64) float64 {
	if !j.spec.Ends() {
		return placement.NoDeadline
	}
	age, runs := float64(wall-j.atMs)/1000, l.runS(j.spec)
	due, aims := float64(placement.DeadlineMissed), false
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch left := o.WithinS - age; {
		case o.Kind == "finished" && left >= runs:
			due = min(due, left)
		case o.Kind == "deadline" && j.spec.DeadlineS != nil:
			aims = true
			if left := max(1, o.Times)**j.spec.DeadlineS - age; left >= runs {
				due = min(due, left)
			}
		case o.Kind == "wait" && left >= 0 && j.waiting == j.spec.Tasks:
			due = min(due, left+runs)
		}
		aims = aims || o.Kind == "finished"
	}
	if j.spec.DeadlineS != nil && !aims { // nobody has said how much it matters
		aims = true
		if left := *j.spec.DeadlineS - age; left >= runs {
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
func (l *Leader) queue(j *job) {
	if j.waiting > 0 && !j.over() {
		l.queued[j] = true
	}
}

// cover finds out which jobs their teams' guarantees cover.
func (l *Leader) cover(now time.Time) {
	l.uncovered = false
	var all []*placement.Job
	back := map[*placement.Job]*job{}
	for _, j := range l.jobs {
		if !j.over() {
			p := &placement.Job{Spec: j.spec, AcceptanceOrder: j.order}
			back[p] = j
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *placement.Job) int { return cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder) })
	placement.MarkGuaranteed(l.Settings.Deployment.Teams, all)
	for p, j := range back {
		if p.Guaranteed && !j.covered {
			j.coveredAt = now
		}
		j.covered = p.Guaranteed
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
func (l *Leader) planJob(j *job, now time.Time, wall int64) *placement.Job {
	p := &placement.Job{
		Spec: j.spec, AcceptanceOrder: j.order, DeadlineS: l.dueS(j, wall), Pending: j.waiting, Guaranteed: j.covered,
		RemainingCPUS: float64(j.spec.Tasks-j.doneCount) * l.runS(j.spec) * j.spec.CPUs, TasksByZone: make(map[string]int, len(j.zones)),
	}
	for z, n := range j.zones {
		p.TasksByZone[z] = n
	}
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind == "guarantee" && j.spec.Shape == jobs.Batch {
			p.ReclaimDeferred = now.Sub(j.coveredAt).Seconds() < patientShare*o.WithinS
		}
		if o.Kind == "wait" && o.Class == j.spec.Class {
			// Until the order is out and the report back. What has run before
			// is wanted back as soon as it was wanted at first.
			p.StartWithinS = o.WithinS - l.Derived.ControlInterval.Seconds()/4
			if len(j.again) == 0 {
				p.StartWithinS -= float64(wall-j.atMs) / 1000
			}
		}
	}
	if j.spec.Shape == jobs.Batch && j.spec.CheckpntS == 0 && p.DeadlineS < placement.NoDeadline {
		p.NoTimeToRestart = p.DeadlineS < 2*l.runS(j.spec)
	}
	p.PreemptionDeferred = !l.mayPreempt(j, now)
	p.ReserveRoom = j.isGang() && now.Sub(j.whole).Seconds() < keepShare*l.runS(j.spec)
	p.Preempting = now.Sub(j.clearing) < l.Derived.Lasting
	if p.StarvedTasks = l.overdue(j, now); p.StarvedTasks > 0 && j.isGang() {
		p.StarvedTasks = j.waiting
	}
	return p
}

// overdue is how many tasks of a job go first because it has got nothing for too
// long. A task that was stopped again soon after its start is nothing.
func (l *Leader) overdue(j *job, now time.Time) int {
	if now.Sub(j.served) <= l.Derived.BeginBy {
		return 0
	}
	ahead := 0
	for _, a := range j.tasks {
		switch {
		case a.outcome != open || a.stop:
		case a.restored:
			return 0 // for as long as an earlier leader's is there
		case a.seen == workers.Running && now.Sub(a.since) > l.Derived.Lasting:
			j.served = now
			return 0
		case a.overdue:
			ahead++
		}
	}
	return max(0, min(j.waiting, mostAhead(j)-ahead))
}

func mostAhead(j *job) int { return int(math.Ceil(overdueShare * float64(j.spec.Tasks))) }

// remember counts a job's age under earlier leaders: with each new one, its wait
// would begin anew. What it has by now may be there because it went first.
func (l *Leader) remember(j *job, age time.Duration, now time.Time) {
	j.served = now.Add(-max(0, age))
	if !j.spec.Ends() || now.Sub(j.served) <= l.Derived.BeginBy || len(j.tasks) > mostAhead(j) {
		return
	}
	for _, a := range j.tasks {
		a.overdue = true
	}
}
