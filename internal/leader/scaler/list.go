package scaler

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/leader/cluster"
)

// listRequestShare is the fraction of the cloud's request rate that listing machines may use.
const listRequestShare = 0.25

// PollList lists the cloud's machines periodically until the context ends and applies each list
// on the event loop. It blocks and runs on its own goroutine.
func (s *Scaler) PollList(ctx context.Context) {
	for ctx.Err() == nil {
		askedAt := time.Now()
		listed, requests, err := s.deps.Cloud.ListMachines(ctx)
		if err != nil {
			slog.Debug("failed to list machines", "reason", err)
		} else {
			s.deps.Post(ctx, func(now time.Time) { s.ApplyList(ctx, listed, askedAt, now) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.pollInterval(requests)):
		}
	}
}

// pollInterval returns the pause after a list that took the given number of requests.
func (s *Scaler) pollInterval(requests int) time.Duration {
	requestsPerSecond := listRequestShare * s.deps.Settings.Deployment.Cloud.RPS
	return max(s.deps.Derived.Cloud.ListInterval, time.Duration(float64(requests)/requestsPerSecond*float64(time.Second)))
}

// ApplyList compares the cloud's list with the known machines. askedAt is when the list was
// requested. The list lags, so neither the absence nor the presence of a machine in it is proof.
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
		m.Cloud.ListedAt = askedAt
		if entry.State == cloud.StateRunning && m.Cloud.ListedRunningSince.IsZero() {
			m.Cloud.ListedRunningSince = now
		}
		if entry.State == cloud.StateFailed && m.Phase != cluster.Releasing {
			slog.Info("machine failed", "machine", m.ID, "term", s.host.Token(), "reason", "reported by the cloud")
			failed = append(failed, m)
		}
	}
	s.Release(ctx, failed...)
	s.suspectUnlisted(askedAt)
	s.forgetReleased(now)
}

// machineOf returns the machine of a list entry, which it adds if the machine is new. It returns nil
// if the machine was released recently: the entry is then out of date.
func (s *Scaler) machineOf(entry cloud.ListedMachine, now time.Time) *cluster.Machine {
	if m := s.deps.State.Machines.ByID[entry.ID]; m != nil {
		return m
	}
	if until, released := s.released[entry.ID]; released && now.Before(until) {
		return nil
	}
	age := time.Duration(entry.AgeS * float64(time.Second))
	m := cluster.NewMachine(entry.ID, now.Add(-age))
	m.Cloud.IdleSince = now
	m.Type, m.Zone, m.Spot = entry.Type, entry.Zone, entry.Spot
	s.deps.State.Machines.Add(m)
	slog.Info("discovered machine in the cloud's list", "machine", m.ID, "term", s.host.Token(), "state", entry.State)
	return m
}

// suspectUnlisted suspects each machine that was in an earlier list, is missing from the list
// requested at askedAt, and has not reported since. Such a machine is most likely gone.
func (s *Scaler) suspectUnlisted(askedAt time.Time) {
	for _, m := range s.deps.State.Machines.All {
		unlisted := !m.Cloud.ListedAt.IsZero() && m.Cloud.ListedAt != askedAt
		if m.Phase == cluster.Up && unlisted && m.Worker.HeartbeatAt.Before(askedAt) {
			s.host.SuspectMachine(m.ID)
		}
	}
}

// forgetReleased removes released machines that the list can no longer show.
func (s *Scaler) forgetReleased(now time.Time) {
	for id, until := range s.released {
		if now.After(until) {
			delete(s.released, id)
		}
	}
}
