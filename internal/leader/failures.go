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

// detectFailures probes suspect machines and carries out the detector's verdicts.
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

// probe requests a worker's state in a new goroutine and posts the result to the event loop.
func (l *Leader) probe(ctx context.Context, machine *cluster.Machine) {
	l.loop.probesInFlight++
	addr := machine.Addr // copied, because a heartbeat may change it during the probe
	go func() {
		heartbeat, err := l.Workers.Probe(ctx, addr)
		l.post(ctx, func(now time.Time) { l.handleProbeResult(machine, heartbeat, err, now) })
	}()
}

// handleProbeResult handles the result of a probe.
func (l *Leader) handleProbeResult(machine *cluster.Machine, heartbeat *workers.Heartbeat, err error, now time.Time) {
	l.loop.probesInFlight--
	if workers.OutOfSockets(err) {
		l.detector.ProbeNotSent(machine.ID, now) // it proves nothing about the machine
		return
	}
	if err != nil {
		l.detector.ProbeDone(machine.ID, false, liveness.HeartbeatSeq{}, now)
		return
	}
	machine.Commands.UndeliveredResponses = 0
	// The response lists the current tasks, but a probe does not renew the worker's lease.
	l.detector.ProbeDone(machine.ID, true, dispatch.HeartbeatSeq(heartbeat), now)
	l.tasks.Observe(machine, heartbeat, now)
}

// declareDead carries out a verdict. A machine that did not respond to its probe is released: its
// tasks are certainly gone once the cloud has terminated it, which is sooner than the expiry of a
// long lease. A machine that responds keeps its tasks for the time being.
func (l *Leader) declareDead(ctx context.Context, machine *cluster.Machine, reason liveness.Reason, now time.Time) {
	slog.Info("machine judged dead", "machine", machine.ID, "zone", machine.Zone, "term", l.fencing.Current, "reason", string(reason), "tasks", len(machine.Assignments))
	machine.Health.Dead = true
	for _, a := range machine.Assignments {
		// A running gang may continue. A gathering gang would hold its capacity until its
		// workers give up waiting.
		if a.Outcome == cluster.Open && a.Job.IsGang() && a.ObservedState != workers.StateRunning {
			l.tasks.StopGang(a.Job, 0)
		}
	}
	l.log.QueueDeath(machine.ID)
	l.updateOffer(machine, now)
	l.planner.PlanRequested = true
	if reason == liveness.ProbeFailed {
		l.scaler.Release(ctx, machine)
	}
}
