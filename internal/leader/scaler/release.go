package scaler

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/leader/cluster"
)

// releaseQueue is the machines to be released. There is one request at a time: what comes
// meanwhile goes into the next, so that a zone that is lost does not take more requests than
// the cloud answers.
type releaseQueue struct {
	waiting  []string
	inFlight bool
}

// next takes the machines of the next request out of the queue; none while one is on its way.
func (q *releaseQueue) next() []string {
	if len(q.waiting) == 0 || q.inFlight {
		return nil
	}
	ids := slices.Clone(q.waiting[:min(len(q.waiting), cloud.MaxMachinesPerRelease)])
	q.waiting = slices.Delete(q.waiting, 0, len(ids))
	q.inFlight = true
	return ids
}

// machinesToRelease is the machines that are not needed any more, by their ids.
func (s *Scaler) machinesToRelease(now time.Time) []*cluster.Machine {
	var unneeded []*cluster.Machine
	for _, m := range s.deps.State.Machines.All {
		if s.shouldRelease(m, now) {
			unneeded = append(unneeded, m)
		}
	}
	slices.SortFunc(unneeded, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return unneeded
}

func (s *Scaler) shouldRelease(machine *cluster.Machine, now time.Time) bool {
	switch {
	case machine.Phase == cluster.Releasing || !machine.Health.Dead && s.host.MayHaveUnknownTasks(machine):
		return false
	case machine.Phase == cluster.Booting:
		timedOut := s.bootTimedOut(machine, now)
		if timedOut {
			slog.Info("machine failed to boot in time", "machine", machine.ID, "term", s.host.Token())
		}
		return timedOut
	}
	return isReclaimed(machine, now) || s.isUnneeded(machine, now)
}

// bootTimedOut tells whether a machine that was not heard of is to be given up. One that the
// list has as running may have tasks that no record names: it has a lease to report.
func (s *Scaler) bootTimedOut(machine *cluster.Machine, now time.Time) bool {
	runningSince := machine.Rental.ListedRunningSince
	if !runningSince.IsZero() && now.Sub(runningSince) < s.deps.Derived.Workers.LeaseExpiry {
		return false
	}
	timeout := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.LateBootTimes)
	return now.Sub(machine.Rental.KnownSince) > timeout
}

// isReclaimed tells whether the cloud has taken a machine away as announced: it was not heard
// of since. Its release makes that certain, which frees its tasks before the failure detector
// or its lease would.
func isReclaimed(machine *cluster.Machine, now time.Time) bool {
	notice := machine.Health.NoticeUntil
	return !notice.IsZero() && now.After(notice) && !machine.Worker.HeartbeatAt.After(notice)
}

// isUnneeded tells whether a machine without tasks is to be released. One that the cloud has
// announced to take away is left to it, and to the lag of its list.
func (s *Scaler) isUnneeded(machine *cluster.Machine, now time.Time) bool {
	if len(machine.Assignments) > 0 {
		return false
	}
	idleTooLong := now.Sub(machine.Rental.IdleSince) > s.idleTimeout(machine)
	if !machine.Health.Dead && !machine.Health.Draining && !idleTooLong {
		return false
	}
	notice := machine.Health.NoticeUntil
	return machine.Health.Dead || notice.IsZero() || now.After(notice.Add(s.deps.Derived.Cloud.ListLag))
}

// idleTimeout is how long an idle machine is kept. The cheaper it is, by the price of the
// ordinary kind, the longer keeping it costs less than booting another.
func (s *Scaler) idleTimeout(machine *cluster.Machine) time.Duration {
	keep := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.IdleBootTimes)
	if machineType := s.deps.Catalog.Type(machine.Type); machine.Spot && machineType != nil && machineType.SpotPrice > 0 {
		keep = cluster.ScaleDuration(keep, machineType.Price/machineType.SpotPrice)
	}
	return keep
}

// Release gives machines back to the cloud. From now on nothing is placed on them; when the
// cloud has answered, all that was on them is gone, whatever state they were in. Without a
// machine it sends what still waits.
func (s *Scaler) Release(ctx context.Context, machines ...*cluster.Machine) {
	for _, m := range machines {
		if m.Phase == cluster.Releasing {
			continue
		}
		m.Phase = cluster.Releasing
		s.host.WithdrawOffer(m)
		s.releases.waiting = append(s.releases.waiting, m.ID)
	}
	if ids := s.releases.next(); len(ids) > 0 {
		slog.Info("releasing machines", "machines", ids, "term", s.host.Token())
		go s.requestRelease(ctx, ids)
	}
}

// requestRelease sends a request until the cloud has answered, or leadership is not held. It
// runs on a goroutine of its own.
func (s *Scaler) requestRelease(ctx context.Context, ids []string) {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		if !s.deps.Valid() {
			return struct{}{}, backoff.Permanent(errNotLeading)
		}
		return struct{}{}, s.deps.Cloud.Release(ctx, ids)
	}, backoff.WithBackOff(s.retryBackOff()), backoff.WithMaxElapsedTime(0))
	s.deps.Post(ctx, func(now time.Time) { s.releaseDone(ctx, ids, err, now) })
}

// releaseDone takes in the outcome of a request to release machines.
func (s *Scaler) releaseDone(ctx context.Context, ids []string, err error, now time.Time) {
	s.releases.inFlight = false
	if err != nil {
		// Leadership was not held at that moment. If it is lost, nobody gets here; if a late
		// renewal restores it, the next Reconcile releases them all the same.
		s.releases.waiting = append(ids, s.releases.waiting...)
		return
	}
	for _, id := range ids {
		if m := s.deps.State.Machines.ByID[id]; m != nil {
			s.host.RemoveMachine(m)
			// Heartbeats, too, may arrive long after their machine is gone.
			s.released[id] = now.Add(4 * s.deps.Derived.Workers.CancelDeadline)
		}
	}
	s.host.RequestPlan()
	s.Release(ctx)
}

// WasReleased tells whether the cloud has taken a machine back lately: what still comes from
// it is out of date.
func (s *Scaler) WasReleased(id string) bool {
	_, released := s.released[id]
	return released
}
