package emulator

import (
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// task is one attempt at a task on a worker.
type task struct {
	workers.TaskStatus
	stateSince time.Time // when the task started to fetch its image or, after that, to run or gather
	savedAt    time.Time // when a task in StateSaving has saved its checkpoint
}

func (t *task) isOnMachine() bool {
	return t.State == workers.StateGathering || t.State == workers.StateRunning || t.State == workers.StateSaving
}

// advance updates the states of all tasks to the current time, and ends them if the lease has
// expired. w.mu must be held.
func (w *Worker) advance() {
	w.expireLease()
	now := time.Now()
	for _, t := range w.tasks {
		jobID, number, _ := workers.SplitTask(t.Name)
		job := w.world.spec(jobID)
		if t.State == workers.StateFetching && (w.images[job.Image] || now.Sub(t.stateSince) >= w.config.FetchTime) {
			w.startTask(t, job, now)
		}
		if job != nil && job.Shape == jobs.Gang && (t.State == workers.StateGathering || t.State == workers.StateRunning) {
			w.advanceGangTask(t)
		}
		if t.State == workers.StateRunning && job.Shape == jobs.Batch && (w.world.isTaskDone(jobID, number) || now.Sub(t.stateSince).Seconds() >= w.world.runTimeS(job, number)*max(1, w.slowness)) {
			w.endTask(t, workers.CauseDone)
		}
		if t.State == workers.StateSaving && !now.Before(t.savedAt) {
			t.Saved = true
			w.endTask(t, workers.CauseStopped)
		}
	}
}

// startTask starts a task whose image is available. A task of a gang waits for the other tasks.
func (w *Worker) startTask(t *task, job *jobs.Spec, now time.Time) {
	w.images[job.Image] = true
	t.State, t.stateSince = workers.StateRunning, now
	if job.Shape == jobs.Gang {
		t.State = workers.StateGathering
	}
	w.world.taskStarted(w, t.TaskStatus)
	w.requestHeartbeat()
}

// advanceGangTask updates a task of a gang according to the state of the whole gang.
func (w *Worker) advanceGangTask(t *task) {
	state, cause, saved := w.world.advanceGang(w, t)
	switch {
	case state == workers.StateEnded:
		t.Saved = saved
		w.endTask(t, cause)
	case state != t.State:
		t.State = state
		w.requestHeartbeat()
	}
}

func (w *Worker) endTask(t *task, cause string) {
	if t.isOnMachine() {
		w.world.taskLeft(w, t.TaskStatus, cause)
	}
	t.State, t.Cause = workers.StateEnded, cause
	w.requestHeartbeat()
}

// executeCommands executes commands in order. w.mu must be held.
func (w *Worker) executeCommands(commands []workers.Command) {
	for _, command := range commands {
		t := w.findTask(command)
		switch command.Op {
		case workers.OpRun:
			if t == nil {
				w.addTask(command)
			}
		case workers.OpStop:
			if t != nil && t.State != workers.StateEnded {
				w.stopTask(t, command.GraceS)
			}
		case workers.OpClear:
			if t != nil && t.State == workers.StateEnded {
				w.tasks = slices.DeleteFunc(w.tasks, func(other *task) bool { return other == t })
			}
		}
	}
}

// findTask returns the task with the name and attempt in the command, or nil.
func (w *Worker) findTask(command workers.Command) (found *task) {
	for _, t := range w.tasks {
		if t.Name == command.Task && t.Attempt == command.Attempt {
			found = t
		}
	}
	return found
}

// addTask adds a new attempt at a task. A refused attempt is added in StateEnded, so that the
// heartbeat reports the cause.
func (w *Worker) addTask(command workers.Command) {
	jobID, number, ok := workers.SplitTask(command.Task)
	job := w.world.spec(jobID)
	newTask := &task{
		TaskStatus: workers.TaskStatus{Name: command.Task, Attempt: command.Attempt, State: workers.StateFetching},
		stateSince: time.Now(),
	}
	w.tasks = append(w.tasks, newTask)
	cpus := 0.0
	for _, t := range w.tasks {
		if t.State == workers.StateEnded {
			continue
		}
		jobOfTask, _, _ := workers.SplitTask(t.Name)
		if spec := w.world.spec(jobOfTask); spec != nil {
			cpus += spec.CPUs
		}
		if t != newTask && t.Name == command.Task {
			newTask.State, newTask.Cause = workers.StateEnded, workers.CauseBusy
			return
		}
	}
	switch {
	case !ok || job == nil || number >= job.Tasks:
		newTask.State, newTask.Cause = workers.StateEnded, workers.CauseUnknown
	case cpus > w.machineType.CPUs:
		newTask.State, newTask.Cause = workers.StateEnded, workers.CauseNoRoom
	}
	w.requestHeartbeat()
}

// stopTask ends a task. If the task has checkpoints and graceS seconds suffice to save one, the
// task saves first. A nil graceS means no grace period.
func (w *Worker) stopTask(t *task, graceS *float64) {
	jobID, _, _ := workers.SplitTask(t.Name)
	job := w.world.spec(jobID)
	if job.Shape == jobs.Gang && graceS != nil && w.world.requestGangStop(t, *graceS) {
		return
	}
	if t.State == workers.StateRunning && job.CheckpointIntervalS > 0 && graceS != nil && *graceS >= job.CheckpointSaveS {
		t.State = workers.StateSaving
		t.savedAt = time.Now().Add(time.Duration(job.CheckpointSaveS * float64(time.Second)))
		return
	}
	w.endTask(t, workers.CauseStopped)
}
