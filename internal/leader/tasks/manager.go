// Package tasks carries assignments of tasks to machines through their life: from the decision
// over what workers show of them to the moment at which their end is durable. A gang, whose tasks
// run together or not at all, is carried through as a whole.
//
// Nothing here is safe for concurrent use; it belongs to the leader's event loop.
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

// Host is what a manager needs of the other parts of the leader.
type Host interface {
	// Notify has a worker told at once what it should do.
	Notify(m *cluster.Machine)
	// JobCompleted has the job's record written as done.
	JobCompleted(job *cluster.Job)
	// CountsChanged publishes how many tasks of the job are done and running.
	CountsChanged(job *cluster.Job)
	// RemoveIfSettled forgets the job if it is over and has no task anywhere.
	RemoveIfSettled(job *cluster.Job)
	// MayHaveUnknownTasks tells whether the assignment log may lack tasks of the job.
	MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool
}

// Deps is what a manager works with.
type Deps struct {
	Derived  settings.Derived
	Catalog  *cluster.Catalog
	Fencing  *fencing.Token
	Log      *assignmentlog.Log
	Planner  *planner.Planner
	RunTimes *runtimes.Estimator
	Host     Host
}

// Manager carries out what becomes of assignments.
type Manager struct {
	Deps
	lastAttempt uint64 // the highest number of an attempt that is known
}

// NewManager makes a manager whose attempts are numbered from above a number.
func NewManager(deps Deps, lastAttempt uint64) *Manager {
	return &Manager{Deps: deps, lastAttempt: lastAttempt}
}

// NextAttempt gives out the number of an attempt, which no other has or had.
func (m *Manager) NextAttempt() uint64 {
	m.lastAttempt++
	return m.lastAttempt
}

// ReserveAttempts makes all later numbers higher than one that is in use.
func (m *Manager) ReserveAttempts(upTo uint64) { m.lastAttempt = max(m.lastAttempt, upTo) }

// Assign gives a task to a machine, as far as this leader is concerned. The worker hears of it
// when that is durable.
func (m *Manager) Assign(job *cluster.Job, task int, machine *cluster.Machine, now time.Time) *cluster.Assignment {
	a := &cluster.Assignment{
		Job: job, Index: task, Attempt: m.NextAttempt(), Session: machine.Worker.Session, Machine: machine,
		RunningSince: now, CreatedAt: now,
	}
	if job.IsGang() {
		if a.GangAttempt = job.Gang.Number; a.GangAttempt == 0 {
			// The number of the first task is that of all; its own is another.
			a.GangAttempt, a.Attempt = a.Attempt, m.NextAttempt()
		}
		job.JoinGang(a)
	}
	slog.Debug("task placed", "task", a.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "class", job.Spec.Class)
	m.Planner.Capacity.Count(a)
	machine.Assignments[a.Attempt] = a
	job.Assignments[task] = a
	m.Log.QueueBegin(a)
	if !machine.Offer.Images[job.Spec.Image] {
		machine.Offer.Fetching[job.Spec.Image] = job.Spec.ImageGB
	}
	return a
}

// BeginDurable lets a worker hear of an assignment. Tasks of a gang go together.
func (m *Manager) BeginDurable(assignment *cluster.Assignment) {
	if assignment.Job.IsGang() {
		m.gangBeginDurable(assignment.Job)
		return
	}
	m.Host.Notify(assignment.Machine)
}

// Facts is an assignment as the reconcile package sees it.
func (m *Manager) Facts(assignment *cluster.Assignment, now time.Time) reconcile.Attempt {
	job := assignment.Job
	return reconcile.Attempt{
		Session: assignment.Session, Durable: assignment.Log.Durable, ObservedState: assignment.ObservedState,
		CommandPending: assignment.Start.RequestInFlight, Sent: assignment.Start.Sent, InDoubtToken: assignment.Start.InDoubtToken,
		RunsToCompletion: job.Spec.RunsToCompletion(), JobFinished: job.IsOver(), JobCancelled: job.End.Cancelled,
		Preempted: assignment.Stop.Requested, GraceS: assignment.Stop.GraceS,
		GangReady: assignment.MayRun(),
		// The log may be older than it was: the task may be over, or be elsewhere.
		RecordsIncomplete: assignment.Restored && assignment.ObservedState == "" && m.Host.MayHaveUnknownTasks(job, now),
	}
}

// Stop stops a task, and with it the gang that it is one of. The grace is the time to save a
// checkpoint, in seconds.
func (m *Manager) Stop(assignment *cluster.Assignment, graceS float64) {
	if assignment.Job.IsGang() {
		m.StopGang(assignment.Job, graceS)
		return
	}
	assignment.Stop.Requested, assignment.Stop.GraceS = true, graceS
	m.EndIfUnsent(assignment)
}

// EndIfUnsent ends an assignment that no worker can have heard of. Else its worker is told.
func (m *Manager) EndIfUnsent(assignment *cluster.Assignment) {
	if assignment.ObservedState == "" && !assignment.Start.Sent && !assignment.Start.RequestInFlight && assignment.Start.InDoubtToken == 0 {
		m.End(assignment, cluster.Retry)
		return
	}
	m.Host.Notify(assignment.Machine)
}

// EndAllOn ends all assignments of a machine on which nothing can run any more.
func (m *Manager) EndAllOn(machine *cluster.Machine, reason string) {
	for _, a := range machine.Assignments {
		if a.Outcome == cluster.Open {
			slog.Info("task lost", "task", a.TaskName(), "machine", machine.ID, "term", m.Fencing.Current, "reason", reason)
			m.End(a, cluster.Retry)
		}
	}
}

// End ends an assignment whose task is certainly off its machine. It is removed, and a task that
// is not done pending again, once that is durable: until then a new leader would still find it
// there.
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
	m.Planner.Requested = true
	if assignment.Job.IsGang() {
		m.leaveGang(assignment.Job)
	}
}

// completeTask marks a task as done, with all others of its gang.
func (m *Manager) completeTask(assignment *cluster.Assignment) {
	job := assignment.Job
	if job.IsOver() || !job.MarkTaskDone(assignment.Index) {
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

// CompleteJob lets the record be written of a job all of whose tasks are done.
func (m *Manager) CompleteJob(job *cluster.Job) {
	job.End.Complete = true
	m.RunTimes.JobCompleted(job)
	m.Host.JobCompleted(job)
}

// dropUnneededFetch notes that a machine fetches an image no more if no task there waits for it.
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

// Remove drops an assignment whose end is durable. A task that is not done is pending again.
func (m *Manager) Remove(assignment *cluster.Assignment) {
	job, machine := assignment.Job, assignment.Machine
	delete(machine.Assignments, assignment.Attempt)
	if len(machine.Assignments) == 0 {
		machine.Rental.IdleSince = time.Now()
	}
	if job.RemoveAssignment(assignment) {
		if len(job.Assignments) == 0 {
			job.Gang, job.Scheduling.GangPendingSince = cluster.GangAttempt{}, time.Now()
		}
		if assignment.Outcome == cluster.Retry && !job.IsOver() {
			job.RequeueTask(assignment.Index)
			m.Planner.Enqueue(job)
		}
	}
	m.Planner.Requested = true
	m.Host.RemoveIfSettled(job)
}

// setObservedState notes the state in which a worker shows a task; empty if it does not.
func setObservedState(assignment *cluster.Assignment, state string) {
	if assignment.ObservedState == workers.StateRunning {
		assignment.Job.Running--
	}
	if state == workers.StateRunning {
		assignment.Job.Running++
	}
	assignment.ObservedState = state
}
