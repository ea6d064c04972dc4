package recoverer

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// adoption takes over tasks that workers show and the assignment log lacks.
//
// Where segments of the log, or a job's record, were lost, machines may have tasks that no
// record names. Such a job gets no new tasks until each worker must have reported, or its lease
// have expired; what workers show meanwhile is adopted: it counts, and is written to the log.
type adoption struct {
	cfg    *Config
	events *eventLog

	jobs          map[*cluster.Job]bool // of which tasks may not be known yet
	logIncomplete bool                  // tasks may run that the assignment log does not name
	allKnownBy    time.Time             // by then every worker that has tasks has reported
}

// begin begins to adopt a job's tasks.
func (a *adoption) begin(job *cluster.Job, until time.Time) {
	job.Adoption.Until = until
	a.jobs[job] = true
}

// expectTasksOfAllJobs takes in, early in a term, that the records that this leader began with may
// have lacked some: each job may have tasks that are not known. Later in a term every worker
// has reported, and what this leader knows is the truth.
func (a *adoption) expectTasksOfAllJobs(now time.Time) {
	until := a.cfg.Term.Since.Add(a.cfg.Derived.Workers.LeaseExpiry)
	if !now.Before(until) || now.Before(a.allKnownBy) {
		return
	}
	a.logIncomplete, a.allKnownBy = true, until
	for _, job := range a.cfg.State.Jobs {
		if !job.IsOver() {
			a.begin(job, until)
		}
	}
}

// expectUnloggedTasks takes in, while the records are read, that machines may have tasks that the
// assignment log does not name: until every lease from before this term has expired, nothing of
// earlier jobs is placed.
func (a *adoption) expectUnloggedTasks(now time.Time) {
	a.logIncomplete = true
	a.allKnownBy = now.Add(a.cfg.Derived.Workers.LeaseExpiry)
}

// concernsTeam tells whether a team has jobs of which tasks may not be known yet.
func (a *adoption) concernsTeam(team string) bool {
	for job := range a.jobs {
		if job.Spec.Team == team {
			return true
		}
	}
	return false
}

// adoptReported takes in the tasks of a heartbeat that belong to jobs whose tasks are not all
// known.
func (a *adoption) adoptReported(machine *cluster.Machine, report *workers.Heartbeat, now time.Time) {
	if len(a.jobs) == 0 {
		return
	}
	for _, task := range report.Tasks {
		id, index, ok := workers.SplitTask(task.Name)
		job := a.cfg.State.Jobs[id]
		if !ok || job == nil || !a.jobs[job] || !job.MayAdopt(index, &task) || machine.FindAssignment(cluster.RefOf(&task)) != nil {
			continue
		}
		part := cluster.GangPart{Machine: machine, Task: task, Session: report.AgentEpoch}
		if !job.IsGang() {
			a.cfg.Leader.ReserveAttempts(task.Attempt)
			a.adoptTask(job, index, part, attemptNumbers{own: task.Attempt}, now)
			continue
		}
		if job.Adoption.GangParts == nil {
			job.Adoption.GangParts = map[int]cluster.GangPart{}
		}
		job.Adoption.GangParts[index] = part
		if isGangWhole(job) {
			a.adoptGang(job, now)
		}
	}
}

// attemptNumbers is by which numbers an attempt is known.
type attemptNumbers struct {
	own  uint64 // in the assignment log
	gang uint64 // to workers, for all tasks of one attempt of a gang; else 0
}

// adoptTask makes an assignment of a worker's task.
func (a *adoption) adoptTask(job *cluster.Job, index int, part cluster.GangPart, numbers attemptNumbers, now time.Time) {
	adopted := &cluster.Assignment{
		Job: job, Index: index, Attempt: numbers.own, GangAttempt: numbers.gang, Session: part.Session, Machine: part.Machine,
		Restored: true, Start: cluster.Start{Sent: true}, CreatedAt: now, RunningSince: now,
	}
	slog.Info("task adopted", "task", adopted.TaskName(), "machine", adopted.Machine.ID, "term", a.cfg.token(), "state", part.Task.State)
	a.events.add(now, "task adopted", adopted.TaskName())
	a.cfg.Leader.CountAssignment(adopted)
	adopted.Machine.Assignments[adopted.Attempt] = adopted
	job.Assignments[index] = adopted
	job.Pending.Count--
	if job.IsGang() {
		job.JoinGang(adopted)
	}
	a.cfg.AssignmentLog().QueueBegin(adopted)
}

// isGangWhole tells whether all tasks of one attempt of a gang are known.
func isGangWhole(job *cluster.Job) bool {
	for index := range job.Spec.Tasks {
		part, ok := job.Adoption.GangParts[index]
		if !ok || part.Task.Attempt != job.Adoption.GangParts[0].Task.Attempt {
			return false
		}
	}
	return true
}

// adoptGang adopts all known tasks of a gang. Each has a number of its own in the log; the
// one that they share is that by which workers know them.
func (a *adoption) adoptGang(job *cluster.Job, now time.Time) {
	for index := range job.Spec.Tasks {
		part, ok := job.Adoption.GangParts[index]
		if !ok || !a.cfg.State.Machines.Contains(part.Machine) || part.Machine.Worker.Session != part.Session && part.Machine.Worker.Session != 0 {
			continue
		}
		a.cfg.Leader.ReserveAttempts(part.Task.Attempt)
		numbers := attemptNumbers{own: a.cfg.Leader.NextAttempt(), gang: part.Task.Attempt}
		a.adoptTask(job, index, part, numbers, now)
	}
	job.Adoption.GangParts = nil
}

// endDue lets jobs go on whose tasks must all be known by now. A gang of which only
// a part is known is stopped, and begins anew when that is off its machines.
func (a *adoption) endDue(now time.Time) {
	for job := range a.jobs {
		if now.Before(job.Adoption.Until) && !job.IsOver() {
			continue
		}
		delete(a.jobs, job)
		if len(job.Adoption.GangParts) > 0 && !job.IsOver() {
			a.adoptGang(job, now)
			if len(job.Assignments) > 0 {
				a.cfg.Leader.StopGang(job)
			}
		}
		a.cfg.Leader.QueueJob(job)
		a.cfg.Leader.RequestPlan()
	}
}

// AdoptTasksOf begins to adopt a job's tasks: some may be on machines that the assignment log
// does not name.
func (r *Recoverer) AdoptTasksOf(job *cluster.Job, now time.Time) {
	r.adoption.begin(job, now.Add(r.cfg.Derived.Workers.LeaseExpiry))
}

// AdoptReported adopts the tasks of a heartbeat that belong to jobs whose tasks are not all
// known.
func (r *Recoverer) AdoptReported(machine *cluster.Machine, report *workers.Heartbeat, now time.Time) {
	r.adoption.adoptReported(machine, report, now)
}

// EndAdoptions lets jobs go on whose tasks must all be known by now. The event loop calls it at
// each tick, before Advance.
func (r *Recoverer) EndAdoptions(now time.Time) { r.adoption.endDue(now) }

// LogIncomplete tells whether tasks of earlier jobs may run that the assignment log does not
// name.
func (r *Recoverer) LogIncomplete() bool { return r.adoption.logIncomplete }

// MayHaveUnloggedTasks tells whether a job that has just become known may have tasks on machines
// that the assignment log does not name.
func (r *Recoverer) MayHaveUnloggedTasks(id string) bool {
	_, lost := r.knowledge.lost[id]
	return lost || r.orphans.byJob[id] != nil
}

// AwaitsWorkers tells whether a job may have tasks on machines that are not known yet, or
// whether its team may: then it could come over its limit. A node that began after a loss
// does not know which jobs are new: it places none before all have been compared.
func (r *Recoverer) AwaitsWorkers(job *cluster.Job, now time.Time) bool {
	if now.Before(job.Adoption.Until) || r.awaitsStartupCheck(now) {
		return true
	}
	if r.phase == Whole && len(r.adoption.jobs) == 0 {
		return false
	}
	if r.phase == Comparing && (r.evidence.workersAhead || !r.cfg.Cache.Readiness.ReadAllBeforeLoss()) {
		return true
	}
	team, _ := r.cfg.Settings.Team(job.Spec.Team)
	return (team.MaxCPUs > 0 || team.MaxGPUs > 0) && r.mayUndercountTeam(team.Name, now)
}

// mayUndercountTeam tells whether a team may have tasks that do not count yet: while records are
// compared early in a term, until lost jobs are written back, and until their tasks have
// been heard of.
func (r *Recoverer) mayUndercountTeam(team string, now time.Time) bool {
	switch {
	case r.phase == Comparing && now.Before(r.adoption.allKnownBy):
		return true
	case r.phase == Restoring && r.writeBack.mayStillRestoreTasks():
		return true
	}
	return r.adoption.concernsTeam(team)
}

// AddHeldUsage adds what tasks of held jobs take, as far as these are described, to the teams'
// usage: they run on, though no assignment accounts for them.
func (r *Recoverer) AddHeldUsage(used map[string]placement.Resources) {
	for _, job := range r.held.byID {
		if spec := job.known.Spec; spec != nil && len(job.known.RunningTasks) > 0 {
			used[spec.Team] = used[spec.Team].AddTimes(placement.TaskRequest(spec), float64(len(job.known.RunningTasks)))
		}
	}
}
