package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreyslip/internal/fleet"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Ratios of the forecast.
const (
	overrun    = 0.2 // a task that should be over is expected to run on for this part of its run time
	rentAtOnce = 3   // requests for one kind of machine at a time
	patience   = 4.0 // a job without an aim to meet is given so many times its run and boot time
)

// listShare is the part of the cloud's calls that lists may take.
const listShare = 0.25

// listing keeps asking the cloud what there is.
func (l *Leader) listing(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		all, segments, err := l.Cloud.List(ctx)
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
func (l *Leader) listed(ctx context.Context, all []fleet.Listed, asked, now time.Time) {
	var failed []*machine
	for _, e := range all {
		m := l.machines.byID[e.ID]
		if m == nil {
			if until, ok := l.gone[e.ID]; ok && now.Before(until) {
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
		if e.State == fleet.Failed && m.phase != returning {
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
	for id, until := range l.gone {
		if now.After(until) {
			delete(l.gone, id)
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
	if now.Sub(l.fleetAt) < max(l.Derived.ControlInterval/4, times(l.fleetTook, 1/planShare)) || l.Catalog() == nil {
		return
	}
	l.fleetAt = now
	defer func() { l.fleetTook = time.Since(now) }()
	var back []*machine
	for _, m := range l.machines.all {
		switch {
		case m.phase == returning:
		case m.phase == booting && now.Sub(m.known) > times(l.bootTime(m.typ), l.Settings.Operator.LateBoots):
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
	have := map[fleet.Kind]int{}
	coming := map[fleet.Kind]int{}
	for _, m := range l.machines.all {
		k := fleet.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot}
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
	plan := fleet.Plan(needs, coming, fleet.Market{
		Types: l.Catalog(),
		Have:  have,
		Refused: func(k fleet.Kind) bool {
			// What boots in a zone that is cut off is paid for and cannot be used.
			return now.Before(l.refused[k].until) || l.watch.ZoneSilent(k.Zone, now, 2*l.Derived.Cancel)
		},
	})
	for _, k := range fleet.Sorted(plan) {
		for n := plan[k]; n > 0 && l.rentalsInFlight < l.Derived.RentalsInFlight; n -= fleet.MaxRent {
			l.rentalsMade++
			l.rentalsInFlight++
			r := fleet.Rental{Name: fmt.Sprintf("r-%d-%d", l.term.Token, l.rentalsMade), Kind: k, Count: min(n, fleet.MaxRent)}
			l.renting[k] += r.Count
			go l.requestRental(ctx, r)
		}
	}
}

// needs is the work that machines should be rented for: services at once, and
// batch tasks that would be over too late on the machines there are.
func (l *Leader) needs(now time.Time) []fleet.Need {
	var queue []fleet.Waiting
	for _, d := range l.unmet {
		if s := d.Job.Spec; s.Shape == jobs.Batch {
			queue = append(queue, fleet.Waiting{Spec: s, Count: d.Count, RunS: l.runS(s), DueS: l.Settings.Operator.DueShare * l.timeLeft(d.Job)})
		}
	}
	var late []int
	short := 0.0
	if len(queue) > 0 { // services are rented for at once
		late, short = fleet.Late(l.rooms(now), queue), l.shortfall(now)
	}
	var needs []fleet.Need
	for _, d := range l.unmet {
		n := d.Count
		if s := d.Job.Spec; s.Shape == jobs.Batch {
			n, late = late[0], late[1:]
			// A new machine works off several tasks one after the other.
			if waves := (l.timeLeft(d.Job) - l.shortestBoot().Seconds()) / l.runS(s); waves > 1 && n > 0 {
				n = int(math.Ceil(float64(n) / math.Floor(waves)))
			}
			// The forecast knows of no work that is still to come.
			if each := d.Job.Spec.CPUs; each > 0 && short > 0 {
				n = max(n, min(d.Count, int(math.Ceil(short/each))))
				short -= float64(n) * each
			}
		}
		if n > 0 {
			needs = append(needs, fleet.Need{Spec: d.Job.Spec, Zones: d.Job.Zones, Count: n})
		}
	}
	return needs
}

// flowOver is the time over which the flow of work is averaged: until a job that
// got nothing goes first.
func (l *Leader) flowOver() time.Duration { return l.Derived.BeginBy }

// arrived takes in the work of a new job, in CPU seconds a second. An old one,
// that a new leader finds, counts the less.
func (l *Leader) arrived(j *job, age time.Duration, now time.Time) {
	if !j.spec.Ends() {
		return
	}
	l.decayFlow(now)
	work := float64(j.spec.Tasks) * l.runS(j.spec) * j.spec.CPUs
	l.flow += work / l.flowOver().Seconds() * math.Exp(-max(0, age.Seconds())/l.flowOver().Seconds())
}

func (l *Leader) decayFlow(now time.Time) {
	l.flow *= math.Exp(-now.Sub(l.flowAt).Seconds() / l.flowOver().Seconds())
	l.flowAt = now
}

// shortfall is how many CPUs are missing, next to the services, for the flow of
// batch work that there has been lately and for working off what there is in the
// same time.
func (l *Leader) shortfall(now time.Time) float64 {
	l.decayFlow(now)
	work := 0.0
	for _, j := range l.jobs {
		if !j.over() && j.spec.Ends() {
			work += float64(j.spec.Tasks-j.doneCount) * l.runS(j.spec) * j.spec.CPUs
		}
	}
	missing := max(l.flow, work/l.flowOver().Seconds())
	for _, m := range l.machines.all {
		if t := l.machineType(m.typ); t != nil && m.phase != returning && !m.dead && !m.draining {
			missing -= t.CPUs
			for _, a := range m.assigned {
				if !a.job.spec.Ends() {
					missing += a.job.spec.CPUs
				}
			}
		}
	}
	for k, n := range l.renting {
		if t := l.machineType(k.Type); t != nil {
			missing -= t.CPUs * float64(n)
		}
	}
	return missing
}

// rooms is what the forecast plays on.
func (l *Leader) rooms(now time.Time) []fleet.Room {
	var rooms []fleet.Room
	for _, m := range l.machines.all {
		t := l.machineType(m.typ)
		if t == nil {
			continue
		}
		boot := l.bootTime(m.typ)
		r := fleet.Room{
			Kind: fleet.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot},
			Free: placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}.Plus(m.room, -1),
		}
		switch {
		case l.usable(m, now):
		case m.phase == booting && now.Sub(m.known) < times(boot, l.Settings.Operator.SlowBoots):
			r.From = max(boot-now.Sub(m.known), boot/8).Seconds()
		default:
			continue
		}
		for _, a := range m.assigned {
			if a.outcome != open || !a.job.spec.Ends() {
				continue
			}
			left := l.runS(a.job.spec) - now.Sub(a.since).Seconds()
			if a.stop || a.job.over() {
				left = a.grace
			}
			r.Leaves = append(r.Leaves, fleet.Leave{At: max(left, overrun*l.runS(a.job.spec)), Need: placement.Of(a.job.spec)})
		}
		rooms = append(rooms, r)
	}
	slices.SortFunc(rooms, func(a, b fleet.Room) int { return cmp.Compare(a.From, b.From) })
	return rooms
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

func (l *Leader) shortestBoot() time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, t := range l.Catalog() {
		least = min(least, l.bootTime(t.Name))
	}
	return least
}

// timeLeft is how many seconds a batch job has left. Without an aim to meet it
// should not wait for ever either.
func (l *Leader) timeLeft(j *placement.Job) float64 {
	if j.DueS < placement.NoDeadline {
		return j.DueS
	}
	return patience * (l.runS(j.Spec) + l.shortestBoot().Seconds())
}

// requestRental rents until the outcome is known: after anything but an answer the
// same request, which the cloud carries out once only, goes out again.
func (l *Leader) requestRental(ctx context.Context, r fleet.Rental) {
	ids, err := backoff.Retry(ctx, func() ([]string, error) {
		if !l.Valid() {
			return nil, backoff.Permanent(errTermOver)
		}
		ids, err := l.Cloud.Rent(ctx, r)
		if errors.Is(err, fleet.ErrNoCapacity) {
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
	ids := slices.Clone(l.returns[:min(len(l.returns), fleet.MaxRelease)])
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
		if err != nil {
			return // the term is over
		}
		l.post(ctx, func(now time.Time) {
			l.returning = false
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
		// Reports, too, may arrive long after their machine is gone.
		l.gone[id] = now.Add(4 * l.Derived.Cancel)
	}
	l.replan = true
}
