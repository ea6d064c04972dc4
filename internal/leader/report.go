package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// report answers a worker, or returns nil if this node has no right to.
func (l *Leader) report(r *workers.Report, now time.Time) *workers.Answer {
	if r.Token > l.token {
		l.tokenAhead(r.Token, now)
	}
	if !l.Valid() || l.viewAge(now) > l.Derived.WatchStale || r.Token > l.token {
		return nil
	}
	m := l.machines.byID[r.Machine]
	if _, gone := l.returned[r.Machine]; m == nil && gone {
		return nil
	}
	c := counter(r)
	if m != nil {
		if m.phase == returning {
			// Its release may take as long as an outage of the cloud. Unanswered,
			// its tasks end with its lease; answered, they would run on, those of
			// jobs cancelled meanwhile as well.
			return nil
		}
		if l.mayStartCancelled(m, now) {
			return nil
		}
		if r.Session < m.session || c == m.lastReport || c.Before(m.lastReport) {
			return nil // from before a lease that has run out, or a late copy
		}
		// Whoever gets an answer has its lease renewed by it.
		m.leaseUntil, m.lastReport = now.Add(l.Derived.LeaseOver), c
	}
	l.takeover.HeartbeatAnswered(now)
	if r.Token < l.term.Token {
		// Sent before the worker heard of this term, or a copy of such a report
		// that was under way for any length of time. It proves nothing; the
		// answer brings the token, and with it a report that does.
		return &workers.Answer{Token: l.term.Token, Calls: l.stopsOfCancelled(r)}
	}
	l.takeover.MachineReported(r.Machine)
	if m == nil {
		m = newMachine(r.Machine, now)
		m.typ, m.zone, m.spot, m.addr = r.Type, r.Zone, r.Spot, r.Addr
		m.leaseUntil = now.Add(l.Derived.LeaseOver)
		m.lastReport = c
		l.machines.add(m)
	}
	if m.phase == booting {
		l.booted(m, now)
	}
	l.checkDelivery(m, r, now)
	l.watch.Heartbeat(m.id, r.Zone, c, now)
	if m.dead && !l.watch.IsDead(m.id) {
		m.dead = false
		slog.Info("machine reports again", "machine", m.id, "term", l.token)
	}
	l.adopt(m, r, now)
	l.observe(m, r, now)
	m.reported, m.orderFails = now, 0
	l.updateCapacity(m, now)
	calls := l.calls(m, true)
	m.lastCalls = calls
	return &workers.Answer{Token: l.tokenFor(m), Calls: calls}
}

// stopsOfCancelled returns stops for the tasks in a report whose jobs are cancelled. Any
// answer renews the worker's lease: were it without them, and this leader to end before
// the next report, they would run for a whole lease more, and one leader after the other
// could give them that. To stop them is right however old the report is.
func (l *Leader) stopsOfCancelled(r *workers.Report) []workers.Call {
	calls := []workers.Call{}
	for _, t := range r.Tasks {
		id, _, ok := workers.SplitTask(t.Task)
		if d := reconcile.DecideOnStaleHeartbeat(&t, ok && l.isCancelled(id)); d.Action == reconcile.Stop {
			calls = append(calls, l.tell(stopCall(t.Task, t.Attempt, 0), d))
		}
	}
	return calls
}

// isCancelled tells whether a job is known to be cancelled.
func (l *Leader) isCancelled(id string) bool {
	if j := l.jobs[id]; j != nil {
		return j.cancelled
	}
	known, _ := l.Cache.Known(id)
	return known.State == jobs.Cancelled
}

// mayStartCancelled tells whether an order on its way may still begin a task whose job
// is cancelled. A higher token ends that, but in an outage of the state service there
// is none to be had. Then the worker's lease has to end in time, and with it the
// session that the order is for.
func (l *Leader) mayStartCancelled(m *machine, now time.Time) bool {
	if m.doubtSince.IsZero() {
		return false
	}
	for _, a := range m.assigned {
		if a.outcome == open && a.doubt != 0 && a.job.cancelled && now.Sub(a.job.heard) > l.Derived.WatchStale/2 {
			return true
		}
	}
	return false
}

// mostUndelivered is how many answers in a row may go undelivered.
const mostUndelivered = 2

// checkDelivery finds machines whose reports arrive while our answers do not: what an
// answer asked for has not happened by the next report. Such a machine would
// look healthy for ever, and task after task would be given to it in vain.
func (l *Leader) checkDelivery(m *machine, r *workers.Report, now time.Time) {
	heard := len(m.lastCalls) == 0
	for _, c := range m.lastCalls {
		t := taskIn(r, ref{c.Task, c.Attempt})
		a := m.find(ref{c.Task, c.Attempt})
		switch {
		case c.Op == workers.OpRun:
			heard = heard || t != nil
		case c.Op == workers.OpClear:
			heard = heard || t == nil
		case a != nil && a.job.isGang() && t != nil && t.State == workers.Running:
			heard = true // it runs on, in its report, until all have saved
		default:
			heard = heard || t == nil || t.State != workers.Running && t.State != workers.Fetching && t.State != workers.Gathering
		}
	}
	switch {
	case r.Session > m.session || len(m.lastCalls) == 0: // nothing to be learnt
	case heard:
		m.undelivered = 0
		l.watch.MarkReachable(m.id)
	default:
		m.undelivered++
		if m.undelivered == mostUndelivered {
			slog.Info("machine does not hear", "machine", m.id, "term", l.token)
			l.watch.MarkUnreachable(m.id)
			l.replan = true
		}
	}
}

// calls returns what the worker should do, from the difference between its
// picture and ours. A clear goes out in answers only: there is one report in
// flight, so that no run in an earlier answer can follow it. An attempt that was
// begun by an order is cleared when the worker has seen a higher token: it then
// refuses a late copy of that order, which would start the task once more.
func (l *Leader) calls(m *machine, answer bool) []workers.Call {
	calls := []workers.Call{}
	if m.phase == returning {
		return calls
	}
	now := time.Now()
	for _, a := range m.assigned {
		if a.outcome != open || a.session != m.session {
			continue
		}
		switch d := reconcile.DecideCommand(l.attemptFacts(a, now)); d.Action {
		case reconcile.Stop:
			calls = append(calls, l.tell(stopCall(a.name(), a.onWire(), d.GraceS), d))
		case reconcile.Start:
			a.sent, a.ordered = true, !answer
			calls = append(calls, l.tell(workers.Call{Op: workers.OpRun, Task: a.name(), Attempt: a.onWire()}, d))
		default: // it goes on, or has to wait
		}
	}
	return l.unassignedCalls(m, calls, answer)
}

// unassignedCalls adds what the worker should do with tasks that are not assigned to it.
func (l *Leader) unassignedCalls(m *machine, calls []workers.Call, answer bool) []workers.Call {
	var held heldEnds
	for _, t := range m.reportedTasks {
		if m.find(refOf(&t)) != nil {
			continue // its end is not durable yet
		}
		id, _, _ := workers.SplitTask(t.Task)
		facts := reconcile.OrphanedTask{
			Ended: t.State == workers.Ended, JobCancelled: l.isCancelled(id), RecordsIncomplete: l.accountsFor(m, &t),
			CommandToken: m.ordered[refOf(&t)], WorkerToken: m.token, InHeartbeatAnswer: answer,
		}
		switch d := facts.DecideCommand(); {
		case d.Action == reconcile.Stop:
			calls = append(calls, l.tell(stopCall(t.Task, t.Attempt, 0), d))
		case d.Action == reconcile.Acknowledge:
			calls = append(calls, l.tell(workers.Call{Op: workers.OpClear, Task: t.Task, Attempt: t.Attempt}, d))
		case d.Reason == reconcile.TokenNotSuperseded:
			held.add(&t, facts.CommandToken, l.mayRunAgain(&t))
		}
	}
	m.wantsToken = held.wantToken()
	l.clearHeld = l.clearHeld || m.wantsToken && held.newest >= l.token
	return calls
}

func stopCall(task string, attempt uint64, grace float64) workers.Call {
	return workers.Call{Op: workers.OpStop, Task: task, Attempt: attempt, GraceS: &grace}
}
