package leader

import (
	"context"
	"time"

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
