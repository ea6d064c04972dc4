package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// planShare bounds the part of the time that planning takes: reports, renewals
// and cancellations have to get through as well.
const planShare = 0.2

// mayPlan tells whether it is time for a plan.
func (l *Leader) mayPlan(now time.Time) bool {
	return l.replan && l.mayBegin(now) && now.Sub(l.plannedAt) >= max(l.Derived.ControlInterval/32, times(l.planDuration, 1/planShare))
}

// place plans on the picture as it is and carries the plan out.
func (l *Leader) place(now time.Time) {
	l.replan, l.plannedAt = false, now
	defer func() { l.planDuration = time.Since(now) }()
	if l.uncovered {
		l.cover(now)
	}
	in := placement.Input{Teams: l.Settings.Deployment.Teams, UsedByTeam: map[string]placement.Resources{}, Index: &l.capacity}
	for team, a := range l.used {
		in.UsedByTeam[team] = a
	}
	for in.LowestRank < len(l.tasksByRank)-1 && l.tasksByRank[in.LowestRank] == 0 {
		in.LowestRank++
	}
	back := map[*placement.Job]*job{}
	l.countHeld(in.UsedByTeam)
	wall := now.UnixMilli()
	for j := range l.queued {
		switch {
		case j.over() || j.waiting == 0:
			delete(l.queued, j)
		case j.isGang() && len(j.tasks) > 0:
			// Looked at again when the last task of its attempt is forgotten. (Begun
			// earlier, with those whose ends were durable first, it stayed a part.)
		case now.Before(j.notBefore), l.awaitsWorkers(j, now):
			l.replan = true
		default:
			p := l.planJob(j, now, wall)
			back[p] = j
			in.Jobs = append(in.Jobs, p)
		}
	}
	slices.SortFunc(in.Jobs, func(a, b *placement.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	placed := map[*placement.RunningTask]*assignment{}
	asVictim := map[*job]*placement.Job{}
	in.LoadTasks = func(p *placement.Machine) { l.fillOffer(p, asVictim, placed, now) }
	out := placement.Plan(in)
	for _, s := range out.Preemptions {
		a, grace := placed[s.Task], 0.0
		if !s.WithoutGrace {
			grace = a.job.spec.SaveS
		}
		l.stopWithGang(a, grace)
	}
	for _, as := range out.Assignments {
		j := back[as.Job]
		l.assign(j, j.take(), l.machines.byID[as.Machine.ID], now).overdue = as.Starved
	}
	for _, j := range out.Preempting {
		back[j].clearing = now
	}
	l.unmet = out.Unmet
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *machine, now time.Time) bool {
	return m.phase == up && !m.dead && !m.draining && m.session != 0 && m.token <= l.token && l.watch.Schedulable(m.id, now)
}

// fillOffer shows placement what could be stopped on a machine.
func (l *Leader) fillOffer(p *placement.Machine, jobs map[*job]*placement.Job, placed map[*placement.RunningTask]*assignment, now time.Time) {
	p.Releasing, p.Tasks = placement.Resources{}, p.Tasks[:0]
	for _, a := range l.machines.byID[p.ID].assigned {
		switch {
		case a.outcome != open:
		case a.stop || a.job.over():
			p.Releasing = p.Releasing.AddTimes(placement.TaskRequest(a.job.spec), 1)
		case a.durable:
			j := jobs[a.job]
			if j == nil {
				j = &placement.Job{Spec: a.job.spec, Guaranteed: a.job.covered}
				jobs[a.job] = j
			}
			v := &placement.RunningTask{Job: j, Index: a.n, Starved: a.overdue}
			if a.seen == workers.Running {
				v.LostRunS = now.Sub(a.since).Seconds()
			}
			if a.job.isGang() {
				v.GangTasks = a.job.spec.Tasks
			}
			placed[v] = a
			p.Tasks = append(p.Tasks, v)
		}
	}
	slices.SortFunc(p.Tasks, func(a, b *placement.RunningTask) int {
		return cmp.Compare(placed[a].attempt, placed[b].attempt)
	})
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
