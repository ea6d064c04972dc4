package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// detectFailures probes the machines that look dead, and carries out verdicts.
func (l *Leader) detectFailures(ctx context.Context, now time.Time) {
	probes, verdicts := l.detector.Tick(now, l.Derived.Host.CommandsInFlight-l.loop.probesInFlight)
	for _, id := range probes {
		if machine := l.state.Machines.ByID[id]; machine != nil {
			l.probe(ctx, machine)
		} else {
			l.detector.Forget(id)
		}
	}
	for _, verdict := range verdicts {
		if machine := l.state.Machines.ByID[verdict.Machine]; machine != nil {
			l.declareDead(ctx, machine, verdict.Reason, now)
		}
	}
}

// probe asks a worker what it shows.
func (l *Leader) probe(ctx context.Context, machine *cluster.Machine) {
	l.loop.probesInFlight++
	addr := machine.Addr // a heartbeat may change it meanwhile
	go func() {
		heartbeat, err := l.Workers.Probe(ctx, addr)
		l.post(ctx, func(now time.Time) { l.probeReturned(machine, heartbeat, err, now) })
	}()
}

// probeReturned takes in the outcome of a probe.
func (l *Leader) probeReturned(machine *cluster.Machine, heartbeat *workers.Heartbeat, err error, now time.Time) {
	l.loop.probesInFlight--
	if workers.OutOfSockets(err) {
		l.detector.ProbeNotSent(machine.ID, now) // it never left this process
		return
	}
	if err != nil {
		l.detector.ProbeDone(machine.ID, false, liveness.HeartbeatSeq{}, now)
		return
	}
	machine.Commands.UndeliveredAnswers = 0
	// The answer shows the tasks as they are now, though it renews no lease.
	l.detector.ProbeDone(machine.ID, true, dispatch.HeartbeatSeq(heartbeat), now)
	l.tasks.Observe(machine, heartbeat, now)
}

// declareDead carries out a verdict. A machine that did not answer is released: once the cloud has
// taken it, its tasks are certainly gone, which is sooner than the end of a long lease. One that
// answers keeps its tasks meanwhile.
func (l *Leader) declareDead(ctx context.Context, machine *cluster.Machine, reason liveness.Reason, now time.Time) {
	slog.Info("machine judged dead", "machine", machine.ID, "zone", machine.Zone, "term", l.fencing.Current, "reason", string(reason), "tasks", len(machine.Assignments))
	machine.Health.Dead = true
	for _, a := range machine.Assignments {
		// A gang that runs may well run on. One that gathers would hold its room until the
		// workers give up waiting.
		if a.Outcome == cluster.Open && a.Job.IsGang() && a.ObservedState != workers.StateRunning {
			l.tasks.StopGang(a.Job, 0)
		}
	}
	l.log.QueueDeath(machine.ID)
	l.updateOffer(machine, now)
	l.planner.Requested = true
	if reason == liveness.ProbeFailed {
		l.scaler.Release(ctx, machine)
	}
}
