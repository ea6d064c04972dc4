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
	if !j.spec.Ends() {
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
	if r := l.runs[s.Class]; r != nil {
		return s.EstimateS * math.Exp(r.off)
	}
	return s.EstimateS
}

// runs is what was learnt of the run times of a class, as logarithms: how far
// they are off the owners' estimates, and how much they vary within a job.
type runs struct {
	off, variance float64
	tasks, jobs   float64
}

const (
	taskWeight  = 0.05 // what one completed task counts in the end
	jobWeight   = 0.2  // what one completed job counts
	priorSpread = 0.7  // before anything is known, run times vary by a factor of two
	mostTook    = 256  // run times that are kept of a job
	leastTook   = 4    // run times of a job that tell how much they vary
)

func (l *Leader) runsOf(class string) *runs {
	r := l.runs[class]
	if r == nil {
		r = &runs{variance: priorSpread * priorSpread}
		l.runs[class] = r
	}
	return r
}

// ran learns from a completed task.
func (l *Leader) ran(a *assignment, now time.Time) {
	took := now.Sub(a.since).Seconds()
	if a.since.Equal(a.born) || a.restored && a.job.isGang() || a.job.spec.EstimateS <= 0 || took <= 0 {
		return // nobody saw it start
	}
	r, x := l.runsOf(a.job.spec.Class), math.Log(took)
	if usual, known := a.job.usual(); known && !a.job.isGang() { // a gang is as slow as its slowest
		a.m.slowness = max(a.m.slowness+r.slowIfTook(x-usual), -float64(len(a.m.assigned)))
	}
	a.job.took(x)
	r.tasks++
	r.off += max(taskWeight, 1/r.tasks) * (x - math.Log(a.job.spec.EstimateS) - r.off)
}

// took notes how long a task of the job ran.
func (j *job) took(x float64) {
	if len(j.tooks) < mostTook {
		i, _ := slices.BinarySearch(j.tooks, x)
		j.tooks = slices.Insert(j.tooks, i, x)
	}
}

// usual is how long a task of the job runs: the middle one of all that have
// begun. Before half of them are done it is not known, as the quick ones are done
// first: by them, the rest would all look slow.
func (j *job) usual() (x float64, known bool) {
	begun := len(j.tooks) + j.running
	if len(j.tooks) < leastTook/2 || 2*len(j.tooks) < begun {
		return 0, false
	}
	return j.tooks[min(begun/2, len(j.tooks)-1)], true
}

// vary learns from a completed job how much its tasks' run times vary.
func (l *Leader) vary(j *job) {
	n := float64(len(j.tooks))
	if n < leastTook {
		return
	}
	mean, sum := 0.0, 0.0
	for _, x := range j.tooks {
		mean += x / n
	}
	for _, x := range j.tooks {
		sum += (x - mean) * (x - mean)
	}
	r := l.runsOf(j.spec.Class)
	r.jobs++
	r.variance += max(jobWeight, 1/(r.jobs+1)) * (sum/(n-1) - r.variance)
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
func (l *Leader) cover(now time.Time) {
	l.uncovered = false
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
		if p.Guaranteed && !j.covered {
			j.coveredAt = now
		}
		j.covered = p.Guaranteed
	}
}

// keepShare is the part of its run time for which room is kept for a gang: what stands
// idle meanwhile is little next to its own work, and where many tasks end all the
// time it mostly suffices.
const keepShare = 0.25

// patientShare is the part of the time in which work within a guarantee should
// start for which it waits for tasks to end by themselves.
const patientShare = 0.5

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
		if o.Kind == "guarantee" && j.spec.Shape == jobs.Batch {
			p.Patient = now.Sub(j.coveredAt).Seconds() < patientShare*o.WithinS
		}
		if o.Kind == "wait" && o.Class == j.spec.Class {
			// Until the order is out and the report back. What has run before
			// is wanted back as soon as it was wanted at first.
			p.StartS = o.WithinS - l.Derived.ControlInterval.Seconds()/4
			if len(j.again) == 0 {
				p.StartS -= float64(wall-j.atMs) / 1000
			}
		}
	}
	if j.spec.Shape == jobs.Batch && j.spec.CheckpntS == 0 && p.DueS < placement.NoDeadline {
		p.Fragile = p.DueS < 2*l.runS(j.spec)
	}
	p.Keep = j.isGang() && now.Sub(j.whole).Seconds() < keepShare*l.runS(j.spec)
	p.Clearing = now.Sub(j.clearing) < l.Derived.Lasting
	if p.Overdue = l.overdue(j, now); p.Overdue > 0 && j.isGang() {
		p.Overdue = j.waiting
	}
	return p
}

// overdue is how many tasks of a job go first because it has got nothing for too
// long. A task that was stopped again soon after its start is nothing.
func (l *Leader) overdue(j *job, now time.Time) int {
	if now.Sub(j.served) <= l.Derived.BeginBy {
		return 0
	}
	ahead := 0
	for _, a := range j.tasks {
		switch {
		case a.outcome != open || a.stop:
		case a.restored:
			return 0 // for as long as an earlier leader's is there
		case a.seen == workers.Running && now.Sub(a.since) > l.Derived.Lasting:
			j.served = now
			return 0
		case a.overdue:
			ahead++
		}
	}
	return max(0, min(j.waiting, mostAhead(j)-ahead))
}

func mostAhead(j *job) int { return int(math.Ceil(overdueShare * float64(j.spec.Tasks))) }

// remember counts a job's age under earlier leaders: with each new one, its wait
// would begin anew. What it has by now may be there because it went first.
func (l *Leader) remember(j *job, age time.Duration, now time.Time) {
	j.served = now.Add(-max(0, age))
	if !j.spec.Ends() || now.Sub(j.served) <= l.Derived.BeginBy || len(j.tasks) > mostAhead(j) {
		return
	}
	for _, a := range j.tasks {
		a.overdue = true
	}
}

// planShare bounds the part of the time that planning takes: reports, renewals
// and cancellations have to get through as well.
const planShare = 0.2

// mayPlan tells whether it is time for a plan.
func (l *Leader) mayPlan(now time.Time) bool {
	return l.replan && l.mayBegin(now) && now.Sub(l.plannedAt) >= max(l.Derived.ControlInterval/32, times(l.planTook, 1/planShare))
}

// place plans on the picture as it is and carries the plan out.
func (l *Leader) place(now time.Time) {
	l.replan, l.plannedAt = false, now
	defer func() { l.planTook = time.Since(now) }()
	if l.uncovered {
		l.cover(now)
	}
	in := placement.Input{Teams: l.Settings.Deployment.Teams, Used: map[string]placement.Amount{}, Index: &l.capacity}
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
		case j.isGang() && len(j.tasks) > 0:
			// Looked at again when the last task of its attempt is forgotten. (Begun
			// earlier, with those whose ends were durable first, it stayed a part.)
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
		a, grace := placed[s.Task], 0.0
		if !s.AtOnce {
			grace = a.job.spec.SaveS
		}
		l.stopWithGang(a, grace)
	}
	for _, as := range out.Assign {
		j := back[as.Job]
		l.assign(j, j.take(), l.machines.byID[as.Machine.ID], now).overdue = as.Overdue
	}
	for _, j := range out.Clearing {
		back[j].clearing = now
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
	for _, a := range l.machines.byID[p.ID].assigned {
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
			if a.job.isGang() {
				v.Falls = a.job.spec.Tasks
			}
			placed[v] = a
			p.Tasks = append(p.Tasks, v)
		}
	}
	slices.SortFunc(p.Tasks, func(a, b *placement.Placed) int {
		return cmp.Compare(placed[a].attempt, placed[b].attempt)
	})
}

// A machine is found slow by the odds: how much likelier the run times on it are
// if it is slow than if it is not. Run times of one class vary by a factor of two
// and more, so that one task that runs for long says little, and several on the
// same machine say much.
const (
	slowFactor = 3.0    // how many times as long tasks run on the machines to be found
	slowOdds   = 1000.0 // how much likelier it must be
)

// slowIfTook is the logarithm of the odds that a task gives that took so much
// longer than usual, as a logarithm too.
func (r *runs) slowIfTook(x float64) float64 {
	slow := math.Log(slowFactor)
	return (2*x*slow - slow*slow) / (2 * r.spread() * r.spread())
}

// slowIfRuns is the same for a task that is still running.
func (r *runs) slowIfRuns(x float64) float64 {
	if x < 0 {
		return 0
	}
	return math.Log(r.longer(x-math.Log(slowFactor))) - math.Log(r.longer(x))
}

// longer is the chance, times two, that a task runs for longer than a multiple of
// its usual time, as a logarithm.
func (r *runs) longer(x float64) float64 { return max(math.Erfc(x/r.spread()/math.Sqrt2), 1e-300) }

// endsWithin is the chance that a task that has run for some time ends within so
// much more, by how long it usually takes. All in seconds.
func (r *runs) endsWithin(ran, more, usual float64) float64 {
	if ran <= 0 {
		return 1 - r.longer(math.Log(more/usual))/2
	}
	return 1 - r.longer(math.Log((ran+more)/usual))/r.longer(math.Log(ran/usual))
}

// spread is never taken for nothing: a few tasks may agree by chance.
func (r *runs) spread() float64 { return max(math.Sqrt(r.variance), priorSpread/4) }

// findSlow finds machines that run tasks much slower than others, and takes the
// batch work off them that would be over sooner elsewhere.
func (l *Leader) findSlow(now time.Time) {
	for _, m := range l.machines.all {
		if m.phase != up || len(m.assigned) == 0 {
			continue
		}
		if !m.offer.Slow {
			odds := l.slowOdds(m, now)
			if odds < math.Log(slowOdds) {
				continue
			}
			slog.Info("machine slow", "machine", m.id, "term", l.token, "odds", math.Exp(odds))
			m.offer.Slow = true
		}
		services := false
		for _, a := range m.assigned {
			if !a.job.spec.Ends() {
				services = true
				continue
			}
			took, runS := now.Sub(a.since).Seconds(), l.runS(a.job.spec)
			if a.outcome == open && !a.stop && (slowFactor*runS-took > runS || took > slowFactor*runS) {
				l.stopWithGang(a, a.job.spec.SaveS)
				l.replan = true
			}
		}
		m.draining = m.draining || !services
		l.updateCapacity(m, now)
	}
}

// slowOdds is how much likelier a machine is slow than not, as a logarithm.
func (l *Leader) slowOdds(m *machine, now time.Time) float64 {
	odds := m.slowness
	for _, a := range m.assigned {
		if a.outcome != open || a.seen != workers.Running || a.job.spec.Shape != jobs.Batch {
			continue
		}
		// What an earlier leader began has run for longer than we have seen.
		if usual, known := a.job.usual(); known {
			odds += l.runsOf(a.job.spec.Class).slowIfRuns(math.Log(max(now.Sub(a.since).Seconds(), 1e-3)) - usual)
		}
	}
	return odds
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
	if j.isGang() {
		if a.gang = j.gang.number; a.gang == 0 {
			// The number of the first task is that of all; its own is another.
			a.gang = l.attempts
			l.attempts++
			a.attempt = l.attempts
		}
		j.joined(a)
	}
	slog.Debug("task placed", "task", a.name(), "machine", m.id, "term", l.token, "class", j.spec.Class)
	l.count(a)
	m.assigned[a.attempt] = a
	j.tasks[n] = a
	l.log.begins = append(l.log.begins, a)
	if !m.offer.Images[j.spec.Image] {
		m.offer.Fetching[j.spec.Image] = j.spec.ImageGB
	}
	return a
}
