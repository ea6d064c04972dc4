package leader

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/cloud"
)

// release gives machines back. When the cloud has answered, all that was on
// them is gone, whatever state they were in. There is one request at a time:
// what comes meanwhile goes into the next, so that a zone that is lost does not
// take more requests than the cloud answers.
func (l *Leader) release(ctx context.Context, now time.Time, ms ...*machine) {
	for _, m := range ms {
		if m.phase == returning {
			continue
		}
		m.phase = returning
		l.capacity.Remove(m.offer)
		l.returns = append(l.returns, m.id)
	}
	if len(l.returns) == 0 || l.returning {
		return
	}
	ids := slices.Clone(l.returns[:min(len(l.returns), cloud.MaxMachinesPerRelease)])
	l.returns = slices.Delete(l.returns, 0, len(ids))
	l.returning = true
	slog.Info("machines going back", "machines", ids, "term", l.token)
	go func() {
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			if !l.Valid() {
				return struct{}{}, backoff.Permanent(errTermOver)
			}
			return struct{}{}, l.Cloud.Release(ctx, ids)
		}, backoff.WithBackOff(l.backOff()), backoff.WithMaxElapsedTime(0))
		l.post(ctx, func(now time.Time) {
			l.returning = false
			if err != nil {
				// The term was not covered at that moment. If it is over, nobody gets here;
				// if a late renewal covers it again, the machines still have to go back.
				l.returns = append(ids, l.returns...)
				return
			}
			l.released(ids, now)
			l.release(ctx, now)
		})
	}()
}

func (l *Leader) released(ids []string, now time.Time) {
	for _, id := range ids {
		m := l.machines.byID[id]
		if m == nil {
			continue
		}
		l.lost(m, "machine given back")
		l.watch.Forget(id)
		l.machines.remove(m)
		l.takeover.MachineGone(id)
		// Reports, too, may arrive long after their machine is gone.
		l.returned[id] = now.Add(4 * l.Derived.Cancel)
	}
	l.replan = true
}
