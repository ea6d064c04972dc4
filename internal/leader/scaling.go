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
		Term:     l.term.Token,
		Jobs:     l.jobs,
		Machines: &l.machines,
		Host:     scalerHost{l},
		Valid:    l.Valid,
		Post:     l.post,
	})
}

// scale releases and rents machines, if it is time for that.
func (l *Leader) scale(ctx context.Context, now time.Time) {
	if l.scaler.IsDue(now) {
		l.scaler.Reconcile(ctx, now, l.unmet)
	}
}

// scalerHost is the leader as its scaler sees it.
type scalerHost struct{ l *Leader }

func (h scalerHost) Token() uint64 { return h.l.token }

func (h scalerHost) RunTimeS(spec *jobs.Spec) float64 { return h.l.runS(spec) }

func (h scalerHost) IsUsable(m *cluster.Machine, now time.Time) bool { return h.l.usable(m, now) }

func (h scalerHost) MayHaveUnknownTasks(m *cluster.Machine) bool { return h.l.mayHaveTasks(m) }

func (h scalerHost) IsZoneSilent(zone string, now time.Time, while time.Duration) bool {
	return h.l.watch.ZoneSilent(zone, now, while)
}

func (h scalerHost) SuspectMachine(id string) { h.l.watch.Suspect(id) }

func (h scalerHost) WithdrawOffer(m *cluster.Machine) { h.l.capacity.Remove(m.Offer) }

func (h scalerHost) RemoveMachine(m *cluster.Machine) {
	h.l.lost(m, "machine given back")
	h.l.watch.Forget(m.ID)
	h.l.machines.Remove(m)
	h.l.takeover.Gone(m.ID)
}

func (h scalerHost) RequestPlan() { h.l.replan = true }
