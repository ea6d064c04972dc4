package leader

import (
	"context"
	"time"

	"ospreyslip/internal/leader/scaler"
)

// newScaler returns the scaler of a leader, connected to the leader's other parts.
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

// scale provisions and releases machines when that is due.
func (l *Leader) scale(ctx context.Context, now time.Time) {
	if l.scaler.IsDue(now) {
		l.scaler.Reconcile(ctx, now, l.planner.UnmetDemand)
	}
}
