package leader

import (
	"log/slog"
	"math"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// observe takes a worker's own picture of its machine. It returns false for an
// old copy, which must not turn the picture back.
func (l *Leader) observe(m *machine, r *workers.Report, now time.Time) bool {
	if r.Session < m.session || r.Session == m.session && m.seq != 0 && r.Seq <= m.seq {
		return false
	}
	if r.Session > m.session {
		// The answer to an order or a call may tell of the new session before the end
		// of the old one is over by our clock, which counts from when a report arrived.
		// What begins in the new one may run for a whole lease from now.
		m.leaseUntil = now.Add(l.Derived.LeaseOver)
		m.doubtSince = time.Time{}
		l.replan = true
	}
	m.session, m.seq, m.token, m.reportedTasks = r.Session, r.Seq, r.Token, r.Tasks
	m.addr, m.typ, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	if r.NoticeS != nil {
		l.notice(m, *r.NoticeS, now)
	}
	for begun, token := range m.ordered {
		if token < m.token && taskIn(r, begun) == nil {
			delete(m.ordered, begun)
		}
	}
	for _, a := range m.assigned {
		if a.outcome != open {
			continue
		}
		p := reconcile.Observation{Session: r.Session, Token: r.Token}
		if a.session == r.Session {
			p.Task = taskIn(r, a.ref())
		}
		l.pictured(a, p, reconcile.DecideOnHeartbeat(l.attemptFacts(a, now), p), now)
	}
	return true
}

// pictured carries out what a picture means for an assignment.
func (l *Leader) pictured(a *assignment, p reconcile.Observation, d reconcile.Decision, now time.Time) {
	if p.Task != nil {
		l.present(a, p.Task, now)
	}
	switch d.Action {
	case reconcile.Complete:
		l.completed(a, now)
	case reconcile.Start:
		a.doubt, a.sent = 0, false
		l.see(a, "")
	case reconcile.Reschedule:
		if p.Task != nil {
			l.blame(a, p.Task, now)
		} else {
			a.doubt, a.sent = 0, false
		}
		l.conclude(a, retry)
	default: // it goes on, or nothing is certain
	}
}

// present takes in the state of an assignment's task on its machine.
func (l *Leader) present(a *assignment, t *workers.Task, now time.Time) {
	// One run is sent in one order only, so that one seen is one used up.
	a.doubt, a.sent = 0, true
	if a.seen == t.State {
		return
	}
	slog.Debug("task seen", "task", t.Task, "machine", a.m.id, "term", l.token, "state", t.State)
	switch t.State {
	case workers.Running:
		if a.seen == workers.Fetching || a.seen == workers.Gathering || !a.restored {
			a.since = now
		}
		a.m.used(a.job.spec, l.cacheGB(a.m))
	case workers.Gathering:
		a.m.used(a.job.spec, l.cacheGB(a.m))
	}
	l.see(a, t.State)
	l.show(a.job)
}

func taskIn(r *workers.Report, of ref) *workers.Task {
	for i := range r.Tasks {
		if refOf(&r.Tasks[i]) == of {
			return &r.Tasks[i]
		}
	}
	return nil
}

// completed takes in that a task is done.
func (l *Leader) completed(a *assignment, now time.Time) {
	a.job.errors, a.job.served = 0, now
	clear(a.m.failures)
	l.ran(a, now)
	l.conclude(a, success)
}

// blame finds out whether a task that ended without being done says something against its
// machine or its job.
func (l *Leader) blame(a *assignment, t *workers.Task, now time.Time) {
	j, m := a.job, a.m
	switch t.Cause {
	case workers.CauseStopped, workers.CauseMatesGone, workers.CauseIncomplete:
	case workers.CauseError:
		// Mostly the machine's fault. A job that fails on several machines in
		// a row is its user's mistake: it goes on being tried, ever more rarely.
		j.errors++
		m.failures[j.id] = true
		m.avoidFor(j.id, now.Add(l.Derived.Lease))
		if j.errors > 2 {
			j.notBefore = now.Add(min(l.Derived.Report<<min(j.errors-2, 6), l.Derived.Cancel))
		}
		if len(m.failures) > 1 && !m.draining {
			slog.Info("machine suspected", "machine", m.id, "term", l.token, "reason", "several jobs failed on it")
			m.draining = true
			l.capacity.Remove(m.offer)
		}
	default: // no_room, busy, unknown: refused, and worth another try soon
		m.avoidFor(j.id, now.Add(l.Derived.Report))
		if t.Cause == workers.CauseUnknown {
			j.notBefore = now.Add(l.Derived.Report)
		}
	}
	slog.Debug("task ended", "task", a.name(), "machine", m.id, "term", l.token, "reason", t.Cause)
}

// avoidFor keeps a job off a machine for a while.
func (m *machine) avoidFor(job string, until time.Time) {
	m.avoid[job], m.offer.AvoidJobs[job] = until, true
}

// endAvoidance ends what is over by now.
func (m *machine) endAvoidance(now time.Time) (ended bool) {
	for job, until := range m.avoid {
		if now.After(until) {
			delete(m.avoid, job)
			delete(m.offer.AvoidJobs, job)
			ended = true
		}
	}
	return ended
}

// notice prepares for the loss of a machine: what can save does so, what may still
// complete goes on, and the rest begins anew elsewhere at once.
func (l *Leader) notice(m *machine, inS float64, now time.Time) {
	if m.noticeUntil.IsZero() {
		slog.Info("machine will be taken", "machine", m.id, "term", l.token, "inS", inS)
	}
	m.draining = true
	l.capacity.Remove(m.offer)
	m.noticeUntil = now.Add(time.Duration(inS * float64(time.Second)))
	for _, a := range m.assigned {
		if a.outcome != open || a.stop {
			continue
		}
		switch s := a.job.spec; {
		case a.job.isGang() && gang.ShouldCheckpoint(s.CheckpntS, s.SaveS, l.Derived.GangPeer.Seconds(), inS),
			!a.job.isGang() && s.CheckpntS > 0 && s.SaveS < inS:
			l.stopWithGang(a, s.SaveS)
		case l.hopeless(a, inS, now):
			l.stopWithGang(a, 0)
		}
	}
	l.replan = true
}

// hopeless tells whether a task on a machine that will be taken should begin anew
// elsewhere: if it stays, it most likely loses the time until then as well.
func (l *Leader) hopeless(a *assignment, inS float64, now time.Time) bool {
	if !a.job.spec.Ends() {
		return len(l.unmet) == 0 // it never completes; while others wait it would, too
	}
	ran := 0.0
	if a.seen == workers.Running {
		ran = now.Sub(a.since).Seconds()
	}
	runS := l.runS(a.job.spec)
	if usual, known := a.job.usual(); known {
		runS = math.Exp(usual)
	}
	p := l.runsOf(a.job.spec.Class).endsWithin(ran, inS, runS)
	return p*runS < (1-p)*inS
}
