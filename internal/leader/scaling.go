package leader

import (
	"context"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/scaler"
)

// newScaler makes the scaler of a leader, with what it needs of the other parts.
func newScaler(l *Leader) *scaler.Scaler {
	return scaler.New(scaler.Deps{
		Settings: l.Settings,
		Derived:  l.Derived,
		Cloud:    l.Cloud,
		Catalog:  l.catalog,
		State:    l.state,
		Host:     scalerHost{l},
		Valid:    l.IsLeader,
		Post:     l.post,
	})
}

// scale releases and rents machines, if it is time for that.
func (l *Leader) scale(ctx context.Context, now time.Time) {
	if l.scaler.IsDue(now) {
		l.scaler.Reconcile(ctx, now, l.planner.Unmet)
	}
}

// scalerHost is the leader as its scaler sees it.
type scalerHost struct{ l *Leader }

func (h scalerHost) Term() uint64 { return h.l.fencing.OfTerm }

func (h scalerHost) Token() uint64 { return h.l.fencing.Current }

func (h scalerHost) RunTimeS(spec *jobs.Spec) float64 { return h.l.runTimes.Seconds(spec) }

func (h scalerHost) IsUsable(m *cluster.Machine, now time.Time) bool { return h.l.acceptsWork(m, now) }

func (h scalerHost) MayHaveUnknownTasks(m *cluster.Machine) bool {
	return h.l.recovery.MayHaveUnknownTasks(m)
}

func (h scalerHost) IsZoneSilent(zone string, now time.Time, while time.Duration) bool {
	return h.l.detector.ZoneFellSilent(zone, now, while)
}

func (h scalerHost) SuspectMachine(id string) { h.l.detector.Suspect(id) }

func (h scalerHost) WithdrawOffer(m *cluster.Machine) { h.l.planner.Capacity.Withdraw(m) }

func (h scalerHost) RemoveMachine(m *cluster.Machine) {
	h.l.tasks.EndAllOn(m, "machine given back")
	h.l.detector.Forget(m.ID)
	h.l.state.Machines.Remove(m)
	h.l.failover.MachineGone(m.ID)
}

func (h scalerHost) RequestPlan() { h.l.planner.Requested = true }
