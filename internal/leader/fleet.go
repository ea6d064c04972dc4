package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/leader/cluster"
)

// bootTime is how long a machine type usually takes to come up.
func (l *Leader) bootTime(typ string) time.Duration {
	if t := l.machineType(typ); t != nil && t.BootS > 0 {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return l.Derived.Lease
}

func times(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// manageFleet returns what is not needed and rents what is.
func (l *Leader) manageFleet(ctx context.Context, now time.Time) {
	if now.Sub(l.fleetAt) < max(l.Derived.ControlInterval/4, times(l.fleetDuration, 1/planShare)) || l.Catalog() == nil {
		return
	}
	l.fleetAt = now
	defer func() { l.fleetDuration = time.Since(now) }()
	var back []*cluster.Machine
	for _, m := range l.machines.All {
		switch {
		case m.Phase == cluster.Releasing || !m.Health.Dead && l.recovery.MayHaveUnknownTasks(m):
		case m.Phase == cluster.Booting && l.neverCameUp(m, now):
			slog.Info("machine never came up", "machine", m.ID, "term", l.token)
			back = append(back, m)
		case m.Phase == cluster.Up && !m.Health.NoticeUntil.IsZero() && now.After(m.Health.NoticeUntil) && !m.Worker.HeartbeatAt.After(m.Health.NoticeUntil):
			// Announced and not heard since: taken. Giving it back makes that certain,
			// which frees its tasks before a verdict or its lease would.
			back = append(back, m)
		case m.Phase == cluster.Up && len(m.Assignments) == 0 && (m.Health.Dead || m.Health.Draining || now.Sub(m.Rental.IdleSince) > l.idleTime(m)):
			if m.Health.NoticeUntil.IsZero() || now.After(m.Health.NoticeUntil.Add(l.Derived.ListLag)) || m.Health.Dead {
				back = append(back, m)
			}
		}
	}
	slices.SortFunc(back, func(a, b *cluster.Machine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	l.release(ctx, now, back...)
	if now.Before(l.listSyncAt) && l.term.Token > 1 {
		return // an earlier leader's rentals may not be listed yet
	}
	l.rent(ctx, now)
}

// neverCameUp tells whether a machine that was not heard of is to be given up. One that
// the list has as running may have tasks that no record names: it has a lease to report.
func (l *Leader) neverCameUp(m *cluster.Machine, now time.Time) bool {
	if !m.Rental.ListedRunningSince.IsZero() && now.Sub(m.Rental.ListedRunningSince) < l.Derived.LeaseOver {
		return false
	}
	return now.Sub(m.Rental.KnownSince) > times(l.bootTime(m.Type), l.Settings.Operator.LateBoots)
}

// rent asks for machines, with a few requests at a time: more would only wait for
// each other at the cloud, and what they ask for be out of date when it comes.
func (l *Leader) rent(ctx context.Context, now time.Time) {
	if l.rentalsInFlight >= l.Derived.RentalsInFlight {
		return
	}
	needs := l.needs(now)
	if len(needs) == 0 {
		return
	}
	have := map[autoscaler.Kind]int{}
	coming := map[autoscaler.Kind]int{}
	for _, m := range l.machines.All {
		k := autoscaler.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		if m.Phase != cluster.Releasing {
			have[k]++
		}
		if m.Phase == cluster.Booting && now.Sub(m.Rental.KnownSince) < times(l.bootTime(m.Type), l.Settings.Operator.SlowBoots) {
			coming[k]++
		}
	}
	for k, n := range l.renting {
		have[k] += n
		coming[k] += n // on its way, though not in the books yet
	}
	plan := autoscaler.Plan(needs, coming, autoscaler.Market{
		Types: l.Catalog(),
		Have:  have,
		Refused: func(k autoscaler.Kind) bool {
			// What boots in a zone that is cut off is paid for and cannot be used.
			return now.Before(l.refused[k].until) || l.watch.ZoneSilent(k.Zone, now, 2*l.Derived.Cancel)
		},
	})
	for _, k := range autoscaler.Sorted(plan) {
		for n := plan[k]; n > 0 && l.rentalsInFlight < l.Derived.RentalsInFlight; n -= autoscaler.MaxRent {
			l.rentalsMade++
			l.rentalsInFlight++
			r := autoscaler.Rental{Name: fmt.Sprintf("r-%d-%d", l.term.Token, l.rentalsMade), Kind: k, Count: min(n, autoscaler.MaxRent)}
			l.renting[k] += r.Count
			go l.requestRental(ctx, r)
		}
	}
}

// idleTime is how long an idle machine is kept. The cheaper it is, by the price
// of the ordinary kind, the longer keeping it costs less than booting another.
func (l *Leader) idleTime(m *cluster.Machine) time.Duration {
	keep := times(l.bootTime(m.Type), l.Settings.Operator.IdleBoots)
	if t := l.machineType(m.Type); m.Spot && t != nil && t.SpotPrice > 0 {
		keep = times(keep, t.Price/t.SpotPrice)
	}
	return keep
}

// requestRental rents until the outcome is known: after anything but an answer the
// same request, which the cloud carries out once only, goes out again.
func (l *Leader) requestRental(ctx context.Context, r autoscaler.Rental) {
	ids, err := backoff.Retry(ctx, func() ([]string, error) {
		if !l.Valid() {
			return nil, backoff.Permanent(errTermOver)
		}
		ids, err := l.Cloud.Rent(ctx, r)
		if errors.Is(err, autoscaler.ErrNoCapacity) {
			return nil, backoff.Permanent(err)
		}
		return ids, err
	}, backoff.WithBackOff(l.backOff()), backoff.WithMaxElapsedTime(0))
	l.post(ctx, func(now time.Time) {
		l.rentalsInFlight--
		l.renting[r.Kind] -= r.Count
		if err != nil || len(ids) < r.Count {
			ref := l.refused[r.Kind]
			ref.wait = min(max(2*ref.wait, 2*l.Derived.ControlInterval), 8*l.Derived.ListLag)
			ref.until = now.Add(ref.wait)
			l.refused[r.Kind] = ref
		} else {
			delete(l.refused, r.Kind)
		}
		level := slog.LevelInfo
		if len(ids) == 0 {
			level = slog.LevelDebug
		}
		slog.Log(ctx, level, "machines rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(ids), "term", l.token)
		for _, id := range ids {
			if l.machines.ByID[id] == nil {
				m := cluster.NewMachine(id, now)
				m.Type, m.Zone, m.Spot = r.Type, r.Zone, r.Spot
				l.machines.Add(m)
			}
		}
	})
}

// errTermOver ends what only the term's holder may ask of the cloud.
var errTermOver = errors.New("the term is over")

func (l *Leader) backOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = l.Derived.Report / 2
	b.MaxInterval = 2 * l.Derived.Report
	return b
}
