package recoverer

import (
	"log/slog"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// adoption tracks the adoption of tasks that workers report and the assignment log lacks.
//
// If segments of the log or a job's record were lost, machines may run tasks that no record
// names. No task of such a job is placed until every worker must have reported or lost its
// lease. Tasks that workers report in that time are adopted: they count as used capacity and
// quota, and are written to the log.
type adoption struct {
	cfg    *Config
	events *eventLog

	jobs            map[*cluster.Job]bool // jobs that may have tasks not yet known
	logIncomplete   bool                  // tasks may run that the assignment log does not name
	allTasksKnownBy time.Time             // when every worker that has tasks must have reported
}

// start starts the adoption of a job's tasks, which lasts until the given time.
func (a *adoption) start(job *cluster.Job, until time.Time) {
	job.Adoption.Until = until
	a.jobs[job] = true
}

// expectTasksOfAllJobs starts adoption for every unfinished job, because the records that this
// leader loaded may have been incomplete. It does so only while leases from before the term may
// be valid: after that every worker has reported, and this leader's state is authoritative.
func (a *adoption) expectTasksOfAllJobs(now time.Time) {
	until := a.cfg.Term.Since.Add(a.cfg.Derived.Workers.LeaseExpiry)
	if !now.Before(until) || now.Before(a.allTasksKnownBy) {
		return
	}
	a.logIncomplete, a.allTasksKnownBy = true, until
	for _, job := range a.cfg.State.Jobs {
		if !job.IsFinished() {
			a.start(job, until)
		}
	}
}

// expectUnloggedTasks notes, while the records are loaded, that machines may run tasks that the
// assignment log does not name. No task of an earlier job is then placed until every lease from
// before this term has expired.
func (a *adoption) expectUnloggedTasks(now time.Time) {
	a.logIncomplete = true
	a.allTasksKnownBy = now.Add(a.cfg.Derived.Workers.LeaseExpiry)
}

// includesTeam reports whether a team has jobs with tasks that may not be known yet.
func (a *adoption) includesTeam(team string) bool {
	for job := range a.jobs {
		if job.Spec.Team == team {
			return true
		}
	}
	return false
}

// adoptReported adopts the tasks of a heartbeat that belong to jobs under adoption. Tasks of a
// gang are collected until all tasks of one attempt are known.
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
		reported := cluster.ReportedGangTask{Machine: machine, Task: task, AgentEpoch: report.AgentEpoch}
		if !job.IsGang() {
			a.cfg.Leader.ReserveAttempts(task.Attempt)
			a.adoptTask(job, index, reported, attemptNumbers{task: task.Attempt}, now)
			continue
		}
		if job.Adoption.ReportedGangTasks == nil {
			job.Adoption.ReportedGangTasks = map[int]cluster.ReportedGangTask{}
		}
		job.Adoption.ReportedGangTasks[index] = reported
		if isGangComplete(job) {
			a.adoptGang(job, now)
		}
	}
}

// attemptNumbers holds the numbers that identify an attempt of a task.
type attemptNumbers struct {
	task uint64 // in the assignment log
	gang uint64 // on workers, shared by all tasks of a gang's attempt; 0 for other tasks
}

// adoptTask creates an assignment for a task that a worker reported, and queues it for the log.
func (a *adoption) adoptTask(job *cluster.Job, index int, reported cluster.ReportedGangTask, numbers attemptNumbers, now time.Time) {
	adopted := &cluster.Assignment{
		Job: job, Index: index, Attempt: numbers.task, GangAttempt: numbers.gang, AgentEpoch: reported.AgentEpoch, Machine: reported.Machine,
		Restored: true, Start: cluster.Start{Sent: true}, CreatedAt: now, RunningSince: now,
	}
	slog.Info("task adopted", "task", adopted.TaskName(), "machine", adopted.Machine.ID, "term", a.cfg.token(), "state", reported.Task.State)
	a.events.add(now, "task adopted", adopted.TaskName())
	a.cfg.Leader.CountAssignment(adopted)
	adopted.Machine.Assignments[adopted.Attempt] = adopted
	job.Assignments[index] = adopted
	job.Pending.Count--
	if job.IsGang() {
		job.JoinGang(adopted)
	}
	a.cfg.AssignmentLog().QueueStart(adopted)
}

// isGangComplete reports whether all tasks of one attempt of a gang are known.
func isGangComplete(job *cluster.Job) bool {
	for index := range job.Spec.Tasks {
		reported, ok := job.Adoption.ReportedGangTasks[index]
		if !ok || reported.Task.Attempt != job.Adoption.ReportedGangTasks[0].Task.Attempt {
			return false
		}
	}
	return true
}

// adoptGang adopts all known tasks of a gang. Each gets its own attempt number in the log;
// workers identify all of them by the number that they share.
func (a *adoption) adoptGang(job *cluster.Job, now time.Time) {
	for index := range job.Spec.Tasks {
		reported, ok := job.Adoption.ReportedGangTasks[index]
		if !ok || !a.cfg.State.Machines.Contains(reported.Machine) || reported.Machine.Worker.AgentEpoch != reported.AgentEpoch && reported.Machine.Worker.AgentEpoch != 0 {
			continue
		}
		a.cfg.Leader.ReserveAttempts(reported.Task.Attempt)
		numbers := attemptNumbers{task: a.cfg.Leader.NextAttempt(), gang: reported.Task.Attempt}
		a.adoptTask(job, index, reported, numbers, now)
	}
	job.Adoption.ReportedGangTasks = nil
}

// endDue ends the adoption for jobs whose tasks must all be known by now. A gang of which only
// some tasks are known is stopped, and starts again once these are off their machines.
func (a *adoption) endDue(now time.Time) {
	for job := range a.jobs {
		if now.Before(job.Adoption.Until) && !job.IsFinished() {
			continue
		}
		delete(a.jobs, job)
		if len(job.Adoption.ReportedGangTasks) > 0 && !job.IsFinished() {
			a.adoptGang(job, now)
			if len(job.Assignments) > 0 {
				a.cfg.Leader.StopGang(job)
			}
		}
		a.cfg.Leader.QueueJob(job)
		a.cfg.Leader.RequestPlan()
	}
}

// AdoptTasksOf starts the adoption of a job's tasks, because some of them may be on machines
// without being named in the assignment log. It lasts until every current lease has expired.
func (r *Recoverer) AdoptTasksOf(job *cluster.Job, now time.Time) {
	r.adoption.start(job, now.Add(r.cfg.Derived.Workers.LeaseExpiry))
}

// AdoptReported adopts the tasks of a heartbeat that belong to jobs whose tasks are not all
// known yet.
func (r *Recoverer) AdoptReported(machine *cluster.Machine, report *workers.Heartbeat, now time.Time) {
	r.adoption.adoptReported(machine, report, now)
}

// EndAdoptions resumes the placement of jobs whose tasks must all be known by now. The event
// loop calls it at each tick, before Advance.
func (r *Recoverer) EndAdoptions(now time.Time) { r.adoption.endDue(now) }

// LogIncomplete reports whether tasks of earlier jobs may run that the assignment log does not
// name.
func (r *Recoverer) LogIncomplete() bool { return r.adoption.logIncomplete }

// MayHaveUnloggedTasks reports whether a job that has just become known may have tasks on
// machines that the assignment log does not name.
func (r *Recoverer) MayHaveUnloggedTasks(id string) bool {
	_, lost := r.knowledge.lost[id]
	return lost || r.orphans.byJob[id] != nil
}

// BlocksPlacement reports whether a job must not be placed yet. That is so while the job may have
// unknown tasks on machines, and while its team may, as the team could then exceed its limit. A
// controller that started after a loss cannot tell which jobs are new, and places none before
// the comparison has ended.
func (r *Recoverer) BlocksPlacement(job *cluster.Job, now time.Time) bool {
	if now.Before(job.Adoption.Until) || r.awaitsStartupCheck(now) {
		return true
	}
	if r.phase == NotRecovering && len(r.adoption.jobs) == 0 {
		return false
	}
	if r.phase == Comparing && (r.evidence.workerKnowsMore || !r.cfg.Cache.Readiness.ReadAllBeforeLoss()) {
		return true
	}
	team, _ := r.cfg.Settings.Team(job.Spec.Team)
	return (team.MaxCPUs > 0 || team.MaxGPUs > 0) && r.mayUndercountTeam(team.Name, now)
}

// mayUndercountTeam reports whether a team may have tasks that are not yet counted in its usage:
// while records are compared early in a term, until lost jobs are written back, and until
// workers have reported the tasks of these jobs.
func (r *Recoverer) mayUndercountTeam(team string, now time.Time) bool {
	switch {
	case r.phase == Comparing && now.Before(r.adoption.allTasksKnownBy):
		return true
	case r.phase == Restoring && r.writeBack.mayStillRestoreTasks():
		return true
	}
	return r.adoption.includesTeam(team)
}

// AddHeldUsage adds the resources of running tasks of held jobs to used, by team. These tasks
// keep running although they have no assignment. Jobs whose description is missing are left out.
func (r *Recoverer) AddHeldUsage(used map[string]placement.Resources) {
	for _, job := range r.held.byID {
		if spec := job.known.Spec; spec != nil && len(job.known.RunningTasks) > 0 {
			used[spec.Team] = used[spec.Team].AddTimes(placement.TaskRequest(spec), float64(len(job.known.RunningTasks)))
		}
	}
}
