package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/leader/cluster"
)

// listShare is the part of the cloud's calls that lists may take.
const listShare = 0.25

// listing keeps asking the cloud what there is.
func (l *Leader) listing(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		all, segments, err := l.Cloud.ListMachines(ctx)
		if err != nil {
			slog.Debug("machines not listed", "term", l.term.FencingToken, "reason", err)
		} else {
			l.post(ctx, func(now time.Time) { l.listed(ctx, all, asked, now) })
		}
		l.sleep(ctx, max(l.Derived.Cloud.ListInterval, time.Duration(float64(segments)/(listShare*l.Settings.Deployment.Cloud.RPS)*float64(time.Second))))
	}
}

// listed compares the cloud's list with what we know. The list lags, so that a
// machine missing from it proves nothing, nor does one that is still there. But
// one that was in an earlier list, and has not reported since this one was asked
// for, is mostly gone: it is called.
func (l *Leader) listed(ctx context.Context, all []autoscaler.ListedMachine, asked, now time.Time) {
	var failed []*cluster.Machine
	for _, e := range all {
		m := l.state.Machines.ByID[e.ID]
		if m == nil {
			if until, ok := l.returned[e.ID]; ok && now.Before(until) {
				continue
			}
			m = cluster.NewMachine(e.ID, now.Add(-time.Duration(e.AgeS*float64(time.Second))))
			m.Rental.IdleSince = now
			m.Type, m.Zone, m.Spot = e.Type, e.Zone, e.Spot
			l.state.Machines.Add(m)
			slog.Info("machine found in the list", "machine", m.ID, "term", l.fencing.token, "state", e.State)
		}
		if m.Addr == "" {
			m.Addr = e.Addr
		}
		m.Rental.ListedAt = asked
		if e.State == autoscaler.StateRunning && m.Rental.ListedRunningSince.IsZero() {
			m.Rental.ListedRunningSince = now
		}
		if e.State == autoscaler.StateFailed && m.Phase != cluster.Releasing {
			slog.Info("machine failed", "machine", m.ID, "term", l.fencing.token, "reason", "cloud says so")
			failed = append(failed, m)
		}
	}
	l.release(ctx, now, failed...)
	for _, m := range l.state.Machines.All {
		if m.Phase == cluster.Up && !m.Rental.ListedAt.IsZero() && m.Rental.ListedAt != asked && m.Worker.HeartbeatAt.Before(asked) {
			l.detector.Suspect(m.ID)
		}
	}
	for id, until := range l.returned {
		if now.After(until) {
			delete(l.returned, id)
		}
	}
}

func (l *Leader) booted(m *cluster.Machine, now time.Time) {
	m.Phase = cluster.Up
	m.Rental.IdleSince = now
	took := now.Sub(m.Rental.KnownSince)
	slog.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "term", l.fencing.token, "bootS", took.Seconds())
	l.planner.Requested = true
}
