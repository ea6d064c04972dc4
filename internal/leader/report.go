package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/workers"
)

// answerHeartbeat answers a worker, or returns nil if this node has no right to.
func (l *Leader) answerHeartbeat(r *workers.Heartbeat, now time.Time) *workers.HeartbeatResponse {
	if r.FencingToken > l.fencing.token {
		l.recovery.CheckToken(r.FencingToken)
	}
	if !l.IsLeader() || l.wishesAge(now) > l.Derived.Store.MaxStaleness || r.FencingToken > l.fencing.token {
		return nil
	}
	m := l.state.Machines.ByID[r.Machine]
	if m == nil && l.scaler.WasReleased(r.Machine) {
		return nil
	}
	c := heartbeatSeq(r)
	if m != nil {
		if m.Phase == cluster.Releasing {
			// Its release may take as long as an outage of the cloud. Unanswered,
			// its tasks end with its lease; answered, they would run on, those of
			// jobs cancelled meanwhile as well.
			return nil
		}
		if l.mayStartCancelled(m, now) {
			return nil
		}
		if r.AgentEpoch < m.Worker.Session || c == m.Worker.NewestHeartbeat || c.Before(m.Worker.NewestHeartbeat) {
			return nil // from before a lease that has run out, or a late copy
		}
		// Whoever gets an answer has its lease renewed by it.
		m.Worker.LeaseUntil, m.Worker.NewestHeartbeat = now.Add(l.Derived.Workers.LeaseExpiry), c
	}
	l.failover.HeartbeatAnswered(now)
	if r.FencingToken < l.term.FencingToken {
		// Sent before the worker heard of this term, or a copy of such a report
		// that was under way for any length of time. It proves nothing; the
		// answer brings the token, and with it a report that does.
		return &workers.HeartbeatResponse{FencingToken: l.term.FencingToken, Commands: l.stopsForCancelledJobs(r)}
	}
	l.failover.MachineReported(r.Machine)
	if m == nil {
		m = cluster.NewMachine(r.Machine, now)
		m.Type, m.Zone, m.Spot, m.Addr = r.Type, r.Zone, r.Spot, r.Addr
		m.Worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
		m.Worker.NewestHeartbeat = c
		l.state.Machines.Add(m)
	}
	if m.Phase == cluster.Booting {
		l.scaler.MachineUp(m, now)
	}
	l.checkDelivery(m, r, now)
	l.detector.Heartbeat(m.ID, r.Zone, c, now)
	if m.Health.Dead && !l.detector.IsDead(m.ID) {
		m.Health.Dead = false
		slog.Info("machine reports again", "machine", m.ID, "term", l.fencing.token)
	}
	l.recovery.AdoptReported(m, r, now)
	l.applyObservation(m, r, now)
	m.Worker.HeartbeatAt, m.Commands.OrderFailures = now, 0
	l.updateCapacity(m, now)
	calls := l.commandsFor(m, true)
	m.Commands.LastAnswer = calls
	return &workers.HeartbeatResponse{FencingToken: l.tokenFor(m), Commands: calls}
}

// stopsForCancelledJobs returns stops for the tasks in a report whose jobs are cancelled. Any
// answer renews the worker's lease: were it without them, and this leader to end before
// the next report, they would run for a whole lease more, and one leader after the other
// could give them that. To stop them is right however old the report is.
func (l *Leader) stopsForCancelledJobs(r *workers.Heartbeat) []workers.Command {
	calls := []workers.Command{}
	for _, t := range r.Tasks {
		id, _, ok := workers.SplitTask(t.Name)
		if d := reconcile.DecideOnStaleHeartbeat(&t, ok && l.isCancelled(id)); d.Action == reconcile.Stop {
			calls = append(calls, l.countCommand(stopCommand(t.Name, t.Attempt, 0), d))
		}
	}
	return calls
}

// isCancelled tells whether a job is known to be cancelled.
func (l *Leader) isCancelled(id string) bool {
	if j := l.state.Jobs[id]; j != nil {
		return j.End.Cancelled
	}
	known, _ := l.Cache.Known(id)
	return known.State == jobs.Cancelled
}

// mayStartCancelled tells whether an order on its way may still begin a task whose job
// is cancelled. A higher token ends that, but in an outage of the state service there
// is none to be had. Then the worker's lease has to end in time, and with it the
// session that the order is for.
func (l *Leader) mayStartCancelled(m *cluster.Machine, now time.Time) bool {
	if m.Commands.InDoubtSince.IsZero() {
		return false
	}
	for _, a := range m.Assignments {
		if a.Outcome == cluster.Open && a.Start.InDoubtToken != 0 && a.Job.End.Cancelled && now.Sub(a.Job.End.CancelSeenAt) > l.Derived.Store.MaxStaleness/2 {
			return true
		}
	}
	return false
}

// maxUndelivered is how many answers in a row may go undelivered.
const maxUndelivered = 2

// checkDelivery finds machines whose reports arrive while our answers do not: what an
// answer asked for has not happened by the next report. Such a machine would
// look healthy for ever, and task after task would be given to it in vain.
func (l *Leader) checkDelivery(m *cluster.Machine, r *workers.Heartbeat, now time.Time) {
	heard := len(m.Commands.LastAnswer) == 0
	for _, c := range m.Commands.LastAnswer {
		t := findTask(r, cluster.CommandRef(&c))
		a := m.FindAssignment(cluster.CommandRef(&c))
		switch {
		case c.Op == workers.OpRun:
			heard = heard || t != nil
		case c.Op == workers.OpClear:
			heard = heard || t == nil
		case a != nil && a.Job.IsGang() && t != nil && t.State == workers.StateRunning:
			heard = true // it runs on, in its report, until all have saved
		default:
			heard = heard || t == nil || t.State != workers.StateRunning && t.State != workers.StateFetching && t.State != workers.StateGathering
		}
	}
	switch {
	case r.AgentEpoch > m.Worker.Session || len(m.Commands.LastAnswer) == 0: // nothing to be learnt
	case heard:
		m.Commands.UndeliveredAnswers = 0
		l.detector.MarkReachable(m.ID)
	default:
		m.Commands.UndeliveredAnswers++
		if m.Commands.UndeliveredAnswers == maxUndelivered {
			slog.Info("machine does not hear", "machine", m.ID, "term", l.fencing.token)
			l.detector.MarkUnreachable(m.ID)
			l.planner.Requested = true
		}
	}
}

// commandsFor returns what the worker should do, from the difference between its
// picture and ours. A clear goes out in answers only: there is one report in
// flight, so that no run in an earlier answer can follow it. An attempt that was
// begun by an order is cleared when the worker has seen a higher token: it then
// refuses a late copy of that order, which would start the task once more.
func (l *Leader) commandsFor(m *cluster.Machine, answer bool) []workers.Command {
	calls := []workers.Command{}
	if m.Phase == cluster.Releasing {
		return calls
	}
	now := time.Now()
	for _, a := range m.Assignments {
		if a.Outcome != cluster.Open || a.Session != m.Worker.Session {
			continue
		}
		switch d := reconcile.DecideCommand(l.attemptFacts(a, now)); d.Action {
		case reconcile.Stop:
			calls = append(calls, l.countCommand(stopCommand(a.TaskName(), a.WireAttempt(), d.GraceS), d))
		case reconcile.Start:
			a.Start.Sent, a.Start.OrderInFlight = true, !answer
			calls = append(calls, l.countCommand(workers.Command{Op: workers.OpRun, Task: a.TaskName(), Attempt: a.WireAttempt()}, d))
		default: // it goes on, or has to wait
		}
	}
	return l.addOrphanCommands(m, calls, answer)
}

// addOrphanCommands adds what the worker should do with tasks that are not assigned to it.
func (l *Leader) addOrphanCommands(m *cluster.Machine, calls []workers.Command, answer bool) []workers.Command {
	var held heldAcknowledgements
	for _, t := range m.Worker.Tasks {
		if m.FindAssignment(cluster.RefOf(&t)) != nil {
			continue // its end is not durable yet
		}
		id, _, _ := workers.SplitTask(t.Name)
		facts := reconcile.OrphanedTask{
			Ended: t.State == workers.StateEnded, JobCancelled: l.isCancelled(id), RecordsIncomplete: l.recovery.LeaveAlone(m, &t),
			CommandToken: m.Commands.StartedByOrder[cluster.RefOf(&t)], WorkerToken: m.Worker.Token, InHeartbeatAnswer: answer,
		}
		switch d := facts.DecideCommand(); {
		case d.Action == reconcile.Stop:
			calls = append(calls, l.countCommand(stopCommand(t.Name, t.Attempt, 0), d))
		case d.Action == reconcile.Acknowledge:
			calls = append(calls, l.countCommand(workers.Command{Op: workers.OpClear, Task: t.Name, Attempt: t.Attempt}, d))
		case d.Reason == reconcile.TokenNotSuperseded:
			held.add(&t, facts.CommandToken, l.mayRunAgain(&t))
		}
	}
	m.Commands.NeedsHigherToken = held.needHigherToken()
	l.fencing.acknowledgementsHeld = l.fencing.acknowledgementsHeld || m.Commands.NeedsHigherToken && held.newest >= l.fencing.token
	return calls
}

func stopCommand(task string, attempt uint64, grace float64) workers.Command {
	return workers.Command{Op: workers.OpStop, Task: task, Attempt: attempt, GraceS: &grace}
}
