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
	// starvedShare is the share of a job's tasks that are placed first when the job is starved.
	// Without any, the job would wait indefinitely; with all of them, other jobs would starve.
	starvedShare = 1.0 / 8

	// reservationShare is the share of a gang's expected run time for which capacity is
	// reserved for it. The capacity that idles during the reservation is small compared with
	// the gang's own work, and where tasks end frequently the reservation usually suffices.
	reservationShare = 0.25

	// PreemptionDelayShare is the share of the time allowed for the start of a job within its
	// team's guarantee for which the job waits for other tasks to end on their own. Only then
	// are tasks preempted for it.
	PreemptionDelayShare = 0.5

	// startMarginShare is the share of a control interval allowed for sending a start command
	// and learning that the task runs.
	startMarginShare = 0.25

	// restartRunTimes is how many expected run times must be left to a deadline for a task to
	// be restarted and still meet it.
	restartRunTimes = 2
)

// deadlineS returns the seconds left until the job has to complete to meet the next objective that
// it can still meet, given the expected run time of its tasks. For a job that has not started, the
// objective for the start counts as well. The result is placement.NoDeadline without an objective,
// and placement.DeadlineMissed if none can be met.
func (p *Planner) deadlineS(job *cluster.Job, wallMs int64) float64 {
	if !job.Spec.RunsToCompletion() {
		return placement.NoDeadline
	}
	ageS, expectedRunS := float64(wallMs-job.AcceptedMs)/1000, p.runTimes.RunTimeS(job.Spec)
	deadlineS, hasObjective := float64(placement.DeadlineMissed), false
	for _, objective := range p.config.Objectives {
		if objective.Class != job.Spec.Class {
			continue
		}
		switch leftS := objective.WithinS - ageS; {
		case objective.Kind == settings.ObjectiveFinished && leftS >= expectedRunS:
			deadlineS = min(deadlineS, leftS)
		case objective.Kind == settings.ObjectiveDeadline && job.Spec.DeadlineS != nil:
			hasObjective = true
			if leftS := max(1, objective.DeadlineFactor)**job.Spec.DeadlineS - ageS; leftS >= expectedRunS {
				deadlineS = min(deadlineS, leftS)
			}
		case objective.Kind == settings.ObjectiveWait && leftS >= 0 && job.Pending.Count == job.Spec.Tasks:
			deadlineS = min(deadlineS, leftS+expectedRunS)
		}
		hasObjective = hasObjective || objective.Kind == settings.ObjectiveFinished
	}
	if job.Spec.DeadlineS != nil && !hasObjective { // no objective covers the job's own deadline
		hasObjective = true
		if leftS := *job.Spec.DeadlineS - ageS; leftS >= expectedRunS {
			deadlineS = leftS
		}
	}
	if !hasObjective {
		return placement.NoDeadline
	}
	return deadlineS
}

// updateGuarantees determines which unfinished jobs fit within their teams' guarantees.
func (p *Planner) updateGuarantees(now time.Time) {
	p.GuaranteesStale = false
	var unfinished []*placement.Job
	clusterJobs := map[*placement.Job]*cluster.Job{}
	for _, job := range p.state.Jobs {
		if !job.IsFinished() {
			planned := &placement.Job{Spec: job.Spec, AcceptanceOrder: job.SubmissionOrder}
			clusterJobs[planned] = job
			unfinished = append(unfinished, planned)
		}
	}
	slices.SortFunc(unfinished, func(a, b *placement.Job) int { return cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder) })
	placement.MarkGuaranteed(p.config.Teams, unfinished)
	for planned, job := range clusterJobs {
		if planned.Guaranteed && !job.Scheduling.WithinGuarantee {
			job.Scheduling.GuaranteedSince = now
		}
		job.Scheduling.WithinGuarantee = planned.Guaranteed
	}
}

// placementJob returns a job as input for placement.
func (p *Planner) placementJob(job *cluster.Job, now time.Time, wallMs int64) *placement.Job {
	spec, expectedRunS := job.Spec, p.runTimes.RunTimeS(job.Spec)
	planned := &placement.Job{
		Spec: spec, AcceptanceOrder: job.SubmissionOrder, DeadlineS: p.deadlineS(job, wallMs),
		Pending: job.Pending.Count, Guaranteed: job.Scheduling.WithinGuarantee,
		RemainingCPUSeconds: float64(spec.Tasks-job.Completions.Count) * expectedRunS * spec.CPUs,
		TasksByZone:         make(map[string]int, len(job.Zones)),
	}
	for zone, tasks := range job.Zones {
		planned.TasksByZone[zone] = tasks
	}
	p.applyObjectives(planned, job, now, wallMs)
	if spec.Shape == jobs.Batch && spec.CheckpointIntervalS == 0 && planned.DeadlineS < placement.NoDeadline {
		planned.NoTimeToRestart = planned.DeadlineS < restartRunTimes*expectedRunS
	}
	planned.PreemptionDeferred = !p.constraints.MayPreempt(job, now)
	planned.ReserveRoom = job.IsGang() && now.Sub(job.Scheduling.GangPendingSince).Seconds() < reservationShare*expectedRunS
	planned.Preempting = now.Sub(job.Scheduling.PreemptingForGangAt) < p.config.CountedRunTime
	if planned.StarvedTasks = p.StarvedTasks(job, now); planned.StarvedTasks > 0 && job.IsGang() {
		planned.StarvedTasks = job.Pending.Count
	}
	return planned
}

// applyObjectives sets how soon the job should start, and whether it waits before it reclaims what
// its team is guaranteed.
func (p *Planner) applyObjectives(planned *placement.Job, job *cluster.Job, now time.Time, wallMs int64) {
	for _, objective := range p.config.Objectives {
		if objective.Kind == settings.ObjectiveGuarantee && job.Spec.Shape == jobs.Batch {
			planned.ReclaimDeferred = now.Sub(job.Scheduling.GuaranteedSince).Seconds() < PreemptionDelayShare*objective.WithinS
		}
		if objective.Kind == settings.ObjectiveWait && objective.Class == job.Spec.Class {
			planned.StartWithinS = objective.WithinS - p.config.ControlInterval.Seconds()*startMarginShare
			// Tasks to be placed again may take as long to restart as a first start.
			if !job.Pending.HasRetries() {
				planned.StartWithinS -= float64(wallMs-job.AcceptedMs) / 1000
			}
		}
	}
}

// StarvedTasks returns how many of the job's tasks are placed first because the job is starved:
// no task has run for longer than CountedRunTime within the StarvationLimit. A task that is
// stopped soon after its start does not count.
func (p *Planner) StarvedTasks(job *cluster.Job, now time.Time) int {
	if now.Sub(job.Scheduling.LastServedAt) <= p.config.StarvationLimit {
		return 0
	}
	placedFirst := 0
	for _, a := range job.Assignments {
		switch {
		case a.Outcome != cluster.Open || a.Stop.Requested:
		case a.Restored:
			return 0 // an assignment of an earlier leader counts as service while it exists
		case a.ObservedState == workers.StateRunning && now.Sub(a.RunningSince) > p.config.CountedRunTime:
			job.Scheduling.LastServedAt = now
			return 0
		case a.Starved:
			placedFirst++
		}
	}
	return max(0, min(job.Pending.Count, maxStarvedTasks(job)-placedFirst))
}

func maxStarvedTasks(job *cluster.Job) int {
	return int(math.Ceil(starvedShare * float64(job.Spec.Tasks)))
}

// RestoreAge restores the time for which a job has waited under earlier leaders. Otherwise its wait
// would start over with each new leader. If the job is starved and has no more assignments than may
// be placed first, they may have been placed that way, and are marked so.
func (p *Planner) RestoreAge(job *cluster.Job, age time.Duration, now time.Time) {
	job.Scheduling.LastServedAt = now.Add(-max(0, age))
	starved := job.Spec.RunsToCompletion() && now.Sub(job.Scheduling.LastServedAt) > p.config.StarvationLimit
	if !starved || len(job.Assignments) > maxStarvedTasks(job) {
		return
	}
	for _, a := range job.Assignments {
		a.Starved = true
	}
}
