package leader

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
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
	in := placement.Input{Teams: l.Settings.Deployment.Teams, Used: map[string]placement.Amount{}, Index: &l.capacity}
	for team, a := range l.used {
		in.Used[team] = a
	}
	for in.Least < len(l.tasksByRank)-1 && l.tasksByRank[in.Least] == 0 {
		in.Least++
	}
	back := map[*placement.Job]*cluster.Job{}
	l.recovery.AddHeldUsage(in.Used)
	wall := now.UnixMilli()
	for j := range l.queued {
		switch {
		case j.IsOver() || j.Pending.Count == 0:
			delete(l.queued, j)
		case j.IsGang() && len(j.Assignments) > 0:
			// Looked at again when the last task of its attempt is forgotten. (Begun
			// earlier, with those whose ends were durable first, it stayed a part.)
		case now.Before(j.Scheduling.BackoffUntil), l.recovery.AwaitsWorkers(j, now):
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
	placed := map[*placement.Placed]*cluster.Assignment{}
	asVictim := map[*cluster.Job]*placement.Job{}
	in.Fill = func(p *placement.Machine) { l.fillOffer(p, asVictim, placed, now) }
	out := placement.Plan(in)
	for _, s := range out.Stop {
		a, grace := placed[s.Task], 0.0
		if !s.AtOnce {
			grace = a.Job.Spec.SaveS
		}
		l.stopWithGang(a, grace)
	}
	for _, as := range out.Assign {
		j := back[as.Job]
		l.assign(j, j.TakePendingTask(), l.machines.ByID[as.Machine.ID], now).Overdue = as.Overdue
	}
	for _, j := range out.Clearing {
		back[j].Scheduling.PreemptingForGangAt = now
	}
	l.unmet = out.Unmet
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *cluster.Machine, now time.Time) bool {
	return m.Phase == cluster.Up && !m.Health.Dead && !m.Health.Draining && m.Worker.Session != 0 && m.Worker.Token <= l.token && l.watch.Placeable(m.ID, now)
}

// fillOffer shows placement what could be stopped on a machine.
func (l *Leader) fillOffer(p *placement.Machine, jobs map[*cluster.Job]*placement.Job, placed map[*placement.Placed]*cluster.Assignment, now time.Time) {
	p.Freeing, p.Tasks = placement.Amount{}, p.Tasks[:0]
	for _, a := range l.machines.ByID[p.ID].Assignments {
		switch {
		case a.Outcome != cluster.Open:
		case a.Stop.Requested || a.Job.IsOver():
			p.Freeing = p.Freeing.Plus(placement.Of(a.Job.Spec), 1)
		case a.Log.Durable:
			j := jobs[a.Job]
			if j == nil {
				j = &placement.Job{Spec: a.Job.Spec, Guaranteed: a.Job.Scheduling.WithinGuarantee}
				jobs[a.Job] = j
			}
			v := &placement.Placed{Job: j, N: a.Index, Overdue: a.Overdue}
			if a.ObservedState == workers.Running {
				v.RanS = now.Sub(a.RunningSince).Seconds()
			}
			if a.Job.IsGang() {
				v.Falls = a.Job.Spec.Tasks
			}
			placed[v] = a
			p.Tasks = append(p.Tasks, v)
		}
	}
	slices.SortFunc(p.Tasks, func(a, b *placement.Placed) int {
		return cmp.Compare(placed[a].Attempt, placed[b].Attempt)
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
func (l *Leader) assign(j *cluster.Job, n int, m *cluster.Machine, now time.Time) *cluster.Assignment {
	l.attempts++
	a := &cluster.Assignment{Job: j, Index: n, Attempt: l.attempts, Session: m.Worker.Session, Machine: m, RunningSince: now, CreatedAt: now}
	if j.IsGang() {
		if a.GangAttempt = j.Gang.Number; a.GangAttempt == 0 {
			// The number of the first task is that of all; its own is another.
			a.GangAttempt = l.attempts
			l.attempts++
			a.Attempt = l.attempts
		}
		j.JoinGang(a)
	}
	slog.Debug("task placed", "task", a.TaskName(), "machine", m.ID, "term", l.token, "class", j.Spec.Class)
	l.count(a)
	m.Assignments[a.Attempt] = a
	j.Assignments[n] = a
	l.log.QueueBegin(a)
	if !m.Offer.Images[j.Spec.Image] {
		m.Offer.Fetching[j.Spec.Image] = j.Spec.ImageGB
	}
	return a
}
