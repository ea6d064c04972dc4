package emulator

import (
	"time"

	"ospreyslip/internal/workers"
)

// gang is one attempt of a gang, wherever its tasks are.
type gang struct {
	size            int
	joined          map[string]*Worker // tasks that have their image
	startedAt       time.Time          // when all had it
	brokenAt        time.Time          // when one was lost after that
	stopRequestedAt time.Time          // when the first was told to stop, with time to save
	toldToStop      map[string]bool
	done            bool
	saved           bool
}

// gangKey names one attempt of a job's gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gangOf returns the attempt that a task is of. The lock is held.
func (l *taskLedger) gangOf(member workers.TaskStatus) *gang {
	jobID, _, _ := workers.SplitTask(member.Name)
	key := gangKey{jobID, member.Attempt}
	attempt := l.gangs[key]
	if attempt == nil {
		attempt = &gang{size: l.specs[jobID].Tasks, joined: map[string]*Worker{}, toldToStop: map[string]bool{}}
		l.gangs[key] = attempt
	}
	return attempt
}

// GangStarts returns how many attempts of a job's gang have started.
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

// gangStep brings a task of a gang up to now. It returns its state and, if it has
// ended, why, and whether its progress was saved.
func (w *World) gangStep(worker *Worker, member *task) (state, cause string, saved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt, now := w.tasks.gangOf(member.TaskStatus), time.Now()
	if member.State == workers.StateGathering {
		state, cause = w.gather(attempt, worker, member, now)
		return state, cause, false
	}
	jobID, _, _ := workers.SplitTask(member.Name)
	job := w.tasks.specs[jobID]
	runTime := time.Duration(job.EstimatedRuntimeS*float64(time.Second)) - w.tasks.gangProgress[jobID]
	stopRequested := !attempt.stopRequestedAt.IsZero()
	sinceStop := now.Sub(attempt.stopRequestedAt)
	allTold := len(attempt.toldToStop) == attempt.size
	switch {
	case attempt.done || attempt.brokenAt.IsZero() && !stopRequested && !now.Before(attempt.startedAt.Add(runTime)):
		attempt.done = true
		for n := range job.Tasks {
			w.tasks.done[workers.TaskName(jobID, n)] = true
		}
		return workers.StateEnded, workers.CauseDone, false
	case attempt.saved:
		return workers.StateEnded, workers.CauseStopped, true
	case !attempt.brokenAt.IsZero():
		return workers.StateEnded, workers.CauseMatesGone, false
	case stopRequested && allTold && sinceStop.Seconds() >= job.CheckpointSaveS:
		attempt.saved = true
		w.tasks.gangProgress[jobID] += attempt.stopRequestedAt.Sub(attempt.startedAt)
		return workers.StateEnded, workers.CauseStopped, true
	case stopRequested && !allTold && sinceStop > w.Workers.GangStopWindow:
		attempt.brokenAt = now
		return workers.StateEnded, workers.CauseMatesGone, false
	}
	return member.State, "", false
}

// gather lets a task that has its image wait for the others of its gang. The lock is held.
func (w *World) gather(attempt *gang, worker *Worker, member *task, now time.Time) (state, cause string) {
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
		return workers.StateEnded, workers.CauseIncomplete
	}
	return member.State, ""
}

// gangStop tells a task of a running gang to stop. It returns false if it exits at
// once.
func (w *World) gangStop(member *task, grace float64) bool {
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
	attempt.toldToStop[member.Name] = true
	return true
}

// gangLeft takes in that a task of a gang is gone. The lock is held.
func (l *taskLedger) gangLeft(left workers.TaskStatus) {
	attempt := l.gangOf(left)
	delete(attempt.joined, left.Name)
	if !attempt.startedAt.IsZero() && !attempt.done && !attempt.saved && attempt.brokenAt.IsZero() {
		attempt.brokenAt = time.Now()
	}
}
