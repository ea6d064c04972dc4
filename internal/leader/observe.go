package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// applyObservation takes a worker's own picture of its machine. It returns false for an
// old copy, which must not turn the picture back.
func (l *Leader) applyObservation(m *cluster.Machine, r *workers.Heartbeat, now time.Time) bool {
	if r.AgentEpoch < m.Worker.Session || r.AgentEpoch == m.Worker.Session && m.Worker.Seq != 0 && r.Seq <= m.Worker.Seq {
		return false
	}
	if r.AgentEpoch > m.Worker.Session {
		// The answer to an order or a call may tell of the new session before the end
		// of the old one is over by our clock, which counts from when a report arrived.
		// What begins in the new one may run for a whole lease from now.
		m.Worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
		m.Commands.InDoubtSince = time.Time{}
		l.planner.Requested = true
	}
	m.Worker.Session, m.Worker.Seq, m.Worker.Token, m.Worker.Tasks = r.AgentEpoch, r.Seq, r.FencingToken, r.Tasks
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	if r.SpotNoticeS != nil {
		l.applySpotNotice(m, *r.SpotNoticeS, now)
	}
	for begun, token := range m.Commands.StartedByOrder {
		if token < m.Worker.Token && findTask(r, begun) == nil {
			delete(m.Commands.StartedByOrder, begun)
		}
	}
	for _, a := range m.Assignments {
		if a.Outcome != cluster.Open {
			continue
		}
		p := reconcile.Observation{Session: r.AgentEpoch, Token: r.FencingToken}
		if a.Session == r.AgentEpoch {
			p.Task = findTask(r, a.Ref())
		}
		l.applyDecision(a, p, reconcile.DecideOnHeartbeat(l.attemptFacts(a, now), p), now)
	}
	return true
}

// applyDecision carries out what a picture means for an assignment.
func (l *Leader) applyDecision(a *cluster.Assignment, p reconcile.Observation, d reconcile.Decision, now time.Time) {
	if p.Task != nil {
		l.applyTaskState(a, p.Task, now)
	}
	switch d.Action {
	case reconcile.Complete:
		l.taskCompleted(a, now)
	case reconcile.Start:
		a.Start.InDoubtToken, a.Start.Sent = 0, false
		l.setObservedState(a, "")
	case reconcile.Reschedule:
		if p.Task != nil {
			l.recordFailure(a, p.Task, now)
		} else {
			a.Start.InDoubtToken, a.Start.Sent = 0, false
		}
		l.endAssignment(a, cluster.Retry)
	default: // it goes on, or nothing is certain
	}
}

// applyTaskState takes in the state of an assignment's task on its machine.
func (l *Leader) applyTaskState(a *cluster.Assignment, t *workers.TaskStatus, now time.Time) {
	// One run is sent in one order only, so that one seen is one used up.
	a.Start.InDoubtToken, a.Start.Sent = 0, true
	if a.ObservedState == t.State {
		return
	}
	slog.Debug("task seen", "task", t.Name, "machine", a.Machine.ID, "term", l.fencing.token, "state", t.State)
	switch t.State {
	case workers.StateRunning:
		if a.ObservedState == workers.StateFetching || a.ObservedState == workers.StateGathering || !a.Restored {
			a.RunningSince = now
		}
		a.Machine.CacheImage(a.Job.Spec, l.cacheGB(a.Machine))
	case workers.StateGathering:
		a.Machine.CacheImage(a.Job.Spec, l.cacheGB(a.Machine))
	}
	l.setObservedState(a, t.State)
	l.publishCounts(a.Job)
}

func findTask(r *workers.Heartbeat, of cluster.TaskRef) *workers.TaskStatus {
	for i := range r.Tasks {
		if cluster.RefOf(&r.Tasks[i]) == of {
			return &r.Tasks[i]
		}
	}
	return nil
}

// taskCompleted takes in that a task is done.
func (l *Leader) taskCompleted(a *cluster.Assignment, now time.Time) {
	a.Job.Scheduling.ConsecutiveFailures, a.Job.Scheduling.LastServedAt = 0, now
	clear(a.Machine.Health.FailedJobs)
	l.runTimes.TaskCompleted(a, now)
	l.endAssignment(a, cluster.Success)
}

// recordFailure finds out whether a task that ended without being done says something against its
// machine or its job.
func (l *Leader) recordFailure(a *cluster.Assignment, t *workers.TaskStatus, now time.Time) {
	j, m := a.Job, a.Machine
	switch t.Cause {
	case workers.CauseStopped, workers.CauseMatesGone, workers.CauseIncomplete:
	case workers.CauseError:
		// Mostly the machine's fault. A job that fails on several machines in
		// a row is its user's mistake: it goes on being tried, ever more rarely.
		j.Scheduling.ConsecutiveFailures++
		m.Health.FailedJobs[j.ID] = true
		m.AvoidJobUntil(j.ID, now.Add(l.Derived.Workers.Lease))
		if j.Scheduling.ConsecutiveFailures > 2 {
			j.Scheduling.BackoffUntil = now.Add(min(l.Derived.Workers.HeartbeatInterval<<min(j.Scheduling.ConsecutiveFailures-2, 6), l.Derived.Workers.CancelDeadline))
		}
		if len(m.Health.FailedJobs) > 1 && !m.Health.Draining {
			slog.Info("machine suspected", "machine", m.ID, "term", l.fencing.token, "reason", "several jobs failed on it")
			m.Health.Draining = true
			l.planner.Capacity.Withdraw(m)
		}
	default: // no_room, busy, unknown: refused, and worth another try soon
		m.AvoidJobUntil(j.ID, now.Add(l.Derived.Workers.HeartbeatInterval))
		if t.Cause == workers.CauseUnknown {
			j.Scheduling.BackoffUntil = now.Add(l.Derived.Workers.HeartbeatInterval)
		}
	}
	slog.Debug("task ended", "task", a.TaskName(), "machine", m.ID, "term", l.fencing.token, "reason", t.Cause)
}

// applySpotNotice prepares for the loss of a machine: what can save does so, what may still
// complete goes on, and the rest begins anew elsewhere at once.
func (l *Leader) applySpotNotice(m *cluster.Machine, inS float64, now time.Time) {
	if m.Health.NoticeUntil.IsZero() {
		slog.Info("machine will be taken", "machine", m.ID, "term", l.fencing.token, "inS", inS)
	}
	m.Health.Draining = true
	l.planner.Capacity.Withdraw(m)
	m.Health.NoticeUntil = now.Add(time.Duration(inS * float64(time.Second)))
	for _, a := range m.Assignments {
		if a.Outcome != cluster.Open || a.Stop.Requested {
			continue
		}
		switch s := a.Job.Spec; {
		case a.Job.IsGang() && gang.ShouldCheckpoint(s.CheckpointIntervalS, s.CheckpointSaveS, l.Derived.Workers.GangStopWindow.Seconds(), inS),
			!a.Job.IsGang() && s.CheckpointIntervalS > 0 && s.CheckpointSaveS < inS:
			l.stopTask(a, s.CheckpointSaveS)
		case l.shouldRestartElsewhere(a, inS, now):
			l.stopTask(a, 0)
		}
	}
	l.planner.Requested = true
}

// shouldRestartElsewhere tells whether a task on a machine that will be taken should begin anew
// elsewhere: if it stays, it most likely loses the time until then as well.
func (l *Leader) shouldRestartElsewhere(a *cluster.Assignment, inS float64, now time.Time) bool {
	if !a.Job.Spec.RunsToCompletion() {
		return len(l.planner.Unmet) == 0 // it never completes; while others wait it would, too
	}
	ran := 0.0
	if a.ObservedState == workers.StateRunning {
		ran = now.Sub(a.RunningSince).Seconds()
	}
	runS := l.runTimes.JobSeconds(a.Job)
	p := l.runTimes.Of(a.Job.Spec.Class).ChanceToEnd(ran, inS, runS)
	return p*runS < (1-p)*inS
}
