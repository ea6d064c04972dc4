package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/cloud"
)

// listShare is the part of the cloud's calls that lists may take.
const listShare = 0.25

// listing keeps asking the cloud what there is.
func (l *Leader) listing(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		all, segments, err := l.Cloud.ListMachines(ctx)
		if err != nil {
			slog.Debug("machines not listed", "term", l.term.Token, "reason", err)
		} else {
			l.post(ctx, func(now time.Time) { l.listed(ctx, all, asked, now) })
		}
		l.pause(ctx, max(l.Derived.ListEvery, time.Duration(float64(segments)/(listShare*l.Settings.Deployment.Cloud.RPS)*float64(time.Second))))
	}
}

// listed compares the cloud's list with what we know. The list lags, so that a
// machine missing from it proves nothing, nor does one that is still there. But
// one that was in an earlier list, and has not reported since this one was asked
// for, is mostly gone: it is called.
func (l *Leader) listed(ctx context.Context, all []cloud.ListedMachine, asked, now time.Time) {
	var failed []*machine
	for _, e := range all {
		m := l.machines.byID[e.ID]
		if m == nil {
			if until, ok := l.returned[e.ID]; ok && now.Before(until) {
				continue
			}
			m = newMachine(e.ID, now.Add(-time.Duration(e.AgeS*float64(time.Second))))
			m.idleSince = now
			m.typ, m.zone, m.spot = e.Type, e.Zone, e.Spot
			l.machines.add(m)
			slog.Info("machine found in the list", "machine", m.id, "term", l.token, "state", e.State)
		}
		if m.addr == "" {
			m.addr = e.Addr
		}
		m.listed = asked
		if e.State == cloud.StateRunning && m.runningSince.IsZero() {
			m.runningSince = now
		}
		if e.State == cloud.StateFailed && m.phase != returning {
			slog.Info("machine failed", "machine", m.id, "term", l.token, "reason", "cloud says so")
			failed = append(failed, m)
		}
	}
	l.release(ctx, now, failed...)
	for _, m := range l.machines.all {
		if m.phase == up && !m.listed.IsZero() && m.listed != asked && m.reported.Before(asked) {
			l.watch.Suspect(m.id)
		}
	}
	for id, until := range l.returned {
		if now.After(until) {
			delete(l.returned, id)
		}
	}
}

func (l *Leader) booted(m *machine, now time.Time) {
	m.phase = up
	m.idleSince = now
	took := now.Sub(m.known)
	slog.Info("machine up", "machine", m.id, "type", m.typ, "zone", m.zone, "spot", m.spot, "term", l.token, "bootS", took.Seconds())
	l.replan = true
}
