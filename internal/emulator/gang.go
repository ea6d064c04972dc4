package emulator

import (
	"time"

	"ospreyslip/internal/workers"
)

// gang is the state of one attempt of a gang, across all machines.
type gang struct {
	size            int
	joined          map[string]*Worker // workers of the tasks whose image is fetched, by task
	startedAt       time.Time          // when all tasks had joined
	failedAt        time.Time          // when, after the start, a task was lost or was not told to stop in time
	stopRequestedAt time.Time          // when the first task was told to stop with enough time to save
	stopRequested   map[string]bool    // tasks that were told to stop with enough time to save
	done            bool
	saved           bool // the checkpoint is saved
}

// gangKey identifies one attempt of a job's gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gangOf returns the attempt that a task belongs to, and adds it if it is new. The World's lock
// must be held.
func (s *taskState) gangOf(member workers.TaskStatus) *gang {
	jobID, _, _ := workers.SplitTask(member.Name)
	key := gangKey{jobID, member.Attempt}
	attempt := s.gangs[key]
	if attempt == nil {
		attempt = &gang{size: s.specs[jobID].Tasks, joined: map[string]*Worker{}, stopRequested: map[string]bool{}}
		s.gangs[key] = attempt
	}
	return attempt
}

// GangStarts returns the number of attempts of a job's gang that have started.
func (w *World) GangStarts(id string) (started int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, attempt := range w.tasks.gangs {
		if key.job == id && !attempt.startedAt.IsZero() {
			started++
		}
	}
	return started
}

// advanceGang returns the current state of a task of a gang. If the task has ended, it also
// returns the cause and whether the gang's progress was saved.
func (w *World) advanceGang(worker *Worker, member *task) (state, cause string, saved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt, now := w.tasks.gangOf(member.TaskStatus), time.Now()
	if member.State == workers.StateGathering {
		state, cause = w.gatherTask(attempt, worker, member, now)
		return state, cause, false
	}
	jobID, _, _ := workers.SplitTask(member.Name)
	job := w.tasks.specs[jobID]
	runTime := time.Duration(job.EstimatedRuntimeS*float64(time.Second)) - w.tasks.gangProgress[jobID]
	isStopping := !attempt.stopRequestedAt.IsZero()
	sinceStop := now.Sub(attempt.stopRequestedAt)
	allStopRequested := len(attempt.stopRequested) == attempt.size
	switch {
	case attempt.done || attempt.failedAt.IsZero() && !isStopping && !now.Before(attempt.startedAt.Add(runTime)):
		attempt.done = true
		for n := range job.Tasks {
			w.tasks.done[workers.TaskName(jobID, n)] = true
		}
		return workers.StateEnded, workers.CauseDone, false
	case attempt.saved:
		return workers.StateEnded, workers.CauseStopped, true
	case !attempt.failedAt.IsZero():
		return workers.StateEnded, workers.CauseGangMemberGone, false
	case isStopping && allStopRequested && sinceStop.Seconds() >= job.CheckpointSaveS:
		attempt.saved = true
		w.tasks.gangProgress[jobID] += attempt.stopRequestedAt.Sub(attempt.startedAt)
		return workers.StateEnded, workers.CauseStopped, true
	case isStopping && !allStopRequested && sinceStop > w.Workers.GangStopWindow:
		attempt.failedAt = now
		return workers.StateEnded, workers.CauseGangMemberGone, false
	}
	return member.State, "", false
}

// gatherTask adds a task whose image is fetched to its gang, which starts once all tasks have
// joined. A task that has waited for longer than GangWait ends. w.mu must be held.
func (w *World) gatherTask(attempt *gang, worker *Worker, member *task, now time.Time) (state, cause string) {
	if attempt.joined[member.Name] == nil {
		attempt.joined[member.Name] = worker
		if len(attempt.joined) == attempt.size && attempt.startedAt.IsZero() {
			attempt.startedAt = now
		}
	}
	switch {
	case !attempt.startedAt.IsZero():
		return workers.StateRunning, ""
	case now.Sub(member.stateSince) > w.Workers.GangWait:
		delete(attempt.joined, member.Name)
		return workers.StateEnded, workers.CauseGangIncomplete
	}
	return member.State, ""
}

// requestGangStop tells a task of a running gang to save and stop. It returns false if the task
// must exit at once, because it is not running, has no checkpoints or gets too short a grace
// period.
func (w *World) requestGangStop(member *task, grace float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobID, _, _ := workers.SplitTask(member.Name)
	if job := w.tasks.specs[jobID]; member.State != workers.StateRunning || job.CheckpointIntervalS == 0 || grace < job.CheckpointSaveS {
		return false
	}
	attempt := w.tasks.gangOf(member.TaskStatus)
	if attempt.stopRequestedAt.IsZero() {
		attempt.stopRequestedAt = time.Now()
	}
	attempt.stopRequested[member.Name] = true
	return true
}

// gangTaskLeft records that a task of a gang has left its machine, which fails an unfinished
// attempt that has started. The World's lock must be held.
func (s *taskState) gangTaskLeft(member workers.TaskStatus) {
	attempt := s.gangOf(member)
	delete(attempt.joined, member.Name)
	if !attempt.startedAt.IsZero() && !attempt.done && !attempt.saved && attempt.failedAt.IsZero() {
		attempt.failedAt = time.Now()
	}
}
