package scaler

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/leader/cluster"
)

// listShare is the part of the cloud's requests that lists may take.
const listShare = 0.25

// PollList keeps asking the cloud which machines there are, until the context ends, and has
// each list applied on the event loop. It runs on a goroutine of its own.
func (s *Scaler) PollList(ctx context.Context) {
	for ctx.Err() == nil {
		askedAt := time.Now()
		listed, requests, err := s.deps.Cloud.ListMachines(ctx)
		if err != nil {
			slog.Debug("machines not listed", "term", s.host.Term(), "reason", err)
		} else {
			s.deps.Post(ctx, func(now time.Time) { s.ApplyList(ctx, listed, askedAt, now) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.pollInterval(requests)):
		}
	}
}

// pollInterval is the pause after a list that took so many requests.
func (s *Scaler) pollInterval(requests int) time.Duration {
	requestsPerSecond := listShare * s.deps.Settings.Deployment.Cloud.RPS
	return max(s.deps.Derived.Cloud.ListInterval, time.Duration(float64(requests)/requestsPerSecond*float64(time.Second)))
}

// ApplyList compares the cloud's list, asked for at a moment, with the machines known. The list
// lags, so that a machine missing from it proves nothing, nor does one that is still there.
func (s *Scaler) ApplyList(ctx context.Context, listed []cloud.ListedMachine, askedAt, now time.Time) {
	var failed []*cluster.Machine
	for _, entry := range listed {
		m := s.machineOf(entry, now)
		if m == nil {
			continue
		}
		if m.Addr == "" {
			m.Addr = entry.Addr
		}
		m.Rental.ListedAt = askedAt
		if entry.State == cloud.StateRunning && m.Rental.ListedRunningSince.IsZero() {
			m.Rental.ListedRunningSince = now
		}
		if entry.State == cloud.StateFailed && m.Phase != cluster.Releasing {
			slog.Info("machine failed", "machine", m.ID, "term", s.host.Token(), "reason", "cloud says so")
			failed = append(failed, m)
		}
	}
	s.Release(ctx, failed...)
	s.suspectUnlisted(askedAt)
	s.forgetReleased(now)
}

// machineOf returns the machine of an entry of the list, which is added if it is new; nil if
// it was released lately, so that the entry is out of date.
func (s *Scaler) machineOf(entry cloud.ListedMachine, now time.Time) *cluster.Machine {
	if m := s.deps.State.Machines.ByID[entry.ID]; m != nil {
		return m
	}
	if until, released := s.released[entry.ID]; released && now.Before(until) {
		return nil
	}
	age := time.Duration(entry.AgeS * float64(time.Second))
	m := cluster.NewMachine(entry.ID, now.Add(-age))
	m.Rental.IdleSince = now
	m.Type, m.Zone, m.Spot = entry.Type, entry.Zone, entry.Spot
	s.deps.State.Machines.Add(m)
	slog.Info("machine found in the list", "machine", m.ID, "term", s.host.Token(), "state", entry.State)
	return m
}

// suspectUnlisted suspects each machine that was in an earlier list, is not in the one asked
// for at a moment, and has not reported since: it is mostly gone.
func (s *Scaler) suspectUnlisted(askedAt time.Time) {
	for _, m := range s.deps.State.Machines.All {
		unlisted := !m.Rental.ListedAt.IsZero() && m.Rental.ListedAt != askedAt
		if m.Phase == cluster.Up && unlisted && m.Worker.HeartbeatAt.Before(askedAt) {
			s.host.SuspectMachine(m.ID)
		}
	}
}

// forgetReleased drops the released machines that the list cannot show any more.
func (s *Scaler) forgetReleased(now time.Time) {
	for id, until := range s.released {
		if now.After(until) {
			delete(s.released, id)
		}
	}
}
