package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

const (
	// starvedShare is the part of a job's tasks that go first when it has got nothing for too
	// long. It would starve without; with all of them, so would the others.
	starvedShare = 1.0 / 8

	// reserveShare is the part of its run time for which room is kept for a gang: what stands
	// idle meanwhile is little next to its own work, and where many tasks end all the time it
	// mostly suffices.
	reserveShare = 0.25

	// PatienceShare is the part of the time in which work within a guarantee should start for
	// which it waits for tasks to end by themselves.
	PatienceShare = 0.5

	// startMargin is the part of a control interval that it takes to tell a worker and to hear
	// that the task runs.
	startMargin = 0.25

	// restartRuns is how many run times a task needs to its deadline to be stopped and begun anew.
	restartRuns = 2
)

// deadlineS is how many seconds a job has left for the next objective that it can still meet,
// given how long its tasks run. One that has not begun is due by its objective to begin, too.
func (p *Planner) deadlineS(job *cluster.Job, wallMs int64) float64 {
	if !job.Spec.RunsToCompletion() {
		return placement.NoDeadline
	}
	ageS, runS := float64(wallMs-job.AcceptedMs)/1000, p.runTimes.Seconds(job.Spec)
	deadlineS, hasObjective := float64(placement.DeadlineMissed), false
	for _, objective := range p.config.Objectives {
		if objective.Class != job.Spec.Class {
			continue
		}
		switch leftS := objective.WithinS - ageS; {
		case objective.Kind == settings.ObjectiveFinished && leftS >= runS:
			deadlineS = min(deadlineS, leftS)
		case objective.Kind == settings.ObjectiveDeadline && job.Spec.DeadlineS != nil:
			hasObjective = true
			if leftS := max(1, objective.DeadlineFactor)**job.Spec.DeadlineS - ageS; leftS >= runS {
				deadlineS = min(deadlineS, leftS)
			}
		case objective.Kind == settings.ObjectiveWait && leftS >= 0 && job.Pending.Count == job.Spec.Tasks:
			deadlineS = min(deadlineS, leftS+runS)
		}
		hasObjective = hasObjective || objective.Kind == settings.ObjectiveFinished
	}
	if job.Spec.DeadlineS != nil && !hasObjective { // nobody has said how much it matters
		hasObjective = true
		if leftS := *job.Spec.DeadlineS - ageS; leftS >= runS {
			deadlineS = leftS
		}
	}
	if !hasObjective {
		return placement.NoDeadline
	}
	return deadlineS
}

// updateGuarantees finds out which jobs fit within their teams' guarantees.
func (p *Planner) updateGuarantees(now time.Time) {
	p.GuaranteesStale = false
	var unfinished []*placement.Job
	jobOf := map[*placement.Job]*cluster.Job{}
	for _, job := range p.state.Jobs {
		if !job.IsOver() {
			planned := &placement.Job{Spec: job.Spec, AcceptanceOrder: job.SubmissionOrder}
			jobOf[planned] = job
			unfinished = append(unfinished, planned)
		}
	}
	slices.SortFunc(unfinished, func(a, b *placement.Job) int { return cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder) })
	placement.MarkGuaranteed(p.config.Teams, unfinished)
	for planned, job := range jobOf {
		if planned.Guaranteed && !job.Scheduling.WithinGuarantee {
			job.Scheduling.GuaranteedSince = now
		}
		job.Scheduling.WithinGuarantee = planned.Guaranteed
	}
}

// plannedJob is a job as placement sees it.
func (p *Planner) plannedJob(job *cluster.Job, now time.Time, wallMs int64) *placement.Job {
	spec, runS := job.Spec, p.runTimes.Seconds(job.Spec)
	planned := &placement.Job{
		Spec: spec, AcceptanceOrder: job.SubmissionOrder, DeadlineS: p.deadlineS(job, wallMs),
		Pending: job.Pending.Count, Guaranteed: job.Scheduling.WithinGuarantee,
		RemainingCPUS: float64(spec.Tasks-job.Completions.Count) * runS * spec.CPUs,
		TasksByZone:   make(map[string]int, len(job.Zones)),
	}
	for zone, tasks := range job.Zones {
		planned.TasksByZone[zone] = tasks
	}
	p.applyObjectives(planned, job, now, wallMs)
	if spec.Shape == jobs.Batch && spec.CheckpointIntervalS == 0 && planned.DeadlineS < placement.NoDeadline {
		planned.NoTimeToRestart = planned.DeadlineS < restartRuns*runS
	}
	planned.PreemptionDeferred = !p.constraints.MayPreempt(job, now)
	planned.ReserveRoom = job.IsGang() && now.Sub(job.Scheduling.GangPendingSince).Seconds() < reserveShare*runS
	planned.Preempting = now.Sub(job.Scheduling.PreemptingForGangAt) < p.config.CountedRunTime
	if planned.StarvedTasks = p.StarvedTasks(job, now); planned.StarvedTasks > 0 && job.IsGang() {
		planned.StarvedTasks = job.Pending.Count
	}
	return planned
}

// applyObjectives adds how soon a job should start.
func (p *Planner) applyObjectives(planned *placement.Job, job *cluster.Job, now time.Time, wallMs int64) {
	for _, objective := range p.config.Objectives {
		if objective.Kind == settings.ObjectiveGuarantee && job.Spec.Shape == jobs.Batch {
			planned.ReclaimDeferred = now.Sub(job.Scheduling.GuaranteedSince).Seconds() < PatienceShare*objective.WithinS
		}
		if objective.Kind == settings.ObjectiveWait && objective.Class == job.Spec.Class {
			planned.StartWithinS = objective.WithinS - p.config.ControlInterval.Seconds()*startMargin
			// What has run before is wanted back as soon as it was wanted at first.
			if !job.Pending.HasRetries() {
				planned.StartWithinS -= float64(wallMs-job.AcceptedMs) / 1000
			}
		}
	}
}

// StarvedTasks is how many tasks of a job go first because it has got nothing for too long. A
// task that was stopped again soon after its start is nothing.
func (p *Planner) StarvedTasks(job *cluster.Job, now time.Time) int {
	if now.Sub(job.Scheduling.LastServedAt) <= p.config.StarvationLimit {
		return 0
	}
	placedFirst := 0
	for _, a := range job.Assignments {
		switch {
		case a.Outcome != cluster.Open || a.Stop.Requested:
		case a.Restored:
			return 0 // for as long as an earlier leader's is there
		case a.ObservedState == workers.StateRunning && now.Sub(a.RunningSince) > p.config.CountedRunTime:
			job.Scheduling.LastServedAt = now
			return 0
		case a.Overdue:
			placedFirst++
		}
	}
	return max(0, min(job.Pending.Count, maxStarvedTasks(job)-placedFirst))
}

func maxStarvedTasks(job *cluster.Job) int {
	return int(math.Ceil(starvedShare * float64(job.Spec.Tasks)))
}

// RestoreAge counts a job's age under earlier leaders: with each new one, its wait would begin
// anew. What it has on machines by now may be there because it went first.
func (p *Planner) RestoreAge(job *cluster.Job, age time.Duration, now time.Time) {
	job.Scheduling.LastServedAt = now.Add(-max(0, age))
	starved := job.Spec.RunsToCompletion() && now.Sub(job.Scheduling.LastServedAt) > p.config.StarvationLimit
	if !starved || len(job.Assignments) > maxStarvedTasks(job) {
		return
	}
	for _, a := range job.Assignments {
		a.Overdue = true
	}
}
