package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// handleHeartbeat handles a worker's heartbeat and returns the response, or nil if this controller
// must not respond.
func (l *Leader) handleHeartbeat(heartbeat *workers.Heartbeat, now time.Time) *workers.HeartbeatResponse {
	if heartbeat.FencingToken > l.fencing.Current {
		l.recovery.CheckToken(heartbeat.FencingToken)
	}
	if !l.IsLeader() || l.jobs.Age(now) > l.Derived.Store.MaxStaleness || heartbeat.FencingToken > l.fencing.Current {
		return nil
	}
	machine := l.state.Machines.ByID[heartbeat.Machine]
	if machine == nil && l.scaler.WasReleased(heartbeat.Machine) {
		return nil
	}
	seq := dispatch.HeartbeatSeq(heartbeat)
	if machine != nil {
		if !l.mayRenewLease(machine, seq, now) {
			return nil
		}
		// Every response renews the worker's lease.
		machine.Worker.LeaseUntil, machine.Worker.NewestHeartbeat = now.Add(l.Derived.Workers.LeaseExpiry), seq
	}
	l.failover.HeartbeatAnswered(now)
	if heartbeat.FencingToken < l.fencing.TermToken {
		// The worker sent this heartbeat before it knew of this term, or it is a copy of such a
		// heartbeat with an arbitrary delay. It proves nothing. The response carries the current
		// token, so that the worker's next heartbeat does.
		return l.dispatcher.StaleHeartbeatResponse(heartbeat)
	}
	l.failover.MachineReported(heartbeat.Machine)
	if machine == nil {
		machine = l.addReportedMachine(heartbeat, seq, now)
	}
	l.applyHeartbeat(machine, heartbeat, seq, now)
	return l.dispatcher.HeartbeatResponse(machine)
}

// mayRenewLease reports whether the leader may respond to a heartbeat of a known machine. A response
// renews the worker's lease.
func (l *Leader) mayRenewLease(machine *cluster.Machine, seq liveness.HeartbeatSeq, now time.Time) bool {
	if machine.Phase == cluster.Releasing {
		// A cloud outage can delay the release for as long as it lasts. Without a response the
		// machine's tasks end with its lease. With one they would keep running, including those
		// of jobs that have been cancelled since.
		return false
	}
	if l.dispatcher.MayStartCancelled(machine, now) {
		return false
	}
	// A heartbeat from before an expired lease, or a late copy of one, renews nothing.
	newest := machine.Worker.NewestHeartbeat
	return seq.AgentEpoch >= machine.Worker.AgentEpoch && seq != newest && !seq.Before(newest)
}

// addReportedMachine adds a machine that this leader first learns of from a heartbeat.
func (l *Leader) addReportedMachine(heartbeat *workers.Heartbeat, seq liveness.HeartbeatSeq, now time.Time) *cluster.Machine {
	machine := cluster.NewMachine(heartbeat.Machine, now)
	machine.Type, machine.Zone, machine.Spot, machine.Addr = heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Addr
	machine.Worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
	machine.Worker.NewestHeartbeat = seq
	l.state.Machines.Add(machine)
	return machine
}

// applyHeartbeat applies a heartbeat with a fencing token of this term.
func (l *Leader) applyHeartbeat(machine *cluster.Machine, heartbeat *workers.Heartbeat, seq liveness.HeartbeatSeq, now time.Time) {
	if machine.Phase == cluster.Booting {
		l.scaler.MachineUp(machine, now)
	}
	l.dispatcher.ResponseSettled(machine)
	l.dispatcher.CheckDelivery(machine, heartbeat)
	l.detector.Heartbeat(machine.ID, heartbeat.Zone, seq, now)
	if machine.Health.Dead && !l.detector.IsDead(machine.ID) {
		machine.Health.Dead = false
		slog.Info("machine reports again", "machine", machine.ID, "term", l.fencing.Current)
	}
	l.recovery.AdoptReported(machine, heartbeat, now)
	l.tasks.Observe(machine, heartbeat, now)
	machine.Worker.HeartbeatAt, machine.Commands.FailedRequests = now, 0
	l.updateOffer(machine, now)
}

// isCancelled reports whether a job is known to be cancelled.
func (l *Leader) isCancelled(id string) bool {
	if job := l.state.Jobs[id]; job != nil {
		return job.End.Cancelled
	}
	known, _ := l.Cache.Known(id)
	return known.State == jobs.Cancelled
}
