// Package planner decides which pending tasks are placed on which machines, and which running tasks
// are preempted for them. It keeps the queue of jobs with pending tasks and the capacity in use;
// package placement does the bin packing. The leader carries out the plans.
//
// The package is not safe for concurrent use: all calls are made on the leader's event loop.
package planner

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Config holds the settings that plans depend on.
type Config struct {
	Teams           []settings.Team
	Objectives      []settings.Objective
	ControlInterval time.Duration
	StarvationLimit time.Duration // a job that has not been served for longer is starved
	CountedRunTime  time.Duration // a job is served once one of its tasks has run for longer
}

// Constraints provides what other parts of the leader know about jobs.
type Constraints interface {
	// MayPreempt reports whether tasks of other jobs may be preempted for the job.
	MayPreempt(job *cluster.Job, now time.Time) bool
	// MayHaveUnknownTasks reports whether tasks of the job, or of its team, may be on machines
	// without being counted. No task of the job is placed while they may.
	MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool
	// AddHeldUsage adds the resources of the tasks of held jobs, which have no assignments.
	AddHeldUsage(usedByTeam map[string]placement.Resources)
}

// Planner makes plans from the queue of jobs with pending tasks and the capacity in use.
type Planner struct {
	Capacity *Capacity

	// PlanRequested is set when a plan is needed. The plan is made once IsDue permits it.
	PlanRequested bool
	// GuaranteesStale is set when the jobs within their teams' guarantees must be determined
	// again.
	GuaranteesStale bool
	// UnmetDemand holds the tasks for which the last plan found no capacity.
	UnmetDemand []placement.Demand

	config      Config
	state       *cluster.State
	runTimes    *runtimes.Estimator
	constraints Constraints

	queued        map[*cluster.Job]bool
	previousPlan  Plan // its memory is reused by the next plan
	lastStartedAt time.Time
	lastDuration  time.Duration
}

// New returns a planner with an empty queue.
func New(config Config, state *cluster.State, runTimes *runtimes.Estimator, machineType func(name string) *jobs.MachineType, constraints Constraints) *Planner {
	return &Planner{
		Capacity: NewCapacity(machineType), config: config, state: state, runTimes: runTimes, constraints: constraints,
		queued: map[*cluster.Job]bool{},
	}
}

// Plan lists what the leader is to do: first the preemptions, then the placements. It is valid
// until the next plan is made.
type Plan struct {
	Preemptions []Preemption
	Placements  []Placement
}

// Preemption is a task to be stopped to make room for others.
type Preemption struct {
	Assignment *cluster.Assignment
	GraceS     float64 // time to save a checkpoint, in seconds
}

// Placement assigns one pending task of a job to a machine.
type Placement struct {
	Job     *cluster.Job
	Machine *cluster.Machine
	Starved bool // placed ahead of other jobs because the job was starved
}

const (
	// MaxPlanningTimeShare is the largest share of the event loop's time that planning may take, so
	// that it does not delay heartbeats, lease renewals and cancellations.
	MaxPlanningTimeShare = 0.2

	maxPlansPerInterval = 32 // limit of plans per control interval
)

// IsDue reports whether a plan is requested and enough time has passed since the last one started.
func (p *Planner) IsDue(now time.Time) bool {
	return p.PlanRequested && now.Sub(p.lastStartedAt) >= max(p.config.ControlInterval/maxPlansPerInterval, cluster.ScaleDuration(p.lastDuration, 1/MaxPlanningTimeShare))
}

// Enqueue adds the job to the queue if it is unfinished and has pending tasks.
func (p *Planner) Enqueue(job *cluster.Job) {
	if job.Pending.Count > 0 && !job.IsFinished() {
		p.queued[job] = true
	}
}

// Forget removes a finished job from the queue. Its end can change which other jobs are within their
// teams' guarantees.
func (p *Planner) Forget(job *cluster.Job) {
	delete(p.queued, job)
	p.GuaranteesStale = true
}

// Plan returns a plan for the current state of the cluster.
func (p *Planner) Plan(now time.Time) Plan {
	p.PlanRequested, p.lastStartedAt = false, now
	if p.GuaranteesStale {
		p.updateGuarantees(now)
	}
	input := placement.Input{
		Teams: p.config.Teams, UsedByTeam: p.Capacity.copyUsage(), Index: &p.Capacity.index,
		LowestRank: p.Capacity.lowestRank(),
	}
	p.constraints.AddHeldUsage(input.UsedByTeam)
	clusterJobs := map[*placement.Job]*cluster.Job{}
	input.Jobs = p.placementQueue(clusterJobs, now)
	running := newRunningTasks()
	input.LoadTasks = func(offer *placement.Machine) {
		running.load(offer, p.state.Machines.ByID[offer.ID].Assignments, now)
	}
	output := placement.Plan(input)
	for _, job := range output.PreemptingGangs {
		clusterJobs[job].Scheduling.PreemptingForGangAt = now
	}
	p.UnmetDemand = output.Unmet
	return p.convertPlan(output, clusterJobs, running)
}

// RecordDuration records how long it took to make a plan and to carry it out.
func (p *Planner) RecordDuration(took time.Duration) { p.lastDuration = took }

// placementQueue returns the queue as input for placement, in the order of acceptance, and adds its
// jobs to clusterJobs. It drops jobs without pending tasks from the queue.
func (p *Planner) placementQueue(clusterJobs map[*placement.Job]*cluster.Job, now time.Time) (queue []*placement.Job) {
	wallMs := now.UnixMilli()
	for job := range p.queued {
		switch {
		case job.IsFinished() || job.Pending.Count == 0:
			delete(p.queued, job)
		case job.IsGang() && len(job.Assignments) > 0:
			// The gang is queued again when the last task of its attempt is removed. If
			// the next attempt started with only the tasks whose ends are durable, the
			// gang would never be complete.
		case now.Before(job.Scheduling.BackoffUntil), p.constraints.MayHaveUnknownTasks(job, now):
			p.PlanRequested = true
		default:
			planned := p.placementJob(job, now, wallMs)
			clusterJobs[planned] = job
			queue = append(queue, planned)
		}
	}
	slices.SortFunc(queue, func(a, b *placement.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return queue
}

// convertPlan converts the output of placement into a Plan.
func (p *Planner) convertPlan(output placement.Output, clusterJobs map[*placement.Job]*cluster.Job, running runningTasks) Plan {
	plan := Plan{Preemptions: p.previousPlan.Preemptions[:0], Placements: p.previousPlan.Placements[:0]}
	for _, preempted := range output.Preemptions {
		a, graceS := running.assignmentByTask[preempted.Task], 0.0
		if !preempted.WithoutGrace {
			graceS = a.Job.Spec.CheckpointSaveS
		}
		slog.Debug("task preempted", "task", a.TaskName(), "machine", a.Machine.ID, "for", preempted.For.Spec.ID)
		plan.Preemptions = append(plan.Preemptions, Preemption{a, graceS})
	}
	for _, assigned := range output.Assignments {
		plan.Placements = append(plan.Placements, Placement{
			Job: clusterJobs[assigned.Job], Machine: p.state.Machines.ByID[assigned.Machine.ID], Starved: assigned.Starved,
		})
	}
	p.previousPlan = plan
	return plan
}

// runningTasks converts the tasks on machines into input for placement, for one plan.
type runningTasks struct {
	jobs             map[*cluster.Job]*placement.Job
	assignmentByTask map[*placement.RunningTask]*cluster.Assignment
}

func newRunningTasks() runningTasks {
	return runningTasks{
		jobs: map[*cluster.Job]*placement.Job{}, assignmentByTask: map[*placement.RunningTask]*cluster.Assignment{},
	}
}

// load sets the tasks that could be preempted on a machine, and the resources of those that are
// already stopping.
func (r runningTasks) load(offer *placement.Machine, assignments map[uint64]*cluster.Assignment, now time.Time) {
	offer.Releasing, offer.Tasks = placement.Resources{}, offer.Tasks[:0]
	for _, a := range assignments {
		switch {
		case a.Outcome != cluster.Open:
		case a.Stop.Requested || a.Job.IsFinished():
			offer.Releasing = offer.Releasing.AddTimes(placement.TaskRequest(a.Job.Spec), 1)
		case a.Log.Durable:
			task := r.task(a, now)
			r.assignmentByTask[task] = a
			offer.Tasks = append(offer.Tasks, task)
		}
	}
	slices.SortFunc(offer.Tasks, func(a, b *placement.RunningTask) int {
		return cmp.Compare(r.assignmentByTask[a].Attempt, r.assignmentByTask[b].Attempt)
	})
}

func (r runningTasks) task(assignment *cluster.Assignment, now time.Time) *placement.RunningTask {
	job := r.jobs[assignment.Job]
	if job == nil {
		job = &placement.Job{Spec: assignment.Job.Spec, Guaranteed: assignment.Job.Scheduling.WithinGuarantee}
		r.jobs[assignment.Job] = job
	}
	task := &placement.RunningTask{Job: job, Index: assignment.Index, Starved: assignment.Starved}
	if assignment.ObservedState == workers.StateRunning {
		task.LostRunS = now.Sub(assignment.RunningSince).Seconds()
	}
	if assignment.Job.IsGang() {
		task.GangTasks = assignment.Job.Spec.Tasks
	}
	return task
}
