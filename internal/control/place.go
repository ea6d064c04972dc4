package control

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// dueS is how many seconds a job has left for the next aim that it can still
// meet, given how long its tasks run. One that has not begun is due by its aim
// to begin, too.
func (l *Leader) dueS(j *job, wall int64) float64 {
	if j.spec.Shape != jobs.Batch {
		return placement.NoDeadline
	}
	age, runs := float64(wall-j.atMs)/1000, l.runS(j.spec)
	due, aims := float64(placement.Late), false
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Class != j.spec.Class {
			continue
		}
		switch left := o.WithinS - age; {
		case o.Kind == "finished" && left >= runs:
			due = min(due, left)
		case o.Kind == "deadline" && j.spec.DeadlineS != nil:
			aims = true
			if left := max(1, o.Times)**j.spec.DeadlineS - age; left >= runs {
				due = min(due, left)
			}
		case o.Kind == "wait" && left >= 0 && j.waiting == j.spec.Tasks:
			due = min(due, left+runs)
		}
		aims = aims || o.Kind == "finished"
	}
	if j.spec.DeadlineS != nil && !aims { // nobody has said how much it matters
		aims = true
		if left := *j.spec.DeadlineS - age; left >= runs {
			due = left
		}
	}
	if !aims {
		return placement.NoDeadline
	}
	return due
}

// runS is how long a task of the job will run: its owner's estimate, corrected
// by how far the estimates of its class have been off lately.
func (l *Leader) runS(s *jobs.Spec) float64 {
	if bias, ok := l.bias[s.Class]; ok {
		return s.EstimateS * math.Exp(bias)
	}
	return s.EstimateS
}

// biasWeight is what one completed task counts in the correction of estimates.
const biasWeight = 0.05

// ran learns from a completed task.
func (l *Leader) ran(a *assignment, now time.Time) {
	took := now.Sub(a.since).Seconds()
	if a.since.Equal(a.born) || a.job.spec.EstimateS <= 0 || took <= 0 {
		return // nobody saw it start
	}
	a.job.ranS += took
	a.job.ranCount++
	class, off := a.job.spec.Class, math.Log(took/a.job.spec.EstimateS)
	l.bias[class] += biasWeight * (off - l.bias[class])
}

// overdueShare is the part of a job's tasks that go first when it has got nothing
// for too long. It would starve without; with all of them, so would the others.
const overdueShare = 1.0 / 8

// queue notes that a job has tasks that wait for a machine.
func (l *Leader) queue(j *job) {
	if j.waiting > 0 && !j.over() {
		l.queued[j] = true
	}
}

// cover finds out which jobs their teams' guarantees cover.
func (l *Leader) cover() {
	l.recover = false
	var all []*placement.Job
	back := map[*placement.Job]*job{}
	for _, j := range l.jobs {
		if !j.over() {
			p := &placement.Job{Spec: j.spec, Order: j.order}
			back[p] = j
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *placement.Job) int { return cmp.Compare(a.Order, b.Order) })
	placement.Guarantees(l.Settings.Deployment.Teams, all)
	for p, j := range back {
		j.covered = p.Guaranteed
	}
}

// planJob is a job as placement sees it.
func (l *Leader) planJob(j *job, now time.Time, wall int64) *placement.Job {
	p := &placement.Job{
		Spec: j.spec, Order: j.order, DueS: l.dueS(j, wall), Waiting: j.waiting, Guaranteed: j.covered,
		LeftS: float64(j.spec.Tasks-j.doneCount) * l.runS(j.spec) * j.spec.CPUs, Zones: make(map[string]int, len(j.zones)),
	}
	for z, n := range j.zones {
		p.Zones[z] = n
	}
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == j.spec.Class {
			// Until the order is out and the report back. What has run before
			// is wanted back as soon as it was wanted at first.
			p.StartS = o.WithinS - l.Derived.Beat.Seconds()/4
			if len(j.again) == 0 {
				p.StartS -= float64(wall-j.atMs) / 1000
			}
		}
	}
	if now.Sub(j.served) > l.Derived.BeginBy {
		p.Overdue = min(j.waiting, int(math.Ceil(overdueShare*float64(j.spec.Tasks))))
	}
	return p
}

// planShare bounds the part of the time that planning takes: reports, renewals
// and cancellations have to get through as well.
const planShare = 0.2

// mayPlan tells whether it is time for a plan.
func (l *Leader) mayPlan(now time.Time) bool {
	return l.replan && l.mayBegin(now) && now.Sub(l.plannedAt) >= max(l.Derived.Beat/32, times(l.planTook, 1/planShare))
}

// place plans on the picture as it is and carries the plan out.
func (l *Leader) place(now time.Time) {
	l.replan, l.plannedAt = false, now
	defer func() { l.planTook = time.Since(now) }()
	if l.recover {
		l.cover()
	}
	in := placement.Input{Teams: l.Settings.Deployment.Teams, Used: map[string]placement.Amount{}, Shelves: &l.shelves}
	for team, a := range l.used {
		in.Used[team] = a
	}
	for in.Least < len(l.ranks)-1 && l.ranks[in.Least] == 0 {
		in.Least++
	}
	back := map[*placement.Job]*job{}
	wall := now.UnixMilli()
	for j := range l.queued {
		switch {
		case j.over() || j.waiting == 0:
			delete(l.queued, j)
		case now.Before(j.notBefore):
			l.replan = true
		default:
			p := l.planJob(j, now, wall)
			back[p] = j
			in.Jobs = append(in.Jobs, p)
		}
	}
	slices.SortFunc(in.Jobs, func(a, b *placement.Job) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	placed := map[*placement.Placed]*assignment{}
	asVictim := map[*job]*placement.Job{}
	in.Fill = func(p *placement.Machine) { l.fillOffer(p, asVictim, placed, now) }
	out := placement.Plan(in)
	for _, s := range out.Stop {
		a := placed[s.Task]
		l.stop(a, a.job.spec.SaveS)
	}
	for _, as := range out.Assign {
		j := back[as.Job]
		j.served = now
		l.assign(j, j.take(), l.machines[as.Machine.ID], now).overdue = as.Overdue
	}
	l.unmet = out.Unmet
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *machine, now time.Time) bool {
	return m.phase == up && !m.dead && !m.draining && m.session != 0 && m.token <= l.token && l.watch.Placeable(m.id, now)
}

// fillOffer shows placement what could be stopped on a machine.
func (l *Leader) fillOffer(p *placement.Machine, jobs map[*job]*placement.Job, placed map[*placement.Placed]*assignment, now time.Time) {
	p.Freeing, p.Tasks = placement.Amount{}, p.Tasks[:0]
	for _, a := range l.machines[p.ID].assigned {
		switch {
		case a.outcome != open:
		case a.stop || a.job.over():
			p.Freeing = p.Freeing.Plus(placement.Of(a.job.spec), 1)
		case a.durable:
			j := jobs[a.job]
			if j == nil {
				j = &placement.Job{Spec: a.job.spec, Guaranteed: a.job.covered}
				jobs[a.job] = j
			}
			v := &placement.Placed{Job: j, N: a.n, Overdue: a.overdue}
			if a.seen == workers.Running {
				v.RanS = now.Sub(a.since).Seconds()
			}
			placed[v] = a
			p.Tasks = append(p.Tasks, v)
		}
	}
	slices.SortFunc(p.Tasks, func(a, b *placement.Placed) int {
		return cmp.Compare(placed[a].attempt, placed[b].attempt)
	})
}

// Ratios for finding slow machines. Tasks of one job take much the same time.
const (
	slowRatio   = 2.0 // a task that runs so many times as long as its siblings shows a slow machine
	slowSamples = 2   // siblings that must have completed before that is judged
)

// tooLong is how long a task may run before its machine looks slow. Without
// siblings nothing is known: an estimate that is off by much would send the task
// from machine to machine, each of them suspected in vain.
func tooLong(j *job) float64 {
	if j.ranCount < slowSamples {
		return math.Inf(1)
	}
	return slowRatio * j.ranS / float64(j.ranCount)
}

// findSlow finds machines that run tasks much slower than others, and takes the
// batch work off them that would be over sooner elsewhere.
func (l *Leader) findSlow(now time.Time) {
	for _, m := range l.machines {
		if m.phase != up || m.offer.Slow {
			continue
		}
		for _, a := range m.assigned {
			took := now.Sub(a.since).Seconds()
			// What an earlier leader began has run for longer than we have seen.
			if a.outcome == open && a.seen == workers.Running && a.job.spec.Shape == jobs.Batch && took > tooLong(a.job) {
				slog.Info("machine slow", "machine", m.id, "term", l.token, "task", a.name(), "ranS", took)
				m.offer.Slow = true
				break
			}
		}
		if !m.offer.Slow {
			continue
		}
		services := false
		for _, a := range m.assigned {
			if a.job.spec.Shape != jobs.Batch {
				services = true
			} else if took := now.Sub(a.since).Seconds(); !a.stop && (took < l.runS(a.job.spec) || took > slowRatio*l.runS(a.job.spec)) {
				l.stop(a, a.job.spec.SaveS)
			}
		}
		m.draining = m.draining || !services
		l.shelve(m, now)
		l.replan = true
	}
}

func (l *Leader) machineType(name string) *jobs.MachineType {
	types := l.Catalog()
	i := slices.IndexFunc(types, func(t jobs.MachineType) bool { return t.Name == name })
	if i < 0 {
		return nil
	}
	return &types[i]
}

// assign gives a task to a machine, as far as this leader is concerned.
func (l *Leader) assign(j *job, n int, m *machine, now time.Time) *assignment {
	l.attempts++
	a := &assignment{job: j, n: n, attempt: l.attempts, session: m.session, m: m, since: now, born: now}
	slog.Debug("task placed", "task", a.name(), "machine", m.id, "term", l.token, "class", j.spec.Class)
	l.count(a)
	m.assigned[a.attempt] = a
	j.tasks[n] = a
	l.book.begins = append(l.book.begins, a)
	if !m.offer.Images[j.spec.Image] {
		m.offer.Fetching[j.spec.Image] = j.spec.ImageGB
	}
	return a
}
