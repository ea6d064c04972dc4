package leader

import (
	"context"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/tasks"
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
func (h taskHost) CountsChanged(job *cluster.Job)   { h.l.publishCounts(job) }
func (h taskHost) RemoveIfSettled(job *cluster.Job) { h.l.removeIfSettled(job) }
func (h taskHost) JobCompleted(job *cluster.Job) {
	h.l.writer.completedJobs = append(h.l.writer.completedJobs, job)
}

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

// updateOffer offers a machine to placement while it takes work.
func (l *Leader) updateOffer(m *cluster.Machine, now time.Time) {
	if !l.usable(m, now) {
		l.planner.Capacity.Withdraw(m)
		return
	}
	if l.planner.Capacity.Offer(m) {
		l.planner.Requested = true
	}
}
