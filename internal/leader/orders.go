package leader

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

func counter(r *workers.Heartbeat) liveness.HeartbeatSeq {
	return liveness.HeartbeatSeq{Session: r.AgentEpoch, Seq: r.Seq}
}

// notify notes that a worker has something to be told at once.
func (l *Leader) notify(m *cluster.Machine) {
	if !m.Commands.NotifyPending {
		m.Commands.NotifyPending = true
		l.requeue(m)
	}
}

// requeue queues a worker that has something to be told. Those that may not answer
// have a queue of their own: a zone that is cut off must not keep the others
// waiting behind orders that time out.
func (l *Leader) requeue(m *cluster.Machine) {
	switch {
	case !m.Commands.NotifyPending:
	case m.Commands.OrderFailures > 0 || m.Worker.HeartbeatAt.IsZero():
		l.unconfirmedQueue = append(l.unconfirmedQueue, m)
	default:
		l.notifyQueue = append(l.notifyQueue, m)
	}
}

// orders tells workers at once what cannot wait for their next report. A few
// orders are on their way at a time: at a take-over every worker has to be told.
func (l *Leader) orders(ctx context.Context, now time.Time) {
	l.sendOrders(ctx, now, &l.notifyQueue, l.Derived.Host.CommandsInFlight)
	l.sendOrders(ctx, now, &l.unconfirmedQueue, l.Derived.Host.CommandsInFlight/2)
}

func (l *Leader) sendOrders(ctx context.Context, now time.Time, queue *[]*cluster.Machine, most int) {
	for len(*queue) > 0 && l.ordersInFlight < most {
		m := (*queue)[0]
		*queue = (*queue)[1:]
		if !m.Commands.NotifyPending || m.Commands.OrderInFlight {
			continue // nothing any more, or looked at again when that order has returned
		}
		if wait := m.Commands.RetryAfter.Sub(now); wait > 0 {
			l.later(ctx, wait, func() { l.requeue(m) })
			continue
		}
		m.Commands.NotifyPending = false
		if m.Phase != cluster.Up || m.Worker.Session == 0 || m.Addr == "" || !m.Commands.InDoubtSince.IsZero() || now.After(m.Worker.LeaseUntil) || !l.Valid() {
			continue
		}
		calls := l.calls(m, false)
		token := l.tokenFor(m)
		if len(calls) == 0 && m.Worker.Token >= token {
			continue
		}
		l.ordersInFlight++
		l.takeover.CommandSent(now)
		m.Commands.OrderInFlight = true
		l.watch.CommandSent(m.ID)
		order := workers.CommandRequest{FencingToken: token, AgentEpoch: m.Worker.Session, Commands: calls}
		for _, c := range calls {
			if c.Op == workers.OpRun {
				m.Commands.StartedByOrder[cluster.CommandRef(&c)] = token
			}
		}
		addr := m.Addr // a report may change it meanwhile
		go func() {
			r, ok, err := l.Workers.SendCommands(ctx, addr, order)
			l.post(ctx, func(now time.Time) { l.ordered(m, order, r, ok, err, now) })
		}()
	}
}

// ordered takes in the outcome of an order. If nobody knows whether it arrived,
// its runs are in doubt: they may be executed at any later time while token and
// session match. They are not sent again, nor is their task placed elsewhere,
// until a report shows them or the worker has seen a higher token.
func (l *Leader) ordered(m *cluster.Machine, o workers.CommandRequest, r *workers.Heartbeat, ok bool, err error, now time.Time) {
	m.Commands.OrderInFlight = false
	l.ordersInFlight--
	defer l.requeue(m)
	neverSent := !ok && err == nil
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		neverSent = true // a connection attempt that was given up does not complete later
	}
	for _, c := range o.Commands {
		a := m.FindAssignment(cluster.CommandRef(&c))
		if c.Op != workers.OpRun || a == nil {
			continue
		}
		a.Start.OrderInFlight = false
		switch {
		case neverSent:
			a.Start.Sent = a.ObservedState != ""
		case err != nil && a.ObservedState == "":
			a.Start.InDoubtToken = o.FencingToken
			m.Commands.InDoubtSince = now
			l.doubtful[m] = true
		}
	}
	if err != nil {
		slog.Debug("order failed", "machine", m.ID, "term", l.token, "reason", err)
		m.Commands.RetryAfter = now.Add(min(l.Derived.Leader.ControlInterval<<min(m.Commands.OrderFailures, 8), l.Derived.Workers.Lease/4))
		m.Commands.OrderFailures++
		m.Commands.NotifyPending = true
		l.watch.Suspect(m.ID)
		return
	}
	m.Commands.UndeliveredAnswers, m.Commands.OrderFailures = 0, 0
	l.watch.MarkReachable(m.ID)
	l.watch.CommandAnswered(m.ID, counter(r))
	l.observe(m, r, now)
	for _, a := range m.Assignments {
		if a.Job.IsOver() && a.Outcome == cluster.Open {
			l.dropUnsent(a)
		}
	}
}
