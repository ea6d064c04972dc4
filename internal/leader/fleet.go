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
	"ospreyslip/internal/cloud"
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
	var back []*machine
	for _, m := range l.machines.all {
		switch {
		case m.phase == returning || !m.dead && l.mayHaveTasks(m):
		case m.phase == booting && l.neverCameUp(m, now):
			slog.Info("machine never came up", "machine", m.id, "term", l.token)
			back = append(back, m)
		case m.phase == up && !m.noticeUntil.IsZero() && now.After(m.noticeUntil) && !m.reported.After(m.noticeUntil):
			// Announced and not heard since: taken. Giving it back makes that certain,
			// which frees its tasks before a verdict or its lease would.
			back = append(back, m)
		case m.phase == up && len(m.assigned) == 0 && (m.dead || m.draining || now.Sub(m.idleSince) > l.idleTime(m)):
			if m.noticeUntil.IsZero() || now.After(m.noticeUntil.Add(l.Derived.ListLag)) || m.dead {
				back = append(back, m)
			}
		}
	}
	slices.SortFunc(back, func(a, b *machine) int {
		if a.id < b.id {
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
func (l *Leader) neverCameUp(m *machine, now time.Time) bool {
	if !m.runningSince.IsZero() && now.Sub(m.runningSince) < l.Derived.LeaseOver {
		return false
	}
	return now.Sub(m.known) > times(l.bootTime(m.typ), l.Settings.Operator.LateBoots)
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
	have := map[autoscaler.MachinePool]int{}
	coming := map[autoscaler.MachinePool]int{}
	for _, m := range l.machines.all {
		k := autoscaler.MachinePool{Type: m.typ, Zone: m.zone, Spot: m.spot}
		if m.phase != returning {
			have[k]++
		}
		if m.phase == booting && now.Sub(m.known) < times(l.bootTime(m.typ), l.Settings.Operator.SlowBoots) {
			coming[k]++
		}
	}
	for k, n := range l.renting {
		have[k] += n
		coming[k] += n // on its way, though not in the books yet
	}
	plan := autoscaler.PlanScaleOut(needs, coming, autoscaler.Market{
		Types:         l.Catalog(),
		MachineCounts: have,
		OutOfCapacity: func(k autoscaler.MachinePool) bool {
			// What boots in a zone that is cut off is paid for and cannot be used.
			return now.Before(l.refused[k].until) || l.watch.ZoneFellSilent(k.Zone, now, 2*l.Derived.Cancel)
		},
	})
	for _, k := range autoscaler.LargestFirst(plan) {
		for n := plan[k]; n > 0 && l.rentalsInFlight < l.Derived.RentalsInFlight; n -= autoscaler.MaxMachinesPerRequest {
			l.rentalsMade++
			l.rentalsInFlight++
			r := cloud.ProvisionRequest{Name: fmt.Sprintf("r-%d-%d", l.term.Token, l.rentalsMade), MachinePool: k, Count: min(n, autoscaler.MaxMachinesPerRequest)}
			l.renting[k] += r.Count
			go l.requestRental(ctx, r)
		}
	}
}

// idleTime is how long an idle machine is kept. The cheaper it is, by the price
// of the ordinary kind, the longer keeping it costs less than booting another.
func (l *Leader) idleTime(m *machine) time.Duration {
	keep := times(l.bootTime(m.typ), l.Settings.Operator.IdleBoots)
	if t := l.machineType(m.typ); m.spot && t != nil && t.SpotPrice > 0 {
		keep = times(keep, t.Price/t.SpotPrice)
	}
	return keep
}

// requestRental rents until the outcome is known: after anything but an answer the
// same request, which the cloud carries out once only, goes out again.
func (l *Leader) requestRental(ctx context.Context, r cloud.ProvisionRequest) {
	ids, err := backoff.Retry(ctx, func() ([]string, error) {
		if !l.Valid() {
			return nil, backoff.Permanent(errTermOver)
		}
		ids, err := l.Cloud.Provision(ctx, r)
		if errors.Is(err, cloud.ErrNoCapacity) {
			return nil, backoff.Permanent(err)
		}
		return ids, err
	}, backoff.WithBackOff(l.backOff()), backoff.WithMaxElapsedTime(0))
	l.post(ctx, func(now time.Time) {
		l.rentalsInFlight--
		l.renting[r.MachinePool] -= r.Count
		if err != nil || len(ids) < r.Count {
			ref := l.refused[r.MachinePool]
			ref.wait = min(max(2*ref.wait, 2*l.Derived.ControlInterval), 8*l.Derived.ListLag)
			ref.until = now.Add(ref.wait)
			l.refused[r.MachinePool] = ref
		} else {
			delete(l.refused, r.MachinePool)
		}
		level := slog.LevelInfo
		if len(ids) == 0 {
			level = slog.LevelDebug
		}
		slog.Log(ctx, level, "machines rented", "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(ids), "term", l.token)
		for _, id := range ids {
			if l.machines.byID[id] == nil {
				m := newMachine(id, now)
				m.typ, m.zone, m.spot = r.Type, r.Zone, r.Spot
				l.machines.add(m)
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
