// Package tasks manages the lifecycle of assignments of tasks to machines: from the placement
// decision, through the states that workers report, until the end of the assignment is durable. The
// tasks of a gang, which run together or not at all, are managed as a unit.
//
// The package is not safe for concurrent use: all calls are made on the leader's event loop.
package tasks

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Host provides what a manager needs from the other parts of the leader.
type Host interface {
	// Notify queues a command request to the machine's worker.
	Notify(m *cluster.Machine)
	// JobCompleted queues the write of the job's record as done.
	JobCompleted(job *cluster.Job)
	// CountsChanged publishes how many tasks of the job are done and running.
	CountsChanged(job *cluster.Job)
	// RemoveIfFinished drops the job from memory if it is finished and has no task on any machine.
	RemoveIfFinished(job *cluster.Job)
	// MayHaveUnknownTasks reports whether the assignment log may lack tasks of the job.
	MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool
}

// Deps holds the dependencies of a manager.
type Deps struct {
	Derived  settings.Derived
	Catalog  *cluster.Catalog
	Fencing  *fencing.Token
	Log      *assignmentlog.Log
	Planner  *planner.Planner
	RunTimes *runtimes.Estimator
	Host     Host
}

// Manager creates assignments, applies worker reports to them, and ends them.
type Manager struct {
	Deps
	lastAttempt uint64 // the highest known attempt number
}

// NewManager returns a manager whose attempt numbers start at lastAttempt+1.
func NewManager(deps Deps, lastAttempt uint64) *Manager {
	return &Manager{Deps: deps, lastAttempt: lastAttempt}
}

// NextAttempt returns a new attempt number, higher than all known ones.
func (m *Manager) NextAttempt() uint64 {
	m.lastAttempt++
	return m.lastAttempt
}

// ReserveAttempts makes all later attempt numbers higher than upTo.
func (m *Manager) ReserveAttempts(upTo uint64) { m.lastAttempt = max(m.lastAttempt, upTo) }

// Assign assigns a task to a machine in memory and queues the assignment for the log. The start
// command is sent only once the assignment is durable.
func (m *Manager) Assign(job *cluster.Job, task int, machine *cluster.Machine, now time.Time) *cluster.Assignment {
	a := &cluster.Assignment{
		Job: job, Index: task, Attempt: m.NextAttempt(), AgentEpoch: machine.Worker.AgentEpoch, Machine: machine,
		RunningSince: now, CreatedAt: now,
	}
	if job.IsGang() {
		if a.GangAttempt = job.Gang.Number; a.GangAttempt == 0 {
			// The gang shares the first number; its first task needs another of its own.
			a.GangAttempt, a.Attempt = a.Attempt, m.NextAttempt()
		}
		job.JoinGang(a)
	}
	slog.Debug("task placed", "task", a.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "class", job.Spec.Class)
	m.Planner.Capacity.Allocate(a)
	machine.Assignments[a.Attempt] = a
	job.Assignments[task] = a
	m.Log.QueueStart(a)
	if !machine.Offer.Images[job.Spec.Image] {
		machine.Offer.Fetching[job.Spec.Image] = job.Spec.ImageGB
	}
	return a
}

// AssignmentDurable notifies the worker of an assignment that has become durable. For a gang, all
// workers are notified once all assignments are durable.
func (m *Manager) AssignmentDurable(assignment *cluster.Assignment) {
	if assignment.Job.IsGang() {
		m.countDurableGangAssignment(assignment.Job)
		return
	}
	m.Host.Notify(assignment.Machine)
}

// AttemptState returns the input of reconciliation for an assignment.
func (m *Manager) AttemptState(assignment *cluster.Assignment, now time.Time) reconcile.Attempt {
	job := assignment.Job
	return reconcile.Attempt{
		AgentEpoch: assignment.AgentEpoch, Durable: assignment.Log.Durable, ObservedState: assignment.ObservedState,
		CommandPending: assignment.Start.RequestInFlight || assignment.Start.InResponse, Sent: assignment.Start.Sent, InDoubtToken: assignment.Start.InDoubtToken,
		RunsToCompletion: job.Spec.RunsToCompletion(), JobFinished: job.IsFinished(), JobCancelled: job.End.Cancelled,
		Preempted: assignment.Stop.Requested, GraceS: assignment.Stop.GraceS,
		GangReady: assignment.MayRun(),
		// The log may lack its newest records: the task may have ended, or may run elsewhere.
		RecordsIncomplete: assignment.Restored && assignment.ObservedState == "" && m.Host.MayHaveUnknownTasks(job, now),
	}
}

// Stop requests that a task stop, with graceS seconds to save a checkpoint. If the task is part of
// a gang, the whole gang stops.
func (m *Manager) Stop(assignment *cluster.Assignment, graceS float64) {
	if assignment.Job.IsGang() {
		m.StopGang(assignment.Job, graceS)
		return
	}
	assignment.Stop.Requested, assignment.Stop.GraceS = true, graceS
	m.EndIfUnsent(assignment)
}

// EndIfUnsent ends the assignment if its worker cannot have received a start command. Otherwise it
// notifies the worker.
func (m *Manager) EndIfUnsent(assignment *cluster.Assignment) {
	if assignment.ObservedState == "" && !assignment.Start.Sent && !assignment.Start.RequestInFlight && assignment.Start.InDoubtToken == 0 {
		m.End(assignment, cluster.Retry)
		return
	}
	m.Host.Notify(assignment.Machine)
}

// EndAssignmentsOn ends all open assignments of a machine on which no task can be running any more.
// It logs the reason.
func (m *Manager) EndAssignmentsOn(machine *cluster.Machine, reason string) {
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open {
			slog.Info("task lost", "task", a.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "reason", reason)
			m.End(a, cluster.Retry)
		}
	}
}

// End ends an assignment whose task is certainly off its machine. Only when the end is durable is
// the assignment removed, and its task requeued if it is not done: until then a new leader would
// still find the assignment in the log.
func (m *Manager) End(assignment *cluster.Assignment, outcome cluster.Outcome) {
	if assignment.Outcome != cluster.Open {
		return
	}
	setObservedState(assignment, "")
	assignment.Outcome = outcome
	m.Planner.Capacity.Release(assignment)
	if outcome == cluster.Success {
		m.completeTask(assignment)
	}
	dropUnneededFetch(assignment)
	m.Log.QueueEnd(assignment)
	m.Host.CountsChanged(assignment.Job)
	m.Planner.PlanRequested = true
	if assignment.Job.IsGang() {
		m.removeFromGang(assignment.Job)
	}
}

// completeTask marks the assignment's task as done. For a gang, it marks all of the gang's tasks.
func (m *Manager) completeTask(assignment *cluster.Assignment) {
	job := assignment.Job
	if job.IsFinished() || !job.MarkTaskDone(assignment.Index) {
		return
	}
	if job.IsGang() {
		for index := range job.Spec.Tasks {
			job.MarkTaskDone(index)
		}
	}
	if job.Completions.Count == job.Spec.Tasks {
		m.CompleteJob(job)
	} else {
		m.Log.QueueCompletion(job, assignment.Index)
	}
}

// CompleteJob marks a job as complete and queues the write of its record. All of the job's tasks
// must be done.
func (m *Manager) CompleteJob(job *cluster.Job) {
	job.End.Complete = true
	m.RunTimes.JobCompleted(job)
	m.Host.JobCompleted(job)
}

// dropUnneededFetch removes the ended task's image from the images that the machine is fetching,
// unless another open assignment there needs it.
func dropUnneededFetch(ended *cluster.Assignment) {
	machine, image := ended.Machine, ended.Job.Spec.Image
	if machine.Offer.Images[image] {
		return
	}
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open && a.Job.Spec.Image == image {
			return
		}
	}
	delete(machine.Offer.Fetching, image)
}

// Remove removes an assignment whose end is durable. If its task is not done and its job is
// unfinished, the task is requeued.
func (m *Manager) Remove(assignment *cluster.Assignment) {
	job, machine := assignment.Job, assignment.Machine
	delete(machine.Assignments, assignment.Attempt)
	if len(machine.Assignments) == 0 {
		machine.Cloud.IdleSince = time.Now()
	}
	if job.RemoveAssignment(assignment) {
		if len(job.Assignments) == 0 {
			job.Gang, job.Scheduling.GangPendingSince = cluster.GangAttempt{}, time.Now()
		}
		if assignment.Outcome == cluster.Retry && !job.IsFinished() {
			job.RequeueTask(assignment.Index)
			m.Planner.Enqueue(job)
		}
	}
	m.Planner.PlanRequested = true
	m.Host.RemoveIfFinished(job)
}

// setObservedState sets the state in which the worker reports the task, empty if it does not list
// the task, and keeps the job's count of running tasks.
func setObservedState(assignment *cluster.Assignment, state string) {
	if assignment.ObservedState == workers.StateRunning {
		assignment.Job.Running--
	}
	if state == workers.StateRunning {
		assignment.Job.Running++
	}
	assignment.ObservedState = state
}
