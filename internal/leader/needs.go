package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
)

// Ratios of the forecast.
const (
	overrun    = 0.2 // a task that should be over is expected to run on for this part of its run time
	rentAtOnce = 3   // requests for one kind of machine at a time
	patience   = 4.0 // a job without an aim to meet is given so many times its run and boot time
)

// needs is the work that machines should be rented for: services at once, and
// batch tasks that would be over too late on the machines there are.
func (l *Leader) needs(now time.Time) []autoscaler.Need {
	var queue []autoscaler.Waiting
	for _, d := range l.unmet {
		if s := d.Job.Spec; s.Shape == jobs.Batch {
			queue = append(queue, autoscaler.Waiting{Spec: s, Count: d.Count, RunS: l.runS(s), DueS: l.Settings.Operator.DueShare * l.timeLeft(d.Job)})
		}
	}
	var late []int
	short := 0.0
	if len(queue) > 0 { // services are rented for at once
		late, short = autoscaler.Late(l.rooms(now), queue), l.shortfall(now)
	}
	var needs []autoscaler.Need
	for _, d := range l.unmet {
		n := d.Count
		if s := d.Job.Spec; s.Shape == jobs.Batch {
			n, late = late[0], late[1:]
			// A new machine works off several tasks one after the other.
			if waves := (l.timeLeft(d.Job) - l.catalog.ShortestBootTime().Seconds()) / l.runS(s); waves > 1 && n > 0 {
				n = int(math.Ceil(float64(n) / math.Floor(waves)))
			}
			// The forecast knows of no work that is still to come.
			if each := d.Job.Spec.CPUs; each > 0 && short > 0 {
				n = max(n, min(d.Count, int(math.Ceil(short/each))))
				short -= float64(n) * each
			}
		}
		if n > 0 {
			needs = append(needs, autoscaler.Need{Spec: d.Job.Spec, Zones: d.Job.Zones, Count: n})
		}
	}
	return needs
}

// flowOver is the time over which the flow of work is averaged: until a job that
// got nothing goes first.
func (l *Leader) flowOver() time.Duration { return l.Derived.BeginBy }

// arrived takes in the work of a new job, in CPU seconds a second. An old one,
// that a new leader finds, counts the less.
func (l *Leader) arrived(j *cluster.Job, age time.Duration, now time.Time) {
	if !j.Spec.Ends() {
		return
	}
	l.decayFlow(now)
	work := float64(j.Spec.Tasks) * l.runS(j.Spec) * j.Spec.CPUs
	l.arrivalRate += work / l.flowOver().Seconds() * math.Exp(-max(0, age.Seconds())/l.flowOver().Seconds())
}

func (l *Leader) decayFlow(now time.Time) {
	l.arrivalRate *= math.Exp(-now.Sub(l.arrivalRateAt).Seconds() / l.flowOver().Seconds())
	l.arrivalRateAt = now
}

// shortfall is how many CPUs are missing, next to the services, for the flow of
// batch work that there has been lately and for working off what there is in the
// same time.
func (l *Leader) shortfall(now time.Time) float64 {
	l.decayFlow(now)
	work := 0.0
	for _, j := range l.jobs {
		if !j.IsOver() && j.Spec.Ends() {
			work += float64(j.Spec.Tasks-j.Completions.Count) * l.runS(j.Spec) * j.Spec.CPUs
		}
	}
	missing := max(l.arrivalRate, work/l.flowOver().Seconds())
	for _, m := range l.machines.All {
		if t := l.catalog.Type(m.Type); t != nil && m.Phase != cluster.Releasing && !m.Health.Dead && !m.Health.Draining {
			missing -= t.CPUs
			for _, a := range m.Assignments {
				if !a.Job.Spec.Ends() {
					missing += a.Job.Spec.CPUs
				}
			}
		}
	}
	for k, n := range l.renting {
		if t := l.catalog.Type(k.Type); t != nil {
			missing -= t.CPUs * float64(n)
		}
	}
	return missing
}

// rooms is what the forecast plays on.
func (l *Leader) rooms(now time.Time) []autoscaler.Room {
	var rooms []autoscaler.Room
	for _, m := range l.machines.All {
		t := l.catalog.Type(m.Type)
		if t == nil {
			continue
		}
		boot := l.catalog.BootTime(m.Type)
		r := autoscaler.Room{
			Kind: autoscaler.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot},
			Free: placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}.Plus(m.Used, -1),
		}
		switch {
		case l.usable(m, now):
		case m.Phase == cluster.Booting && now.Sub(m.Rental.KnownSince) < cluster.ScaleDuration(boot, l.Settings.Operator.SlowBoots):
			r.From = max(boot-now.Sub(m.Rental.KnownSince), boot/8).Seconds()
		default:
			continue
		}
		for _, a := range m.Assignments {
			if a.Outcome != cluster.Open || !a.Job.Spec.Ends() {
				continue
			}
			left := l.runS(a.Job.Spec) - now.Sub(a.RunningSince).Seconds()
			if a.Stop.Requested || a.Job.IsOver() {
				left = a.Stop.GraceS
			}
			r.Leaves = append(r.Leaves, autoscaler.Leave{At: max(left, overrun*l.runS(a.Job.Spec)), Need: placement.Of(a.Job.Spec)})
		}
		rooms = append(rooms, r)
	}
	slices.SortFunc(rooms, func(a, b autoscaler.Room) int { return cmp.Compare(a.From, b.From) })
	return rooms
}

// timeLeft is how many seconds a batch job has left. Without an aim to meet it
// should not wait for ever either.
func (l *Leader) timeLeft(j *placement.Job) float64 {
	if j.DueS < placement.NoDeadline {
		return j.DueS
	}
	return patience * (l.runS(j.Spec) + l.catalog.ShortestBootTime().Seconds())
}
