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

// planTasks bounds the tasks of one job that a plan looks at; the rest waits
// for the next, when these are placed.
const planTasks = 256

// dueS is how many seconds a job has left for the next aim that it can still
// meet, given how long its tasks run.
func (l *Leader) dueS(j *job, wall int64) float64 {
	if j.spec.Shape != jobs.Batch {
		return placement.NoDeadline
	}
	age, runs := float64(wall-j.atMs)/1000, l.runS(j.spec)
	if j.spec.DeadlineS != nil {
		if left := *j.spec.DeadlineS - age; left >= runs {
			return left
		}
		return placement.Late
	}
	due, aims := float64(placement.Late), false
	for _, o := range l.Settings.Deployment.Objectives {
		if o.Kind != "finished" || o.Class != j.spec.Class {
			continue
		}
		aims = true
		if left := o.WithinS - age; left >= runs {
			due = min(due, left)
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

// place plans on the picture as it is and carries the plan out.
func (l *Leader) place(now time.Time) {
	l.replan, l.plannedAt = false, now
	in := placement.Input{Teams: l.Settings.Deployment.Teams, Used: map[string]placement.Amount{}}
	for team, a := range l.used {
		in.Used[team] = a
	}
	plans := map[*job]*placement.Job{}
	back := map[*placement.Job]*job{}
	wall := time.Now().UnixMilli()
	var all []*placement.Job
	for _, j := range l.jobs {
		if j.over() {
			continue
		}
		p := &placement.Job{Spec: j.spec, Order: j.order, DueS: l.dueS(j, wall), Zones: map[string]int{}}
		p.LeftS = float64(j.spec.Tasks-j.doneCount) * l.runS(j.spec) * j.spec.CPUs
		for z, n := range j.zones {
			p.Zones[z] = n
		}
		if now.Before(j.notBefore) {
			l.replan = true
		} else {
			p.Pending = j.pending(planTasks)
		}
		plans[j], back[p] = p, j
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *placement.Job) int { return cmp.Compare(a.Order, b.Order) })
	placement.Guarantees(in.Teams, all)
	for _, p := range all {
		if len(p.Pending) > 0 {
			in.Jobs = append(in.Jobs, p)
		}
	}
	ids := make([]string, 0, len(l.machines))
	for id := range l.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	placed := map[*placement.Placed]*assignment{}
	for _, id := range ids {
		if m := l.machines[id]; l.usable(m, now) {
			in.Machines = append(in.Machines, l.offer(m, plans, placed, now))
		}
	}
	out := placement.Plan(in)
	for _, s := range out.Stop {
		a := placed[s.Task]
		l.stop(a, a.job.spec.SaveS)
	}
	for _, as := range out.Assign {
		l.assign(back[as.Job], as.N, l.machines[as.Machine.ID], now)
	}
	l.unmet = out.Unmet
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *machine, now time.Time) bool {
	return m.phase == up && !m.dead && !m.draining && m.session != 0 && m.token <= l.token && l.watch.Placeable(m.id, now)
}

func (l *Leader) offer(m *machine, plans map[*job]*placement.Job, placed map[*placement.Placed]*assignment, now time.Time) *placement.Machine {
	p := &placement.Machine{
		ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Images: map[string]bool{}, Avoid: map[string]bool{},
	}
	if t := l.machineType(m.typ); t != nil {
		p.Total = placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}
	}
	p.Slow = m.slow
	p.Free = p.Total.Plus(m.room, -1)
	for image := range m.images {
		p.Images[image] = true
	}
	for id, until := range m.avoid {
		if now.Before(until) {
			p.Avoid[id] = true
			l.replan = true
		} else {
			delete(m.avoid, id)
		}
	}
	for _, a := range m.assigned {
		switch {
		case a.outcome != open:
		case a.stop || a.job.over():
			p.Freeing = p.Freeing.Plus(placement.Of(a.job.spec), 1)
		case a.durable && plans[a.job] != nil:
			v := &placement.Placed{Job: plans[a.job], N: a.n}
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
	return p
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
		if m.phase != up || m.slow {
			continue
		}
		for _, a := range m.assigned {
			took := now.Sub(a.since).Seconds()
			// What an earlier leader began has run for longer than we have seen.
			if a.outcome == open && a.seen == workers.Running && a.job.spec.Shape == jobs.Batch && took > tooLong(a.job) {
				slog.Info("machine slow", "machine", m.id, "term", l.token, "task", a.name(), "ranS", took)
				m.slow = true
				break
			}
		}
		if !m.slow {
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

func (l *Leader) assign(j *job, n int, m *machine, now time.Time) {
	l.attempts++
	a := &assignment{job: j, n: n, attempt: l.attempts, session: m.session, m: m, since: now, born: now}
	slog.Debug("task placed", "task", a.name(), "machine", m.id, "term", l.token, "class", j.spec.Class)
	l.count(a)
	m.assigned[a.attempt] = a
	j.tasks[n] = a
	j.taken(n)
	l.touch(m)
}
