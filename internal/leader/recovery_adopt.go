package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// Where segments of the assignment log, or a job's record, were lost, machines may have
// tasks that no record names. Such a job gets no new tasks until each worker must have
// reported, or its lease have ended; what workers show meanwhile is adopted: it counts,
// and is written to the log.

// adoptTasksOf begins to adopt a job's tasks.
func (l *Leader) adoptTasksOf(j *cluster.Job, now time.Time) {
	j.Adoption.Until = now.Add(l.Derived.Workers.LeaseExpiry)
	l.adopting[j] = true
}

// MayHaveUnknownTasks tells whether a job may have tasks on machines that are not known yet, or
// whether its team may: then it could come over its limit. A node that began after a loss
// does not know which jobs are new: it places none before all have been compared.
func (l *Leader) MayHaveUnknownTasks(j *cluster.Job, now time.Time) bool {
	if now.Before(j.Adoption.Until) || l.settling(now) {
		return true
	}
	if l.phase == Whole && len(l.adopting) == 0 {
		return false
	}
	if l.phase == Comparing && (l.ignorant || !l.Cache.Readiness.ReadAllBeforeLoss()) {
		return true
	}
	team, _ := l.Settings.Team(j.Spec.Team)
	return (team.MaxCPUs > 0 || team.MaxGPUs > 0) && l.teamUncounted(team.Name, now)
}

// teamUncounted tells whether a team may have tasks that do not count yet: while records are
// compared early in a term, until lost jobs are written back, and until their tasks have
// been heard of.
func (l *Leader) teamUncounted(team string, now time.Time) bool {
	switch {
	case l.phase == Comparing && now.Before(l.workersBy):
		return true
	case l.phase == Restoring && (l.recording || l.leastRank() <= rankToRun && len(l.unwritten) > 0):
		return true
	}
	for j := range l.adopting {
		if j.Spec.Team == team {
			return true
		}
	}
	return false
}

// AddHeldUsage adds what tasks of held jobs take, as far as these are described: they run on,
// though no assignment accounts for them.
func (l *Leader) AddHeldUsage(used map[string]placement.Resources) {
	for _, h := range l.held {
		if h.known.Spec != nil && len(h.known.RunningTasks) > 0 {
			need := placement.TaskRequest(h.known.Spec)
			used[h.known.Spec.Team] = used[h.known.Spec.Team].AddTimes(need, float64(len(h.known.RunningTasks)))
		}
	}
}

// adopt takes in the tasks of a report that belong to jobs whose tasks are not all known.
func (l *Leader) adopt(m *cluster.Machine, r *workers.Heartbeat, now time.Time) {
	if len(l.adopting) == 0 {
		return
	}
	for _, t := range r.Tasks {
		id, n, ok := workers.SplitTask(t.Name)
		j := l.state.Jobs[id]
		if !ok || j == nil || !l.adopting[j] || !j.MayAdopt(n, &t) || m.FindAssignment(cluster.RefOf(&t)) != nil {
			continue
		}
		part := cluster.GangPart{Machine: m, Task: t, Session: r.AgentEpoch}
		if !j.IsGang() {
			l.adoptTask(j, n, part, l.attemptOf(&t), 0, now)
			continue
		}
		if j.Adoption.GangParts == nil {
			j.Adoption.GangParts = map[int]cluster.GangPart{}
		}
		j.Adoption.GangParts[n] = part
		if l.gangIsWhole(j) {
			l.adoptGang(j, now)
		}
	}
}

// attemptOf is the number of an adopted task's attempt: that by which its worker knows
// it. Numbers given out later are above it.
func (l *Leader) attemptOf(t *workers.TaskStatus) uint64 {
	l.lastAttempt = max(l.lastAttempt, t.Attempt)
	return t.Attempt
}

func (l *Leader) adoptTask(j *cluster.Job, n int, p cluster.GangPart, attempt, gang uint64, now time.Time) {
	a := &cluster.Assignment{
		Job: j, Index: n, Attempt: attempt, GangAttempt: gang, Session: p.Session, Machine: p.Machine,
		Restored: true, Start: cluster.Start{Sent: true}, CreatedAt: now, RunningSince: now,
	}
	slog.Info("task adopted", "task", a.TaskName(), "machine", a.Machine.ID, "term", l.fencing.token, "state", p.Task.State)
	l.history.add(now, "task adopted", a.TaskName())
	l.planner.Capacity.Count(a)
	a.Machine.Assignments[a.Attempt] = a
	j.Assignments[n] = a
	j.Pending.Count--
	if j.IsGang() {
		j.JoinGang(a)
	}
	l.log.QueueBegin(a)
}

// gangIsWhole tells whether all tasks of one attempt of a gang are known.
func (l *Leader) gangIsWhole(j *cluster.Job) bool {
	for n := range j.Spec.Tasks {
		if p, ok := j.Adoption.GangParts[n]; !ok || p.Task.Attempt != j.Adoption.GangParts[0].Task.Attempt {
			return false
		}
	}
	return true
}

// adoptGang adopts all known parts of a gang. Each has a number of its own in the log; the
// one that they share is that by which workers know them.
func (l *Leader) adoptGang(j *cluster.Job, now time.Time) {
	for n := range j.Spec.Tasks {
		p, ok := j.Adoption.GangParts[n]
		if !ok || !l.state.Machines.Contains(p.Machine) || p.Machine.Worker.Session != p.Session && p.Machine.Worker.Session != 0 {
			continue
		}
		l.attemptOf(&p.Task)
		l.lastAttempt++
		l.adoptTask(j, n, p, l.lastAttempt, p.Task.Attempt, now)
	}
	j.Adoption.GangParts = nil
}

// endAdoptions lets jobs go on whose tasks must all be known by now. A gang of which only
// a part is known is stopped, and begins anew when that is off its machines.
func (l *Leader) endAdoptions(now time.Time) {
	for j := range l.adopting {
		if now.Before(j.Adoption.Until) && !j.IsOver() {
			continue
		}
		delete(l.adopting, j)
		if len(j.Adoption.GangParts) > 0 && !j.IsOver() {
			l.adoptGang(j, now)
			if len(j.Assignments) > 0 {
				l.stopGang(j, 0)
			}
		}
		l.planner.Enqueue(j)
		l.planner.Requested = true
	}
}
