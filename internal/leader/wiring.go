package leader

import (
	"context"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/leader/loader"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/writer"
	"ospreyslip/internal/workers"
)

// This file connects the parts that carry assignments and commands with the rest of the leader.

// taskDeps is what the manager of assignments works with.
func (l *Leader) taskDeps() tasks.Deps {
	return tasks.Deps{
		Derived: l.Derived, Catalog: l.catalog, Fencing: l.fencing, Log: l.log, Planner: l.planner,
		RunTimes: l.runTimes, Host: taskHost{l},
	}
}

// taskHost is the leader as its manager of assignments sees it.
type taskHost struct{ l *Leader }

var _ tasks.Host = taskHost{}

func (h taskHost) Notify(m *cluster.Machine)        { h.l.dispatcher.Notify(m) }
func (h taskHost) CountsChanged(job *cluster.Job)   { h.l.jobs.PublishCounts(job) }
func (h taskHost) RemoveIfSettled(job *cluster.Job) { h.l.jobs.RemoveIfSettled(job) }
func (h taskHost) JobCompleted(job *cluster.Job)    { h.l.jobs.QueueCompleted(job) }

func (h taskHost) MayHaveUnknownTasks(job *cluster.Job, now time.Time) bool {
	return h.l.recovery.AwaitsWorkers(job, now)
}

// dispatchDeps is what the dispatcher of commands works with.
func (l *Leader) dispatchDeps() dispatch.Deps {
	return dispatch.Deps{
		Derived: l.Derived, Client: l.Workers, State: l.state, Catalog: l.catalog, Fencing: l.fencing,
		Detector: l.detector, Failover: l.failover, Planner: l.planner, Tasks: l.tasks, Host: dispatchHost{l},
	}
}

// dispatchHost is the leader as its dispatcher sees it.
type dispatchHost struct{ l *Leader }

var _ dispatch.Host = dispatchHost{}

func (h dispatchHost) IsLeader() bool              { return h.l.IsLeader() }
func (h dispatchHost) IsCancelled(job string) bool { return h.l.isCancelled(job) }

func (h dispatchHost) LeaveAlone(m *cluster.Machine, task *workers.TaskStatus) bool {
	return h.l.recovery.LeaveAlone(m, task)
}

func (h dispatchHost) Post(ctx context.Context, apply func(now time.Time)) { h.l.post(ctx, apply) }

func (h dispatchHost) PostAfter(ctx context.Context, delay time.Duration, apply func()) {
	h.l.postAfter(ctx, delay, apply)
}

// trackerDeps is what the tracker of jobs works with.
func (l *Leader) trackerDeps() jobtracker.Deps {
	return jobtracker.Deps{
		Derived: l.Derived, Store: l.Store, Cache: l.Cache, Counts: l.Counts, State: l.state, Fencing: l.fencing,
		Planner: l.planner, Tasks: l.tasks, Scaler: l.scaler, Recovery: l.recovery, Post: l.post,
	}
}

// writerDeps is what the writer of records works with.
func (l *Leader) writerDeps() writer.Deps {
	return writer.Deps{
		Derived: l.Derived, Store: l.Store, Term: l.term, State: l.state, Fencing: l.fencing, Log: l.log,
		Jobs: l.jobs, Tasks: l.tasks, Recovery: l.recovery, Host: writerHost{l},
	}
}

// writerHost is the leader as its writer sees it.
type writerHost struct{ l *Leader }

var _ writer.Host = writerHost{}

func (h writerHost) IsLeader() bool { return h.l.IsLeader() }
func (h writerHost) TokenRaised()   { h.l.tokenRaised() }
func (h writerHost) Resign()        { h.l.loop.resigns = true }

func (h writerHost) Post(ctx context.Context, apply func(now time.Time)) { h.l.post(ctx, apply) }

func (h writerHost) PostAfter(ctx context.Context, delay time.Duration, apply func()) {
	h.l.postAfter(ctx, delay, apply)
}

// loader is what fills the parts with what the records say.
func (l *Leader) loader() *loader.Loader {
	return &loader.Loader{
		Derived: l.Derived, LogConfig: logConfig(l.Derived), Store: l.Store, Cache: l.Cache, State: l.state,
		Fencing: l.fencing, Detector: l.detector, Failover: l.failover, Log: l.log, Planner: l.planner, Jobs: l.jobs,
		Tasks: l.tasks, Dispatcher: l.dispatcher, Scaler: l.scaler, Recovery: l.recovery,
	}
}

// updateOffer offers a machine to placement while it takes work.
func (l *Leader) updateOffer(m *cluster.Machine, now time.Time) {
	if !l.acceptsWork(m, now) {
		l.planner.Capacity.Withdraw(m)
		return
	}
	if l.planner.Capacity.Offer(m) {
		l.planner.Requested = true
	}
}
