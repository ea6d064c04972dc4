package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/reconcile"
)

// tick does the work that depends on time rather than on events.
func (l *Leader) tick(ctx context.Context, now time.Time) {
	// A process that was paused for longer than its term sees all machines as idle and silent when
	// it resumes, although its successor is using them. It must not release them before its
	// elector notices that the term has ended.
	if !l.IsLeader() {
		return
	}
	l.expireLeases(now)
	l.finishFailover(now)
	l.dispatcher.ResolveInDoubt(now)
	l.checkMachineGroup(now)
	l.detectFailures(ctx, now)
	l.scale(ctx, now)
	l.recoverRecords(ctx, now)
	l.resignIfUnreachable()
	l.broadcastUpdate(now)
}

// checkMachineGroup checks one group of machines, so that each machine is checked once per control
// interval.
func (l *Leader) checkMachineGroup(now time.Time) {
	l.loop.tickGroup = (l.loop.tickGroup + 1) % cluster.TickGroups
	for machine := range l.state.Machines.Groups[l.loop.tickGroup] {
		l.dispatcher.AnnounceToSilentMachine(machine, now)
		l.updateOffer(machine, now) // a machine that has fallen silent accepts no work
		if machine.ExpireAvoidance(now) {
			l.planner.PlanRequested = true
		}
	}
	if l.loop.tickGroup == 0 && l.canPersistWork(now) {
		l.drainStragglers(now)
	}
}

// expireLeases ends all assignments on machines whose worker's lease has expired. Leases are only
// extended, always to LeaseExpiry from the present time. So none expires before the earliest expiry
// that the last scan found, or LeaseExpiry after that scan, and no scan is needed until then.
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
		l.tasks.EndAssignmentsOn(machine, string(decision.Reason))
		l.failover.MachineGone(machine.ID)
		// Anything that still arrives from the expired agent epoch is out of date.
		if worker.AgentEpoch != 0 {
			worker.AgentEpoch, worker.Seq, worker.Tasks = worker.AgentEpoch+1, 0, nil
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

// drainStragglers drains machines that run tasks much more slowly than other machines.
func (l *Leader) drainStragglers(now time.Time) {
	for _, machine := range l.state.Machines.All {
		if machine.Phase == cluster.Up && len(machine.Assignments) > 0 && l.tasks.DrainStraggler(machine, now) {
			l.updateOffer(machine, now)
		}
	}
}

// resignIfUnreachable resigns if no worker reaches this leader, because workers may reach another
// controller. It waits until known task losses are durable: the next leader would otherwise wait a
// whole lease for each of them again.
func (l *Leader) resignIfUnreachable() {
	if l.detector.FullDisruption() && l.loop.mayResign && l.writer.IsIdle() {
		slog.Info("resigning", "term", l.fencing.Current, "reason", "no machine of any zone reports here")
		l.loop.resigning = true
	}
}

// broadcastUpdate sends the other controllers task counts and job changes, every half control
// interval at most.
func (l *Leader) broadcastUpdate(now time.Time) {
	if now.Sub(l.loop.broadcastAt) > l.Derived.Leader.ControlInterval/2 {
		l.loop.broadcastAt = now
		l.Broadcast(l.Counts.nonZero(), l.jobs.TakeChanges())
	}
}

// productionTasks returns the number of production tasks on a machine.
func (l *Leader) productionTasks(id string) int {
	if machine := l.state.Machines.ByID[id]; machine != nil {
		return tasks.ProductionTasks(machine)
	}
	return 0
}
