package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/reconcile"
)

// tick does what is due without anything having happened.
func (l *Leader) tick(ctx context.Context, now time.Time) {
	// A process that stood still for longer than its term finds all machines idle and silent when
	// it goes on, while its successor is at work on them: it must not release them before its
	// elector has noticed.
	if !l.IsLeader() {
		return
	}
	l.expireLeases(now)
	l.finishFailover(now)
	l.dispatcher.ResolveInDoubt(now)
	l.lookAtMachines(now)
	l.detectFailures(ctx, now)
	l.scale(ctx, now)
	l.recoverRecords(ctx, now)
	l.resignIfUnreached()
	l.broadcastUpdate(now)
}

// lookAtMachines goes through one group of the machines, so that each has its turn once in a
// control interval.
func (l *Leader) lookAtMachines(now time.Time) {
	l.loop.tickGroup = (l.loop.tickGroup + 1) % cluster.TickGroups
	for machine := range l.state.Machines.Groups[l.loop.tickGroup] {
		l.dispatcher.AnnounceToSilent(machine, now)
		l.updateOffer(machine, now) // what has fallen silent takes no work
		if machine.ExpireAvoidance(now) {
			l.planner.Requested = true
		}
	}
	if l.loop.tickGroup == 0 && l.mayBegin(now) {
		l.drainStragglers(now)
	}
}

// expireLeases ends what a worker's own lease has ended by now. Leases only grow longer, and each
// is set to the same time from then on: none that is set after a look at all of them ends before
// the first of these.
func (l *Leader) expireLeases(now time.Time) {
	if now.Before(l.loop.nextLeaseExpiry) {
		return
	}
	l.loop.nextLeaseExpiry = now.Add(l.Derived.Workers.LeaseExpiry)
	for _, machine := range l.state.Machines.All {
		if machine.Phase == cluster.Booting {
			continue
		}
		worker := &machine.Worker
		decision := reconcile.DecideWithoutHeartbeat(worker.LeaseUntil, now)
		if decision.Action == reconcile.Wait {
			l.loop.nextLeaseExpiry = earlier(l.loop.nextLeaseExpiry, decision.Until)
			continue
		}
		l.tasks.EndAllOn(machine, string(decision.Reason))
		l.failover.MachineGone(machine.ID)
		// Whatever still comes from the old session is out of date.
		if worker.Session != 0 {
			worker.Session, worker.Seq, worker.Tasks = worker.Session+1, 0, nil
			machine.Commands.InDoubtSince = time.Time{}
		}
		worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drainStragglers drains machines that run tasks much slower than others.
func (l *Leader) drainStragglers(now time.Time) {
	for _, machine := range l.state.Machines.All {
		if machine.Phase == cluster.Up && len(machine.Assignments) > 0 && l.tasks.DrainStraggler(machine, now) {
			l.updateOffer(machine, now)
		}
	}
}

// resignIfUnreached makes way for a leader that workers may reach. What is known to be lost is
// durable first: the next leader would wait a whole lease for it once more.
func (l *Leader) resignIfUnreached() {
	if l.detector.FullDisruption() && l.loop.mayResign && l.writer.IsIdle() {
		slog.Info("resigning", "term", l.fencing.Current, "reason", "no machine of any zone reports here")
		l.loop.resigns = true
	}
}

// broadcastUpdate tells other controllers from time to time what has changed.
func (l *Leader) broadcastUpdate(now time.Time) {
	if now.Sub(l.loop.broadcastAt) > l.Derived.Leader.ControlInterval/2 {
		l.loop.broadcastAt = now
		l.Broadcast(l.Counts.nonZero(), l.jobs.TakeChanges())
	}
}

// productionTasks is how many production tasks a machine has.
func (l *Leader) productionTasks(id string) int {
	if machine := l.state.Machines.ByID[id]; machine != nil {
		return tasks.ProductionTasks(machine)
	}
	return 0
}
