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

func heartbeatSeq(r *workers.Heartbeat) liveness.HeartbeatSeq {
	return liveness.HeartbeatSeq{Session: r.AgentEpoch, Seq: r.Seq}
}

// notify notes that a worker has something to be told at once.
func (l *Leader) notify(m *cluster.Machine) {
	if !m.Commands.NotifyPending {
		m.Commands.NotifyPending = true
		l.enqueueNotification(m)
	}
}

// enqueueNotification queues a worker that has something to be told. Those that may not answer
// have a queue of their own: a zone that is cut off must not keep the others
// waiting behind orders that time out.
func (l *Leader) enqueueNotification(m *cluster.Machine) {
	switch {
	case !m.Commands.NotifyPending:
	case m.Commands.OrderFailures > 0 || m.Worker.HeartbeatAt.IsZero():
		l.dispatcher.unresponsive = append(l.dispatcher.unresponsive, m)
	default:
		l.dispatcher.queue = append(l.dispatcher.queue, m)
	}
}

// sendCommands tells workers at once what cannot wait for their next report. A few
// orders are on their way at a time: at a take-over every worker has to be told.
func (l *Leader) sendCommands(ctx context.Context, now time.Time) {
	l.sendQueuedCommands(ctx, now, &l.dispatcher.queue, l.Derived.Host.CommandsInFlight)
	l.sendQueuedCommands(ctx, now, &l.dispatcher.unresponsive, l.Derived.Host.CommandsInFlight/2)
}

func (l *Leader) sendQueuedCommands(ctx context.Context, now time.Time, queue *[]*cluster.Machine, most int) {
	for len(*queue) > 0 && l.dispatcher.commandsInFlight < most {
		m := (*queue)[0]
		*queue = (*queue)[1:]
		if !m.Commands.NotifyPending || m.Commands.OrderInFlight {
			continue // nothing any more, or looked at again when that order has returned
		}
		if wait := m.Commands.RetryAfter.Sub(now); wait > 0 {
			l.postAfter(ctx, wait, func() { l.enqueueNotification(m) })
			continue
		}
		m.Commands.NotifyPending = false
		if m.Phase != cluster.Up || m.Worker.Session == 0 || m.Addr == "" || !m.Commands.InDoubtSince.IsZero() || now.After(m.Worker.LeaseUntil) || !l.IsLeader() {
			continue
		}
		calls := l.commandsFor(m, false)
		token := l.tokenFor(m)
		if len(calls) == 0 && m.Worker.Token >= token {
			continue
		}
		l.dispatcher.commandsInFlight++
		l.failover.CommandSent(now)
		m.Commands.OrderInFlight = true
		l.detector.CommandSent(m.ID)
		order := workers.CommandRequest{FencingToken: token, AgentEpoch: m.Worker.Session, Commands: calls}
		for _, c := range calls {
			if c.Op == workers.OpRun {
				m.Commands.StartedByOrder[cluster.CommandRef(&c)] = token
			}
		}
		addr := m.Addr // a report may change it meanwhile
		go func() {
			r, ok, err := l.Workers.SendCommands(ctx, addr, order)
			l.post(ctx, func(now time.Time) { l.commandsReturned(m, order, r, ok, err, now) })
		}()
	}
}

// commandsReturned takes in the outcome of an order. If nobody knows whether it arrived,
// its runs are in doubt: they may be executed at any later time while token and
// session match. They are not sent again, nor is their task placed elsewhere,
// until a report shows them or the worker has seen a higher token.
func (l *Leader) commandsReturned(m *cluster.Machine, o workers.CommandRequest, r *workers.Heartbeat, ok bool, err error, now time.Time) {
	m.Commands.OrderInFlight = false
	l.dispatcher.commandsInFlight--
	defer l.enqueueNotification(m)
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
			l.fencing.inDoubtMachines[m] = true
		}
	}
	if err != nil {
		slog.Debug("order failed", "machine", m.ID, "term", l.fencing.token, "reason", err)
		m.Commands.RetryAfter = now.Add(min(l.Derived.Leader.ControlInterval<<min(m.Commands.OrderFailures, 8), l.Derived.Workers.Lease/4))
		m.Commands.OrderFailures++
		m.Commands.NotifyPending = true
		l.detector.Suspect(m.ID)
		return
	}
	m.Commands.UndeliveredAnswers, m.Commands.OrderFailures = 0, 0
	l.detector.MarkReachable(m.ID)
	l.detector.CommandAnswered(m.ID, heartbeatSeq(r))
	l.applyObservation(m, r, now)
	for _, a := range m.Assignments {
		if a.Job.IsOver() && a.Outcome == cluster.Open {
			l.dropUnsent(a)
		}
	}
}
