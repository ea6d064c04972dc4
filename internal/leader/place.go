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
	return l.replan && l.mayBegin(now) && now.Sub(l.plannedAt) >= max(l.Derived.Leader.ControlInterval/32, times(l.planDuration, 1/planShare))
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
	back := map[*placement.Job]*cluster.Job{}
	l.countHeld(in.UsedByTeam)
	wall := now.UnixMilli()
	for j := range l.queued {
		switch {
		case j.IsOver() || j.Pending.Count == 0:
			delete(l.queued, j)
		case j.IsGang() && len(j.Assignments) > 0:
			// Looked at again when the last task of its attempt is forgotten. (Begun
			// earlier, with those whose ends were durable first, it stayed a part.)
		case now.Before(j.Scheduling.BackoffUntil), l.awaitsWorkers(j, now):
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
	placed := map[*placement.RunningTask]*cluster.Assignment{}
	asVictim := map[*cluster.Job]*placement.Job{}
	in.LoadTasks = func(p *placement.Machine) { l.fillOffer(p, asVictim, placed, now) }
	out := placement.Plan(in)
	for _, s := range out.Preemptions {
		a, grace := placed[s.Task], 0.0
		if !s.WithoutGrace {
			grace = a.Job.Spec.CheckpointSaveS
		}
		l.stopTask(a, grace)
	}
	for _, as := range out.Assignments {
		j := back[as.Job]
		l.assign(j, j.TakePendingTask(), l.state.Machines.ByID[as.Machine.ID], now).Overdue = as.Starved
	}
	for _, j := range out.Preempting {
		back[j].Scheduling.PreemptingForGangAt = now
	}
	l.unmet = out.Unmet
}

// usable tells whether work may go to a machine.
func (l *Leader) usable(m *cluster.Machine, now time.Time) bool {
	return m.Phase == cluster.Up && !m.Health.Dead && !m.Health.Draining && m.Worker.Session != 0 && m.Worker.Token <= l.token && l.detector.Schedulable(m.ID, now)
}

// fillOffer shows placement what could be stopped on a machine.
func (l *Leader) fillOffer(p *placement.Machine, jobs map[*cluster.Job]*placement.Job, placed map[*placement.RunningTask]*cluster.Assignment, now time.Time) {
	p.Releasing, p.Tasks = placement.Resources{}, p.Tasks[:0]
	for _, a := range l.state.Machines.ByID[p.ID].Assignments {
		switch {
		case a.Outcome != cluster.Open:
		case a.Stop.Requested || a.Job.IsOver():
			p.Releasing = p.Releasing.AddTimes(placement.TaskRequest(a.Job.Spec), 1)
		case a.Log.Durable:
			j := jobs[a.Job]
			if j == nil {
				j = &placement.Job{Spec: a.Job.Spec, Guaranteed: a.Job.Scheduling.WithinGuarantee}
				jobs[a.Job] = j
			}
			v := &placement.RunningTask{Job: j, Index: a.Index, Starved: a.Overdue}
			if a.ObservedState == workers.StateRunning {
				v.LostRunS = now.Sub(a.RunningSince).Seconds()
			}
			if a.Job.IsGang() {
				v.GangTasks = a.Job.Spec.Tasks
			}
			placed[v] = a
			p.Tasks = append(p.Tasks, v)
		}
	}
	slices.SortFunc(p.Tasks, func(a, b *placement.RunningTask) int {
		return cmp.Compare(placed[a].Attempt, placed[b].Attempt)
	})
}

func (l *Leader) machineType(name string) *jobs.MachineType {
	types := l.MachineTypes()
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
