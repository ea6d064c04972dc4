package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// resolveInDoubt asks for a higher token where orders have been in doubt for long, and
// once in a lease where an end waits for it to be cleared.
func (l *Leader) resolveInDoubt(now time.Time) {
	raise := l.fencing.acknowledgementsHeld && now.Sub(l.fencing.raisedAt) > l.Derived.Workers.Lease
	for m := range l.fencing.inDoubtMachines {
		if m.Commands.InDoubtSince.IsZero() || !l.state.Machines.Contains(m) {
			delete(l.fencing.inDoubtMachines, m)
			continue
		}
		inDoubt := false
		for _, a := range m.Assignments {
			if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 {
				inDoubt = true
				raise = raise || a.Start.InDoubtToken == l.fencing.token && now.Sub(m.Commands.InDoubtSince) > l.Derived.Workers.InDoubtTimeout && now.Sub(l.fencing.raisedAt) > l.Derived.Leader.ControlInterval
			}
		}
		if !inDoubt {
			m.Commands.InDoubtSince = time.Time{}
			l.notify(m)
		}
	}
	if raise {
		l.fencing.raisePending, l.fencing.raisedAt = true, now // once, however long the write takes
	}
}

// expireLeases ends what a worker's own lease has ended by now. Leases only grow longer, and
// each is set to the same time from then on: none that is set after a look at all of
// them ends before the first of these.
func (l *Leader) expireLeases(now time.Time) {
	if now.Before(l.nextLeaseExpiry) {
		return
	}
	l.nextLeaseExpiry = now.Add(l.Derived.Workers.LeaseExpiry)
	for _, m := range l.state.Machines.All {
		if m.Phase == cluster.Booting {
			continue
		}
		d := reconcile.DecideWithoutHeartbeat(m.Worker.LeaseUntil, now)
		if d.Action == reconcile.Wait {
			l.nextLeaseExpiry = earlier(l.nextLeaseExpiry, d.Until)
			continue
		}
		l.endMachineTasks(m, string(d.Reason))
		l.failover.MachineGone(m.ID)
		// Whatever still comes from the old session is out of date.
		if m.Worker.Session != 0 {
			m.Worker.Session, m.Worker.Seq, m.Worker.Tasks = m.Worker.Session+1, 0, nil
			m.Commands.InDoubtSince = time.Time{}
		}
		m.Worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endMachineTasks ends all assignments of a machine on which nothing can run any more.
func (l *Leader) endMachineTasks(m *cluster.Machine, reason string) {
	for _, a := range m.Assignments {
		if a.Outcome == cluster.Open {
			slog.Info("task lost", "task", a.TaskName(), "machine", m.ID, "term", l.fencing.token, "reason", reason)
			l.endAssignment(a, cluster.Retry)
		}
	}
}

func (l *Leader) tick(ctx context.Context, now time.Time) {
	// A process that stood still for longer than its term finds all machines idle
	// and silent when it goes on, while its successor is at work on them: it must
	// not give them back before its keeper has noticed.
	if !l.IsLeader() {
		return
	}
	l.expireLeases(now)
	l.finishFailover(now)
	l.resolveInDoubt(now)
	l.tickGroup = (l.tickGroup + 1) % cluster.TickGroups
	for m := range l.state.Machines.Groups[l.tickGroup] {
		l.announceToSilent(m, now)
		l.updateCapacity(m, now) // what has fallen silent takes no work
		if m.ExpireAvoidance(now) {
			l.planner.Requested = true
		}
	}
	if l.tickGroup == 0 && l.mayBegin(now) {
		l.drainStragglers(now)
	}
	calls, verdicts := l.detector.Tick(now, l.Derived.Host.CommandsInFlight-l.dispatcher.probesInFlight)
	for _, id := range calls {
		m := l.state.Machines.ByID[id]
		if m == nil {
			l.detector.Forget(id)
			continue
		}
		l.dispatcher.probesInFlight++
		addr := m.Addr // a report may change it meanwhile
		go func() {
			r, err := l.Workers.Probe(ctx, addr)
			l.post(ctx, func(now time.Time) { l.probeReturned(m, r, err, now) })
		}()
	}
	for _, v := range verdicts {
		l.carryOutVerdict(ctx, l.state.Machines.ByID[v.Machine], v.Reason, now)
	}
	l.scale(ctx, now)
	l.recoverRecords(ctx, now)
	// What is known to be lost is durable first: the next leader would wait a whole lease
	// for it once more.
	if l.detector.FullDisruption() && l.mayResign && !l.writer.inFlight && !l.log.HasWork() {
		slog.Info("resigning", "term", l.fencing.token, "reason", "no machine of any zone reports here")
		l.resign = true
	}
	if now.Sub(l.broadcast.sentAt) > l.Derived.Leader.ControlInterval/2 {
		l.broadcast.sentAt = now
		l.Broadcast(l.Counts.nonZero(), l.broadcast.changes)
		l.broadcast.changes = nil
	}
}

// productionTasks is how many production tasks a machine has: their users wait, while
// other work is only late.
func (l *Leader) productionTasks(id string) (n int) {
	if m := l.state.Machines.ByID[id]; m != nil {
		for _, a := range m.Assignments {
			if a.Outcome == cluster.Open && a.Job.Spec.Priority == jobs.Prod {
				n++
			}
		}
	}
	return n
}

// wishesAge is how old the picture of users' wishes may be.
func (l *Leader) wishesAge(now time.Time) time.Duration { return now.Sub(l.view.asOf) }

func (l *Leader) probeReturned(m *cluster.Machine, r *workers.Heartbeat, err error, now time.Time) {
	l.dispatcher.probesInFlight--
	if workers.OutOfSockets(err) {
		l.detector.ProbeNotSent(m.ID, now) // it never left this process
		return
	}
	if err != nil {
		l.detector.ProbeDone(m.ID, false, liveness.HeartbeatSeq{}, now)
		return
	}
	m.Commands.UndeliveredAnswers = 0
	// The answer is a newer picture of the tasks, though it renews no lease.
	l.detector.ProbeDone(m.ID, true, heartbeatSeq(r), now)
	l.applyObservation(m, r, now)
}

// carryOutVerdict carries out a verdict. A machine that did not answer is given back:
// once the cloud has taken it, its tasks are certainly gone, which is sooner
// than the end of a long lease. One that answers keeps its tasks meanwhile.
func (l *Leader) carryOutVerdict(ctx context.Context, m *cluster.Machine, reason liveness.Reason, now time.Time) {
	if m == nil {
		return
	}
	slog.Info("machine judged dead", "machine", m.ID, "zone", m.Zone, "term", l.fencing.token, "reason", string(reason), "tasks", len(m.Assignments))
	m.Health.Dead = true
	for _, a := range m.Assignments {
		// A gang that runs may well run on. One that gathers would hold its room until
		// the workers give up waiting.
		if a.Outcome == cluster.Open && a.Job.IsGang() && a.ObservedState != workers.StateRunning {
			l.stopGang(a.Job, 0)
		}
	}
	l.log.QueueDeath(m.ID)
	l.updateCapacity(m, now)
	l.planner.Requested = true
	if reason == liveness.ProbeFailed {
		l.scaler.Release(ctx, m)
	}
}
