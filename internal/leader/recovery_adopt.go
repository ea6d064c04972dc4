package leader

import (
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// Where segments of the assignment log, or a job's record, were lost, machines may have
// tasks that no record names. Such a job gets no new tasks until each worker must have
// reported, or its lease have ended; what workers show meanwhile is adopted: it counts,
// and is written to the log.

// adoptTasksOf begins to adopt a job's tasks.
func (l *Leader) adoptTasksOf(j *job, now time.Time) {
	j.adoptUntil = now.Add(l.Derived.LeaseOver)
	l.adopting[j] = true
}

// awaitsWorkers tells whether a job may have tasks on machines that are not known yet, or
// whether its team may: then it could come over its limit. A node that began after a loss
// does not know which jobs are new: it places none before all have been compared.
func (l *Leader) awaitsWorkers(j *job, now time.Time) bool {
	if now.Before(j.adoptUntil) || l.settling(now) {
		return true
	}
	if l.phase == Whole && len(l.adopting) == 0 {
		return false
	}
	if l.phase == Comparing && (l.ignorant || !l.Cache.SawAll()) {
		return true
	}
	team, _ := l.Settings.Team(j.spec.Team)
	return (team.CPUsMax > 0 || team.GPUsMax > 0) && l.teamUncounted(team.Name, now)
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
		if j.spec.Team == team {
			return true
		}
	}
	return false
}

// countHeld adds what tasks of held jobs take, as far as these are described: they run on,
// though no assignment accounts for them.
func (l *Leader) countHeld(used map[string]placement.Resources) {
	for _, h := range l.held {
		if h.known.Spec != nil && len(h.known.Running) > 0 {
			need := placement.TaskRequest(h.known.Spec)
			used[h.known.Spec.Team] = used[h.known.Spec.Team].AddTimes(need, float64(len(h.known.Running)))
		}
	}
}

// gangPart is a task of a gang that a worker shows, while the others are not known.
type gangPart struct {
	machine *machine
	task    workers.Task
	session uint64
}

// adopt takes in the tasks of a report that belong to jobs whose tasks are not all known.
func (l *Leader) adopt(m *machine, r *workers.Report, now time.Time) {
	if len(l.adopting) == 0 {
		return
	}
	for _, t := range r.Tasks {
		id, n, ok := workers.SplitTask(t.Task)
		j := l.jobs[id]
		if !ok || j == nil || !l.adopting[j] || !j.adopts(n, &t) || m.find(refOf(&t)) != nil {
			continue
		}
		part := gangPart{m, t, r.Session}
		if !j.isGang() {
			l.adoptTask(j, n, part, l.attemptOf(&t), 0, now)
			continue
		}
		if j.parts == nil {
			j.parts = map[int]gangPart{}
		}
		j.parts[n] = part
		if l.gangIsWhole(j) {
			l.adoptGang(j, now)
		}
	}
}

// adopts tells whether a task that a worker shows may be one of the job's. One that ended
// without being done says nothing that matters.
func (j *job) adopts(n int, t *workers.Task) bool {
	if j.over() || n >= j.spec.Tasks || j.isDone(n) || j.tasks[n] != nil {
		return false
	}
	return t.State != workers.Ended || t.Cause == workers.CauseDone && j.spec.Shape == jobs.Batch
}

// attemptOf is the number of an adopted task's attempt: that by which its worker knows
// it. Numbers given out later are above it.
func (l *Leader) attemptOf(t *workers.Task) uint64 {
	l.attempts = max(l.attempts, t.Attempt)
	return t.Attempt
}

func (l *Leader) adoptTask(j *job, n int, p gangPart, attempt, gang uint64, now time.Time) {
	a := &assignment{
		job: j, n: n, attempt: attempt, gang: gang, session: p.session, m: p.machine,
		restored: true, sent: true, born: now, since: now,
	}
	slog.Info("task adopted", "task", a.name(), "machine", a.m.id, "term", l.token, "state", p.task.State)
	l.history.add(now, "task adopted", a.name())
	l.count(a)
	a.m.assigned[a.attempt] = a
	j.tasks[n] = a
	j.waiting--
	if j.isGang() {
		j.joined(a)
	}
	l.log.begins = append(l.log.begins, a)
}

// gangIsWhole tells whether all tasks of one attempt of a gang are known.
func (l *Leader) gangIsWhole(j *job) bool {
	for n := range j.spec.Tasks {
		if p, ok := j.parts[n]; !ok || p.task.Attempt != j.parts[0].task.Attempt {
			return false
		}
	}
	return true
}

// adoptGang adopts all known parts of a gang. Each has a number of its own in the log; the
// one that they share is that by which workers know them.
func (l *Leader) adoptGang(j *job, now time.Time) {
	for n := range j.spec.Tasks {
		p, ok := j.parts[n]
		if !ok || !l.machines.has(p.machine) || p.machine.session != p.session && p.machine.session != 0 {
			continue
		}
		l.attemptOf(&p.task)
		l.attempts++
		l.adoptTask(j, n, p, l.attempts, p.task.Attempt, now)
	}
	j.parts = nil
}

// endAdoptions lets jobs go on whose tasks must all be known by now. A gang of which only
// a part is known is stopped, and begins anew when that is off its machines.
func (l *Leader) endAdoptions(now time.Time) {
	for j := range l.adopting {
		if now.Before(j.adoptUntil) && !j.over() {
			continue
		}
		delete(l.adopting, j)
		if len(j.parts) > 0 && !j.over() {
			l.adoptGang(j, now)
			if len(j.tasks) > 0 {
				l.stopGang(j, 0)
			}
		}
		l.queue(j)
		l.replan = true
	}
}
