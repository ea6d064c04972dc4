package leader

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

func counter(r *workers.Report) liveness.HeartbeatSeq {
	return liveness.HeartbeatSeq{Session: r.Session, Seq: r.Seq}
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
		l.takeover.CommandSent(now)
		m.orderBusy = true
		l.watch.CommandSent(m.id)
		order := workers.Order{Token: token, Session: m.session, Calls: calls}
		for _, c := range calls {
			if c.Op == workers.OpRun {
				m.ordered[ref{c.Task, c.Attempt}] = token
			}
		}
		addr := m.addr // a report may change it meanwhile
		go func() {
			r, ok, err := l.Workers.Order(ctx, addr, order)
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
	l.watch.MarkReachable(m.id)
	l.watch.CommandAnswered(m.id, counter(r))
	l.observe(m, r, now)
	for _, a := range m.assigned {
		if a.job.over() && a.outcome == open {
			l.dropUnsent(a)
		}
	}
}
