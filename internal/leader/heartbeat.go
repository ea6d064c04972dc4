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

// answerHeartbeat answers a worker, or returns nil if this node has no right to.
func (l *Leader) answerHeartbeat(heartbeat *workers.Heartbeat, now time.Time) *workers.HeartbeatResponse {
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
		// Whoever gets an answer has its lease renewed by it.
		machine.Worker.LeaseUntil, machine.Worker.NewestHeartbeat = now.Add(l.Derived.Workers.LeaseExpiry), seq
	}
	l.failover.HeartbeatAnswered(now)
	if heartbeat.FencingToken < l.fencing.OfTerm {
		// Sent before the worker heard of this term, or a copy of such a heartbeat that was under
		// way for any length of time. It proves nothing; the answer brings the token, and with it
		// a heartbeat that does.
		return l.dispatcher.AnswerStale(heartbeat)
	}
	l.failover.MachineReported(heartbeat.Machine)
	if machine == nil {
		machine = l.addReportedMachine(heartbeat, seq, now)
	}
	l.takeInHeartbeat(machine, heartbeat, seq, now)
	return l.dispatcher.Answer(machine)
}

// mayRenewLease tells whether a machine that is known may be answered.
func (l *Leader) mayRenewLease(machine *cluster.Machine, seq liveness.HeartbeatSeq, now time.Time) bool {
	if machine.Phase == cluster.Releasing {
		// Its release may take as long as an outage of the cloud. Unanswered, its tasks end with
		// its lease; answered, they would run on, those of jobs cancelled meanwhile as well.
		return false
	}
	if l.dispatcher.MayStartCancelled(machine, now) {
		return false
	}
	// One from before a lease that has expired, or a late copy, renews nothing.
	newest := machine.Worker.NewestHeartbeat
	return seq.Session >= machine.Worker.Session && seq != newest && !seq.Before(newest)
}

// addReportedMachine adds a machine that was not known before its worker reported.
func (l *Leader) addReportedMachine(heartbeat *workers.Heartbeat, seq liveness.HeartbeatSeq, now time.Time) *cluster.Machine {
	machine := cluster.NewMachine(heartbeat.Machine, now)
	machine.Type, machine.Zone, machine.Spot, machine.Addr = heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.Addr
	machine.Worker.LeaseUntil = now.Add(l.Derived.Workers.LeaseExpiry)
	machine.Worker.NewestHeartbeat = seq
	l.state.Machines.Add(machine)
	return machine
}

// takeInHeartbeat takes in a heartbeat of this term.
func (l *Leader) takeInHeartbeat(machine *cluster.Machine, heartbeat *workers.Heartbeat, seq liveness.HeartbeatSeq, now time.Time) {
	if machine.Phase == cluster.Booting {
		l.scaler.MachineUp(machine, now)
	}
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

// isCancelled tells whether a job is known to be cancelled.
func (l *Leader) isCancelled(id string) bool {
	if job := l.state.Jobs[id]; job != nil {
		return job.End.Cancelled
	}
	known, _ := l.Cache.Known(id)
	return known.State == jobs.Cancelled
}
