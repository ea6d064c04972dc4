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

// releaseQueue holds the machines to be released. At most one request is in flight, and machines
// that are added meanwhile go into the next one. This keeps the loss of a zone from causing more
// requests than the cloud can serve.
type releaseQueue struct {
	waiting  []string
	inFlight bool
}

// next dequeues the machines of the next request. It returns nil while a request is in flight.
func (q *releaseQueue) next() []string {
	if len(q.waiting) == 0 || q.inFlight {
		return nil
	}
	ids := slices.Clone(q.waiting[:min(len(q.waiting), cloud.MaxMachinesPerRelease)])
	q.waiting = slices.Delete(q.waiting, 0, len(ids))
	q.inFlight = true
	return ids
}

// machinesToRelease returns the machines that are no longer needed, sorted by id. It leaves out
// usable ones that waiting gangs need.
func (s *Scaler) machinesToRelease(now time.Time, neededByGangs map[string]bool) []*cluster.Machine {
	var unneeded []*cluster.Machine
	for _, m := range s.deps.State.Machines.All {
		if neededByGangs[m.ID] && s.host.IsUsable(m, now) {
			continue
		}
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

// bootTimedOut reports whether to give up on a machine that has never reported. If the list shows it
// as running, it may have tasks that no record names, and gets the time of a lease to report.
func (s *Scaler) bootTimedOut(machine *cluster.Machine, now time.Time) bool {
	runningSince := machine.Cloud.ListedRunningSince
	if !runningSince.IsZero() && now.Sub(runningSince) < s.deps.Derived.Workers.LeaseExpiry {
		return false
	}
	timeout := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.LateBootTimes)
	return now.Sub(machine.Cloud.KnownSince) > timeout
}

// isReclaimed reports whether the cloud has reclaimed a machine as announced, since the machine has
// not reported after the notice period. Its release confirms that and frees its tasks before
// the failure detector or the worker's lease would.
func isReclaimed(machine *cluster.Machine, now time.Time) bool {
	notice := machine.Health.ReclaimAt
	return !notice.IsZero() && now.After(notice) && !machine.Worker.HeartbeatAt.After(notice)
}

// isUnneeded reports whether to release a machine that has no tasks. A machine that the cloud has
// announced it will reclaim is left to the cloud until its list must show the machine as gone.
func (s *Scaler) isUnneeded(machine *cluster.Machine, now time.Time) bool {
	if len(machine.Assignments) > 0 {
		return false
	}
	idleTooLong := now.Sub(machine.Cloud.IdleSince) > s.idleTimeout(machine)
	if !machine.Health.Dead && !machine.Health.Draining && !idleTooLong {
		return false
	}
	notice := machine.Health.ReclaimAt
	return machine.Health.Dead || notice.IsZero() || now.After(notice.Add(s.deps.Derived.Cloud.ListLag))
}

// idleTimeout returns how long to keep an idle machine. The cheaper a spot machine is compared with
// an on-demand one, the longer keeping it costs less than booting another.
func (s *Scaler) idleTimeout(machine *cluster.Machine) time.Duration {
	timeout := cluster.ScaleDuration(s.deps.Catalog.BootTime(machine.Type), s.deps.Settings.Operator.IdleBootTimes)
	if machineType := s.deps.Catalog.Type(machine.Type); machine.Spot && machineType != nil && machineType.SpotPrice > 0 {
		timeout = cluster.ScaleDuration(timeout, machineType.Price/machineType.SpotPrice)
	}
	return timeout
}

// Release queues machines to be released to the cloud. Nothing is placed on them from now on. Once
// the cloud has responded, all tasks on them are gone, whatever state they were in. Without
// arguments, Release sends what is already queued.
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

// requestRelease sends a request until the cloud has confirmed it or leadership is not held. It
// runs on its own goroutine.
func (s *Scaler) requestRelease(ctx context.Context, ids []string) {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		if !s.deps.Valid() {
			return struct{}{}, backoff.Permanent(errNotLeading)
		}
		return struct{}{}, s.deps.Cloud.Release(ctx, ids)
	}, backoff.WithBackOff(s.retryBackOff()), backoff.WithMaxElapsedTime(0))
	s.deps.Post(ctx, func(now time.Time) { s.releaseDone(ctx, ids, err, now) })
}

// releaseDone processes the outcome of a release request.
func (s *Scaler) releaseDone(ctx context.Context, ids []string, err error, now time.Time) {
	s.releases.inFlight = false
	if err != nil {
		// Leadership was not held at that moment. If it is lost, this code does not run. If a late
		// renewal restores it, the next Reconcile sends the release again.
		s.releases.waiting = append(ids, s.releases.waiting...)
		return
	}
	for _, id := range ids {
		if m := s.deps.State.Machines.ByID[id]; m != nil {
			s.host.RemoveMachine(m)
			// Heartbeats may also arrive long after their machine is gone.
			s.released[id] = now.Add(4 * s.deps.Derived.Workers.CancelDeadline)
		}
	}
	s.host.RequestPlan()
	s.Release(ctx)
}

// WasReleased reports whether the release of a machine was confirmed recently. Messages that still
// arrive from it are out of date.
func (s *Scaler) WasReleased(id string) bool {
	_, released := s.released[id]
	return released
}
