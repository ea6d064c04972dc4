package control

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

func counter(r *workers.Report) liveness.Counter {
	return liveness.Counter{Session: r.Session, Seq: r.Seq}
}

// notify notes that a worker has something to be told at once.
func (l *Leader) notify(m *machine) {
	if !m.notifyPending {
		m.notifyPending = true
		l.requeue(m)
	}
}

// requeue queues a worker that has something to be told. Those that may not answer
// have a queue of their own: a zone that is cut off must not keep the others
// waiting behind orders that time out.
func (l *Leader) requeue(m *machine) {
	switch {
	case !m.notifyPending:
	case m.orderFails > 0 || m.reported.IsZero():
		l.unconfirmedQueue = append(l.unconfirmedQueue, m)
	default:
		l.notifyQueue = append(l.notifyQueue, m)
	}
}

// orders tells workers at once what cannot wait for their next report. A few
// orders are on their way at a time: at a take-over every worker has to be told.
func (l *Leader) orders(ctx context.Context, now time.Time) {
	l.sendOrders(ctx, now, &l.notifyQueue, l.Derived.OrdersInFlight)
	l.sendOrders(ctx, now, &l.unconfirmedQueue, l.Derived.OrdersInFlight/2)
}

func (l *Leader) sendOrders(ctx context.Context, now time.Time, queue *[]*machine, most int) {
	for len(*queue) > 0 && l.ordersInFlight < most {
		m := (*queue)[0]
		*queue = (*queue)[1:]
		if !m.notifyPending || m.orderBusy {
			continue // nothing any more, or looked at again when that order has returned
		}
		if wait := m.orderAfter.Sub(now); wait > 0 {
			l.later(ctx, wait, func() { l.requeue(m) })
			continue
		}
		m.notifyPending = false
		if m.phase != up || m.session == 0 || m.addr == "" || !m.doubtSince.IsZero() || now.After(m.leaseUntil) || !l.Valid() {
			continue
		}
		calls := l.calls(m, false)
		token := l.tokenFor(m)
		if len(calls) == 0 && m.token >= token {
			continue
		}
		l.ordersInFlight++
		m.orderBusy = true
		l.watch.Called(m.id)
		order := workers.Order{Token: token, Session: m.session, Calls: calls}
		for _, c := range calls {
			if c.Op == workers.OpRun {
				m.ordered[ref{c.Task, c.Attempt}] = token
			}
		}
		go func() {
			r, ok, err := l.Workers.Order(ctx, m.addr, order)
			l.post(ctx, func(now time.Time) { l.ordered(m, order, r, ok, err, now) })
		}()
	}
}

// ordered takes in the outcome of an order. If nobody knows whether it arrived,
// its runs are in doubt: they may be executed at any later time while token and
// session match. They are not sent again, nor is their task placed elsewhere,
// until a report shows them or the worker has seen a higher token.
func (l *Leader) ordered(m *machine, o workers.Order, r *workers.Report, ok bool, err error, now time.Time) {
	m.orderBusy = false
	l.ordersInFlight--
	defer l.requeue(m)
	neverSent := !ok && err == nil
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		neverSent = true // a connection attempt that was given up does not complete later
	}
	for _, c := range o.Calls {
		a := m.find(ref{c.Task, c.Attempt})
		if c.Op != workers.OpRun || a == nil {
			continue
		}
		a.ordered = false
		switch {
		case neverSent:
			a.sent = a.seen != ""
		case err != nil && a.seen == "":
			a.doubt = o.Token
			m.doubtSince = now
			l.doubtful[m] = true
		}
	}
	if err != nil {
		slog.Debug("order failed", "machine", m.id, "term", l.token, "reason", err)
		m.orderAfter = now.Add(min(l.Derived.ControlInterval<<min(m.orderFails, 8), l.Derived.Lease/4))
		m.orderFails++
		m.notifyPending = true
		l.watch.Suspect(m.id)
		return
	}
	m.undelivered, m.orderFails = 0, 0
	l.watch.Reachable(m.id)
	l.watch.Answered(m.id, counter(r))
	l.observe(m, r, now)
	for _, a := range m.assigned {
		if a.job.over() && a.outcome == open {
			l.dropUnsent(a)
		}
	}
}

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
		l.raise, l.raisedAt = true, now // once, however long the write takes
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
		if now.Before(m.leaseUntil) {
			l.expireAt = earlier(l.expireAt, m.leaseUntil)
			continue
		}
		l.lost(m, "worker lease over")
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
			l.over(a, retry)
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
		go func() {
			r, err := l.Workers.Inspect(ctx, m.addr)
			l.post(ctx, func(now time.Time) { l.inspected(m, r, err, now) })
		}()
	}
	for _, v := range verdicts {
		l.judged(ctx, l.machines.byID[v.Machine], v.Reason, now)
	}
	l.manageFleet(ctx, now)
	// What is known to be lost is durable first: the next leader would wait a whole lease
	// for it once more.
	if l.watch.Disrupted() && l.mayResign && !l.writing && !l.log.waiting() {
		slog.Info("resigning", "term", l.token, "reason", "no machine of any zone reports here")
		l.resign = true
	}
	if now.Sub(l.shownAt) > l.Derived.ControlInterval/2 {
		l.shownAt = now
		l.Publish(l.Counts.shown())
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
func (l *Leader) viewAge(now time.Time) time.Duration { return now.Sub(l.fresh) }

func (l *Leader) inspected(m *machine, r *workers.Report, err error, now time.Time) {
	l.callsInFlight--
	if err != nil {
		l.watch.CallDone(m.id, false, liveness.Counter{}, now)
		return
	}
	m.undelivered = 0
	// The answer is a newer picture of the tasks, though it renews no lease.
	l.watch.CallDone(m.id, true, counter(r), now)
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
	if reason == liveness.CallFailed {
		l.release(ctx, now, m)
	}
}
