package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/jobs"
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
func (l *Leader) needs(now time.Time) []autoscaler.Demand {
	var queue []autoscaler.PendingTasks
	for _, d := range l.unmet {
		if s := d.Job.Spec; s.Shape == jobs.Batch {
			queue = append(queue, autoscaler.PendingTasks{Spec: s, Count: d.Count, RunS: l.runS(s), DeadlineS: l.Settings.Operator.DueShare * l.timeLeft(d.Job)})
		}
	}
	var late []int
	short := 0.0
	if len(queue) > 0 { // services are rented for at once
		late, short = autoscaler.ForecastLateTasks(l.rooms(now), queue), l.shortfall(now)
	}
	var needs []autoscaler.Demand
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
			needs = append(needs, autoscaler.Demand{Spec: d.Job.Spec, TasksByZone: d.Job.TasksByZone, Count: n})
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
		if !j.over() && j.spec.Ends() {
			work += float64(j.spec.Tasks-j.doneCount) * l.runS(j.spec) * j.spec.CPUs
		}
	}
	missing := max(l.arrivalRate, work/l.flowOver().Seconds())
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
func (l *Leader) rooms(now time.Time) []autoscaler.MachineForecast {
	var rooms []autoscaler.MachineForecast
	for _, m := range l.machines.all {
		t := l.machineType(m.typ)
		if t == nil {
			continue
		}
		boot := l.bootTime(m.typ)
		r := autoscaler.MachineForecast{
			MachinePool: autoscaler.MachinePool{Type: m.typ, Zone: m.zone, Spot: m.spot},
			Free:        placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}.AddTimes(m.room, -1),
		}
		switch {
		case l.usable(m, now):
		case m.phase == booting && now.Sub(m.known) < times(boot, l.Settings.Operator.SlowBoots):
			r.AvailableFromS = max(boot-now.Sub(m.known), boot/8).Seconds()
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
			r.Releases = append(r.Releases, autoscaler.Release{AtS: max(left, overrun*l.runS(a.job.spec)), Resources: placement.TaskRequest(a.job.spec)})
		}
		rooms = append(rooms, r)
	}
	slices.SortFunc(rooms, func(a, b autoscaler.MachineForecast) int { return cmp.Compare(a.AvailableFromS, b.AvailableFromS) })
	return rooms
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
	if j.DeadlineS < placement.NoDeadline {
		return j.DeadlineS
	}
	return patience * (l.runS(j.Spec) + l.shortestBoot().Seconds())
}
