package leader

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/leader/cluster"
)

// release gives machines back. When the cloud has answered, all that was on
// them is gone, whatever state they were in. There is one request at a time:
// what comes meanwhile goes into the next, so that a zone that is lost does not
// take more requests than the cloud answers.
func (l *Leader) release(ctx context.Context, now time.Time, ms ...*cluster.Machine) {
	for _, m := range ms {
		if m.Phase == cluster.Releasing {
			continue
		}
		m.Phase = cluster.Releasing
		l.planner.Capacity.Withdraw(m)
		l.returns = append(l.returns, m.ID)
	}
	if len(l.returns) == 0 || l.returning {
		return
	}
	ids := slices.Clone(l.returns[:min(len(l.returns), autoscaler.MaxMachinesPerRelease)])
	l.returns = slices.Delete(l.returns, 0, len(ids))
	l.returning = true
	slog.Info("machines going back", "machines", ids, "term", l.fencing.token)
	go func() {
		_, err := backoff.Retry(ctx, func() (struct{}, error) {
			if !l.IsLeader() {
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
		m := l.state.Machines.ByID[id]
		if m == nil {
			continue
		}
		l.endMachineTasks(m, "machine given back")
		l.detector.Forget(id)
		l.state.Machines.Remove(m)
		l.failover.MachineGone(id)
		// Reports, too, may arrive long after their machine is gone.
		l.returned[id] = now.Add(4 * l.Derived.Workers.CancelDeadline)
	}
	l.planner.Requested = true
}
