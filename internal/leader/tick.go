package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// doubts asks for a higher token where orders have been in doubt for long, and
// once in a lease where an end waits for it to be cleared.
func (l *Leader) doubts(now time.Time) {
	raise := l.clearHeld && now.Sub(l.raisedAt) > l.Derived.Lease
	for m := range l.doubtful {
		if m.doubtSince.IsZero() || !l.machines.has(m) {
			delete(l.doubtful, m)
			continue
		}
		inDoubt := false
		for _, a := range m.assigned {
			if a.outcome == open && a.doubt != 0 {
				inDoubt = true
				raise = raise || a.doubt == l.token && now.Sub(m.doubtSince) > l.Derived.DoubtFor && now.Sub(l.raisedAt) > l.Derived.ControlInterval
			}
		}
		if !inDoubt {
			m.doubtSince = time.Time{}
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
	for _, m := range l.machines.all {
		if m.phase == booting {
			continue
		}
		d := reconcile.DecideWithoutHeartbeat(m.leaseUntil, now)
		if d.Action == reconcile.Wait {
			l.expireAt = earlier(l.expireAt, d.Until)
			continue
		}
		l.lost(m, string(d.Reason))
		l.takeover.MachineGone(m.id)
		// Whatever still comes from the old session is out of date.
		if m.session != 0 {
			m.session, m.seq, m.reportedTasks = m.session+1, 0, nil
			m.doubtSince = time.Time{}
		}
		m.leaseUntil = now.Add(l.Derived.LeaseOver)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lost ends all assignments of a machine on which nothing can run any more.
func (l *Leader) lost(m *machine, reason string) {
	for _, a := range m.assigned {
		if a.outcome == open {
			slog.Info("task lost", "task", a.name(), "machine", m.id, "term", l.token, "reason", reason)
			l.conclude(a, retry)
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
	l.tickGroup = (l.tickGroup + 1) % ticksPerInterval
	for m := range l.machines.groups[l.tickGroup] {
		l.announceLate(m, now)
		l.updateCapacity(m, now) // what has fallen silent takes no work
		if m.endAvoidance(now) {
			l.replan = true
		}
	}
	if l.tickGroup == 0 && l.mayBegin(now) {
		l.findSlow(now)
	}
	calls, verdicts := l.watch.Tick(now, l.Derived.OrdersInFlight-l.callsInFlight)
	for _, id := range calls {
		m := l.machines.byID[id]
		if m == nil {
			l.watch.Forget(id)
			continue
		}
		l.callsInFlight++
		addr := m.addr // a report may change it meanwhile
		go func() {
			r, err := l.Workers.Inspect(ctx, addr)
			l.post(ctx, func(now time.Time) { l.inspected(m, r, err, now) })
		}()
	}
	for _, v := range verdicts {
		l.judged(ctx, l.machines.byID[v.Machine], v.Reason, now)
	}
	l.manageFleet(ctx, now)
	l.recoverRecords(ctx, now)
	// What is known to be lost is durable first: the next leader would wait a whole lease
	// for it once more.
	if l.watch.FullDisruption() && l.mayResign && !l.writing && !l.log.waiting() {
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
	if m := l.machines.byID[id]; m != nil {
		for _, a := range m.assigned {
			if a.outcome == open && a.job.spec.Priority == jobs.Prod {
				n++
			}
		}
	}
	return n
}

// viewAge is how old the picture of users' wishes may be.
func (l *Leader) viewAge(now time.Time) time.Duration { return now.Sub(l.viewTime) }

func (l *Leader) inspected(m *machine, r *workers.Report, err error, now time.Time) {
	l.callsInFlight--
	if workers.NoSocket(err) {
		l.watch.ProbeNotSent(m.id, now) // it never left this process
		return
	}
	if err != nil {
		l.watch.ProbeDone(m.id, false, liveness.HeartbeatSeq{}, now)
		return
	}
	m.undelivered = 0
	// The answer is a newer picture of the tasks, though it renews no lease.
	l.watch.ProbeDone(m.id, true, counter(r), now)
	l.observe(m, r, now)
}

// judged carries out a verdict. A machine that did not answer is given back:
// once the cloud has taken it, its tasks are certainly gone, which is sooner
// than the end of a long lease. One that answers keeps its tasks meanwhile.
func (l *Leader) judged(ctx context.Context, m *machine, reason liveness.Reason, now time.Time) {
	if m == nil {
		return
	}
	slog.Info("machine judged dead", "machine", m.id, "zone", m.zone, "term", l.token, "reason", string(reason), "tasks", len(m.assigned))
	m.dead = true
	for _, a := range m.assigned {
		// A gang that runs may well run on. One that gathers would hold its room until
		// the workers give up waiting.
		if a.outcome == open && a.job.isGang() && a.seen != workers.Running {
			l.stopGang(a.job, 0)
		}
	}
	l.log.deaths = append(l.log.deaths, m.id)
	l.updateCapacity(m, now)
	l.replan = true
	if reason == liveness.ProbeFailed {
		l.release(ctx, now, m)
	}
}
