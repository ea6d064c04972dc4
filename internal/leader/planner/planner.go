// Package planner decides which pending tasks go to which machines, and which running ones are
// preempted for them. It keeps the queue of jobs with pending tasks and the capacity that is
// in use; placement does the bin packing. A plan is returned, and carried out by the leader.
//
// Nothing here is safe for concurrent use; it belongs to the leader's event loop.
package planner

import (
	"cmp"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Config is what plans go by, from the settings.
type Config struct {
	Teams           []settings.Team
	Objectives      []settings.Objective
	ControlInterval time.Duration
	StarvationLimit time.Duration // a job that got nothing for so long goes first
	CountedRunTime  time.Duration // a shorter run counts as nothing
}

// Constraints is what other parts of the leader know of a job.
type Constraints interface {
	// MayPreempt tells whether tasks of others may be stopped for the job.
	MayPreempt(job *cluster.Job, now time.Time) bool
	// MayHaveUnknownTasks tells whether tasks of the job, or of its team, may be on machines
	// without being counted. None is placed then.
	MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool
	// AddHeldUsage adds what tasks of jobs take that are held, and have no assignments.
	AddHeldUsage(usedByTeam map[string]placement.Resources)
}

// Planner is the queue of jobs with pending tasks, and what plans need besides.
type Planner struct {
	Capacity *Capacity

	// Requested says that a plan is to be made as soon as it is time for one.
	Requested bool
	// GuaranteesStale says that which jobs fit within their teams' guarantees is to be found
	// out anew.
	GuaranteesStale bool
	// Unmet is the tasks that the last plan found no room for.
	Unmet []placement.Demand

	config      Config
	state       *cluster.State
	runTimes    *runtimes.Estimator
	constraints Constraints

	queued      map[*cluster.Job]bool
	last        Plan // whose memory the next one takes
	lastStarted time.Time
	lastTook    time.Duration
}

// New makes a planner with an empty queue.
func New(config Config, state *cluster.State, runTimes *runtimes.Estimator, machineType func(name string) *jobs.MachineType, constraints Constraints) *Planner {
	return &Planner{
		Capacity: NewCapacity(machineType), config: config, state: state, runTimes: runTimes, constraints: constraints,
		queued: map[*cluster.Job]bool{},
	}
}

// Plan is what the leader is to carry out, in this order. It is valid until the next one is made.
type Plan struct {
	Preemptions []Preemption
	Placements  []Placement
}

// Preemption is a task to be stopped to make room.
type Preemption struct {
	Assignment *cluster.Assignment
	GraceS     float64 // time to save a checkpoint
}

// Placement is one pending task of a job to be placed on a machine.
type Placement struct {
	Job     *cluster.Job
	Machine *cluster.Machine
	Starved bool // it goes first, as the job had got nothing for too long
}

const (
	// MaxTimeShare bounds the part of the time that planning takes: heartbeats, renewals and
	// cancellations have to get through as well.
	MaxTimeShare = 0.2

	plansPerInterval = 32 // at most
)

// IsDue tells whether a plan is requested and it is time for one.
func (p *Planner) IsDue(now time.Time) bool {
	return p.Requested && now.Sub(p.lastStarted) >= max(p.config.ControlInterval/plansPerInterval, cluster.ScaleDuration(p.lastTook, 1/MaxTimeShare))
}

// Enqueue notes that a job has pending tasks, if it has.
func (p *Planner) Enqueue(job *cluster.Job) {
	if job.Pending.Count > 0 && !job.IsOver() {
		p.queued[job] = true
	}
}

// Forget drops a job that is settled.
func (p *Planner) Forget(job *cluster.Job) {
	delete(p.queued, job)
	p.GuaranteesStale = true
}

// Plan plans on the cluster's state as it is.
func (p *Planner) Plan(now time.Time) Plan {
	p.Requested, p.lastStarted = false, now
	if p.GuaranteesStale {
		p.updateGuarantees(now)
	}
	input := placement.Input{
		Teams: p.config.Teams, UsedByTeam: p.Capacity.usage(), Index: &p.Capacity.index,
		LowestRank: p.Capacity.lowestRank(),
	}
	p.constraints.AddHeldUsage(input.UsedByTeam)
	jobOf := map[*placement.Job]*cluster.Job{}
	input.Jobs = p.queuedJobs(jobOf, now)
	running := newRunningTasks()
	input.LoadTasks = func(offer *placement.Machine) {
		running.load(offer, p.state.Machines.ByID[offer.ID].Assignments, now)
	}
	output := placement.Plan(input)
	for _, job := range output.Preempting {
		jobOf[job].Scheduling.PreemptingForGangAt = now
	}
	p.Unmet = output.Unmet
	return p.plan(output, jobOf, running)
}

// Finished notes how long it took to make a plan and to carry it out.
func (p *Planner) Finished(took time.Duration) { p.lastTook = took }

// queuedJobs is the queue as placement sees it, in the order of acceptance.
func (p *Planner) queuedJobs(jobOf map[*placement.Job]*cluster.Job, now time.Time) (queue []*placement.Job) {
	wallMs := now.UnixMilli()
	for job := range p.queued {
		switch {
		case job.IsOver() || job.Pending.Count == 0:
			delete(p.queued, job)
		case job.IsGang() && len(job.Assignments) > 0:
			// Looked at again when the last task of its attempt is removed. Were it begun
			// with those whose ends are durable first, it would stay a part of the gang.
		case now.Before(job.Scheduling.BackoffUntil), p.constraints.MayHaveUnknownTasks(job, now):
			p.Requested = true
		default:
			planned := p.plannedJob(job, now, wallMs)
			jobOf[planned] = job
			queue = append(queue, planned)
		}
	}
	slices.SortFunc(queue, func(a, b *placement.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return queue
}

// plan is placement's output in the leader's terms.
func (p *Planner) plan(output placement.Output, jobOf map[*placement.Job]*cluster.Job, running runningTasks) Plan {
	plan := Plan{Preemptions: p.last.Preemptions[:0], Placements: p.last.Placements[:0]}
	for _, preempted := range output.Preemptions {
		a, graceS := running.assignmentOf[preempted.Task], 0.0
		if !preempted.WithoutGrace {
			graceS = a.Job.Spec.CheckpointSaveS
		}
		plan.Preemptions = append(plan.Preemptions, Preemption{a, graceS})
	}
	for _, assigned := range output.Assignments {
		plan.Placements = append(plan.Placements, Placement{
			Job: jobOf[assigned.Job], Machine: p.state.Machines.ByID[assigned.Machine.ID], Starved: assigned.Starved,
		})
	}
	p.last = plan
	return plan
}

// runningTasks shows placement the tasks on machines, for one plan.
type runningTasks struct {
	jobs         map[*cluster.Job]*placement.Job
	assignmentOf map[*placement.RunningTask]*cluster.Assignment
}

func newRunningTasks() runningTasks {
	return runningTasks{
		jobs: map[*cluster.Job]*placement.Job{}, assignmentOf: map[*placement.RunningTask]*cluster.Assignment{},
	}
}

// load shows what could be stopped on a machine, and what is stopping already.
func (r runningTasks) load(offer *placement.Machine, assignments map[uint64]*cluster.Assignment, now time.Time) {
	offer.Releasing, offer.Tasks = placement.Resources{}, offer.Tasks[:0]
	for _, a := range assignments {
		switch {
		case a.Outcome != cluster.Open:
		case a.Stop.Requested || a.Job.IsOver():
			offer.Releasing = offer.Releasing.AddTimes(placement.TaskRequest(a.Job.Spec), 1)
		case a.Log.Durable:
			task := r.task(a, now)
			r.assignmentOf[task] = a
			offer.Tasks = append(offer.Tasks, task)
		}
	}
	slices.SortFunc(offer.Tasks, func(a, b *placement.RunningTask) int {
		return cmp.Compare(r.assignmentOf[a].Attempt, r.assignmentOf[b].Attempt)
	})
}

func (r runningTasks) task(assignment *cluster.Assignment, now time.Time) *placement.RunningTask {
	job := r.jobs[assignment.Job]
	if job == nil {
		job = &placement.Job{Spec: assignment.Job.Spec, Guaranteed: assignment.Job.Scheduling.WithinGuarantee}
		r.jobs[assignment.Job] = job
	}
	task := &placement.RunningTask{Job: job, Index: assignment.Index, Starved: assignment.Overdue}
	if assignment.ObservedState == workers.StateRunning {
		task.LostRunS = now.Sub(assignment.RunningSince).Seconds()
	}
	if assignment.Job.IsGang() {
		task.GangTasks = assignment.Job.Spec.Tasks
	}
	return task
}
