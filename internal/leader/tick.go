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

// doubts asks for a higher token where orders have been in doubt for long, and
// once in a lease where an end waits for it to be cleared.
func (l *Leader) doubts(now time.Time) {
	raise := l.clearHeld && now.Sub(l.raisedAt) > l.Derived.Lease
	for m := range l.doubtful {
		if m.Commands.InDoubtSince.IsZero() || !l.machines.Contains(m) {
			delete(l.doubtful, m)
			continue
		}
		inDoubt := false
		for _, a := range m.Assignments {
			if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 {
				inDoubt = true
				raise = raise || a.Start.InDoubtToken == l.token && now.Sub(m.Commands.InDoubtSince) > l.Derived.DoubtFor && now.Sub(l.raisedAt) > l.Derived.ControlInterval
			}
		}
		if !inDoubt {
			m.Commands.InDoubtSince = time.Time{}
			l.notify(m)
		}
	}
	if raise {
		l.raiseToken, l.raisedAt = true, now // once, however long the write takes
	}
}

// expire ends what a worker's own lease has ended by now. Leases only grow longer, and
// each is set to the same time from then on: none that is set after a look at all of
// them ends before the first of these.
func (l *Leader) expire(now time.Time) {
	if now.Before(l.expireAt) {
		return
	}
	l.expireAt = now.Add(l.Derived.LeaseOver)
	for _, m := range l.machines.All {
		if m.Phase == cluster.Booting {
			continue
		}
		d := reconcile.Unheard(m.Worker.LeaseUntil, now)
		if d.Action == reconcile.Wait {
			l.expireAt = earlier(l.expireAt, d.Until)
			continue
		}
		l.lost(m, string(d.Reason))
		l.takeover.Gone(m.ID)
		// Whatever still comes from the old session is out of date.
		if m.Worker.Session != 0 {
			m.Worker.Session, m.Worker.Seq, m.Worker.Tasks = m.Worker.Session+1, 0, nil
			m.Commands.InDoubtSince = time.Time{}
		}
		m.Worker.LeaseUntil = now.Add(l.Derived.LeaseOver)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lost ends all assignments of a machine on which nothing can run any more.
func (l *Leader) lost(m *cluster.Machine, reason string) {
	for _, a := range m.Assignments {
		if a.Outcome == cluster.Open {
			slog.Info("task lost", "task", a.TaskName(), "machine", m.ID, "term", l.token, "reason", reason)
			l.conclude(a, cluster.Retry)
		}
	}
}

func (l *Leader) tick(ctx context.Context, now time.Time) {
	// A process that stood still for longer than its term finds all machines idle
	// and silent when it goes on, while its successor is at work on them: it must
	// not give them back before its keeper has noticed.
	if !l.Valid() {
		return
	}
	l.expire(now)
	l.settleTakeover(now)
	l.doubts(now)
	l.tickGroup = (l.tickGroup + 1) % cluster.TickGroups
	for m := range l.machines.Groups[l.tickGroup] {
		l.announceLate(m, now)
		l.updateCapacity(m, now) // what has fallen silent takes no work
		if m.ExpireAvoidance(now) {
			l.replan = true
		}
	}
	if l.tickGroup == 0 && l.mayBegin(now) {
		l.findSlow(now)
	}
	calls, verdicts := l.watch.Tick(now, l.Derived.OrdersInFlight-l.callsInFlight)
	for _, id := range calls {
		m := l.machines.ByID[id]
		if m == nil {
			l.watch.Forget(id)
			continue
		}
		l.callsInFlight++
		addr := m.Addr // a report may change it meanwhile
		go func() {
			r, err := l.Workers.Inspect(ctx, addr)
			l.post(ctx, func(now time.Time) { l.inspected(m, r, err, now) })
		}()
	}
	for _, v := range verdicts {
		l.judged(ctx, l.machines.ByID[v.Machine], v.Reason, now)
	}
	l.scale(ctx, now)
	l.recoverRecords(ctx, now)
	// What is known to be lost is durable first: the next leader would wait a whole lease
	// for it once more.
	if l.watch.Disrupted() && l.mayResign && !l.writing && !l.log.HasWork() {
		slog.Info("resigning", "term", l.token, "reason", "no machine of any zone reports here")
		l.resign = true
	}
	if now.Sub(l.shownAt) > l.Derived.ControlInterval/2 {
		l.shownAt = now
		l.Publish(l.Counts.shown(), l.changes)
		l.changes = nil
	}
}

// services is how many production tasks a machine has: their users wait, while
// other work is only late.
func (l *Leader) services(id string) (n int) {
	if m := l.machines.ByID[id]; m != nil {
		for _, a := range m.Assignments {
			if a.Outcome == cluster.Open && a.Job.Spec.Priority == jobs.Prod {
				n++
			}
		}
	}
	return n
}

// viewAge is how old the picture of users' wishes may be.
func (l *Leader) viewAge(now time.Time) time.Duration { return now.Sub(l.viewTime) }

func (l *Leader) inspected(m *cluster.Machine, r *workers.Report, err error, now time.Time) {
	l.callsInFlight--
	if workers.NoSocket(err) {
		l.watch.CallLost(m.ID, now) // it never left this process
		return
	}
	if err != nil {
		l.watch.CallDone(m.ID, false, liveness.Counter{}, now)
		return
	}
	m.Commands.UndeliveredAnswers = 0
	// The answer is a newer picture of the tasks, though it renews no lease.
	l.watch.CallDone(m.ID, true, counter(r), now)
	l.observe(m, r, now)
}

// judged carries out a verdict. A machine that did not answer is given back:
// once the cloud has taken it, its tasks are certainly gone, which is sooner
// than the end of a long lease. One that answers keeps its tasks meanwhile.
func (l *Leader) judged(ctx context.Context, m *cluster.Machine, reason liveness.Reason, now time.Time) {
	if m == nil {
		return
	}
	slog.Info("machine judged dead", "machine", m.ID, "zone", m.Zone, "term", l.token, "reason", string(reason), "tasks", len(m.Assignments))
	m.Health.Dead = true
	for _, a := range m.Assignments {
		// A gang that runs may well run on. One that gathers would hold its room until
		// the workers give up waiting.
		if a.Outcome == cluster.Open && a.Job.IsGang() && a.ObservedState != workers.Running {
			l.stopGang(a.Job, 0)
		}
	}
	l.log.QueueDeath(m.ID)
	l.updateCapacity(m, now)
	l.replan = true
	if reason == liveness.CallFailed {
		l.scaler.Release(ctx, m)
	}
}
