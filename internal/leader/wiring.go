package leader

import (
	"context"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/leader/loader"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/writer"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// This file connects the parts of a leader: the dependencies of each part and its access to the
// other parts. No part is given the Leader itself, only an interface that the part defines.

// loopHost gives parts with asynchronous requests access to the event loop, which handles the
// results.
type loopHost struct{ l *Leader }

// IsLeader reports whether this controller holds the term now.
func (h loopHost) IsLeader() bool { return h.l.IsLeader() }

// Post queues apply for the event loop.
func (h loopHost) Post(ctx context.Context, apply func(now time.Time)) { h.l.post(ctx, apply) }

// PostAfter posts apply after delay.
func (h loopHost) PostAfter(ctx context.Context, delay time.Duration, apply func()) {
	h.l.postAfter(ctx, delay, apply)
}

// taskDeps returns the dependencies of the task manager.
func taskDeps(l *Leader) tasks.Deps {
	return tasks.Deps{
		Derived: l.Derived, Catalog: l.catalog, Fencing: l.fencing, Log: l.log, Planner: l.planner,
		RunTimes: l.runTimes, Host: taskHost{l},
	}
}

// taskHost implements tasks.Host.
type taskHost struct{ l *Leader }

var _ tasks.Host = taskHost{}

func (h taskHost) Notify(machine *cluster.Machine)   { h.l.dispatcher.Notify(machine) }
func (h taskHost) CountsChanged(job *cluster.Job)    { h.l.jobs.PublishCounts(job) }
func (h taskHost) RemoveIfFinished(job *cluster.Job) { h.l.jobs.RemoveIfFinished(job) }
func (h taskHost) JobCompleted(job *cluster.Job)     { h.l.jobs.QueueCompleted(job) }

func (h taskHost) MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool {
	return h.l.recovery.BlocksPlacement(job, now)
}

// dispatchDeps returns the dependencies of the command dispatcher.
func dispatchDeps(l *Leader) dispatch.Deps {
	return dispatch.Deps{
		Derived: l.Derived, Client: l.Workers, State: l.state, Catalog: l.catalog, Fencing: l.fencing,
		Detector: l.detector, Failover: l.failover, Planner: l.planner, Tasks: l.tasks, Host: dispatchHost{loopHost{l}},
	}
}

// dispatchHost implements dispatch.Host.
type dispatchHost struct{ loopHost }

var _ dispatch.Host = dispatchHost{}

func (h dispatchHost) IsCancelled(job string) bool { return h.l.isCancelled(job) }

func (h dispatchHost) MustKeepOrphan(machine *cluster.Machine, task *workers.TaskStatus) bool {
	return h.l.recovery.MustKeepOrphan(machine, task)
}

// trackerDeps returns the dependencies of the job tracker.
func trackerDeps(l *Leader) jobtracker.Deps {
	return jobtracker.Deps{
		Derived: l.Derived, Store: l.Store, Cache: l.Cache, Counts: l.Counts, State: l.state, Fencing: l.fencing,
		Planner: l.planner, Tasks: l.tasks, Scaler: l.scaler, Recovery: l.recovery, Post: l.post,
	}
}

// writerDeps returns the dependencies of the record writer.
func writerDeps(l *Leader) writer.Deps {
	return writer.Deps{
		Derived: l.Derived, Store: l.Store, Term: l.term, State: l.state, Fencing: l.fencing, Log: l.log,
		Jobs: l.jobs, Tasks: l.tasks, Recovery: l.recovery, Host: writerHost{loopHost{l}},
	}
}

// writerHost implements writer.Host.
type writerHost struct{ loopHost }

var _ writer.Host = writerHost{}

func (h writerHost) TokenRaised() { h.l.applyTokenRaise() }
func (h writerHost) Resign()      { h.l.loop.resigning = true }

// newLoader returns the loader that fills the leader's parts from the records.
func newLoader(l *Leader) *loader.Loader {
	return &loader.Loader{
		Derived: l.Derived, LogConfig: logConfig(l.Derived), Store: l.Store, Cache: l.Cache, State: l.state,
		Fencing: l.fencing, Detector: l.detector, Failover: l.failover, Log: l.log, Planner: l.planner, Jobs: l.jobs,
		Tasks: l.tasks, Dispatcher: l.dispatcher, Scaler: l.scaler, Recovery: l.recovery,
	}
}

// planConstraints implements planner.Constraints.
type planConstraints struct{ l *Leader }

var _ planner.Constraints = planConstraints{}

func (c planConstraints) MayPreempt(job *cluster.Job, now time.Time) bool {
	return c.l.mayPreempt(job, now)
}

func (c planConstraints) MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool {
	return c.l.recovery.BlocksPlacement(job, now)
}

func (c planConstraints) AddHeldUsage(usedByTeam map[string]placement.Resources) {
	c.l.recovery.AddHeldUsage(usedByTeam)
}

// scalerHost implements scaler.Host.
type scalerHost struct{ l *Leader }

func (h scalerHost) Term() uint64 { return h.l.fencing.TermToken }

func (h scalerHost) Token() uint64 { return h.l.fencing.Current }

func (h scalerHost) RunTimeS(spec *jobs.Spec) float64 { return h.l.runTimes.RunTimeS(spec) }

func (h scalerHost) IsUsable(machine *cluster.Machine, now time.Time) bool {
	return h.l.acceptsWork(machine, now)
}

func (h scalerHost) MayHaveUnknownTasks(machine *cluster.Machine) bool {
	return h.l.recovery.MayHaveUnknownTasks(machine)
}

func (h scalerHost) IsZoneSilent(zone string, now time.Time, within time.Duration) bool {
	return h.l.detector.ZoneFellSilent(zone, now, within)
}

func (h scalerHost) SuspectMachine(id string) { h.l.detector.Suspect(id) }

func (h scalerHost) WithdrawOffer(machine *cluster.Machine) { h.l.planner.Capacity.Withdraw(machine) }

func (h scalerHost) RemoveMachine(machine *cluster.Machine) {
	h.l.tasks.EndAssignmentsOn(machine, "machine given back")
	h.l.detector.Forget(machine.ID)
	h.l.state.Machines.Remove(machine)
	h.l.failover.MachineGone(machine.ID)
}

func (h scalerHost) RequestPlan() { h.l.planner.PlanRequested = true }

// recoveryHost implements recoverer.Leader.
type recoveryHost struct{ l *Leader }

var _ recoverer.Leader = recoveryHost{}

func (c recoveryHost) Tokens() recoverer.Tokens {
	return recoverer.Tokens{Current: c.l.fencing.Current, TermToken: c.l.fencing.TermToken, Floor: c.l.fencing.RaiseAbove}
}

func (c recoveryHost) RequestTokenRaise() { c.l.fencing.RequestRaise() }

func (c recoveryHost) RaiseTokenAbove(floor uint64) { c.l.fencing.RequestRaiseAbove(floor) }

func (c recoveryHost) Resign() { c.l.loop.resigning = true }

func (c recoveryHost) NextAttempt() uint64 { return c.l.tasks.NextAttempt() }

func (c recoveryHost) ReserveAttempts(upTo uint64) { c.l.tasks.ReserveAttempts(upTo) }

func (c recoveryHost) CancelJob(job *cluster.Job, revision uint64) { c.l.jobs.Cancel(job, revision) }

func (c recoveryHost) CompleteElsewhere(job *cluster.Job) { c.l.jobs.CompleteElsewhere(job) }

func (c recoveryHost) JobChanged(change kvstore.Change, now time.Time) {
	c.l.jobs.Apply(change, now)
}

func (c recoveryHost) QueueJob(job *cluster.Job) { c.l.planner.Enqueue(job) }

func (c recoveryHost) StopGang(job *cluster.Job) { c.l.tasks.StopGang(job, 0) }

func (c recoveryHost) CountAssignment(a *cluster.Assignment) { c.l.planner.Capacity.Allocate(a) }

func (c recoveryHost) RequestPlan() { c.l.planner.PlanRequested = true }
