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
	stateSince time.Time // when it began to fetch, or to run
	savedBy    time.Time // when a task that saves is done with that
}

func (t *task) isOnMachine() bool {
	return t.State == workers.StateGathering || t.State == workers.StateRunning || t.State == workers.StateSaving
}

// advance brings the tasks up to now, and ends them with the lease.
func (w *Worker) advance() {
	w.expireLease()
	now := time.Now()
	for _, t := range w.tasks {
		jobID, number, _ := workers.SplitTask(t.Name)
		job := w.world.spec(jobID)
		if t.State == workers.StateFetching && (w.images[job.Image] || now.Sub(t.stateSince) >= w.config.FetchTime) {
			w.beginTask(t, job, now)
		}
		if job != nil && job.Shape == jobs.Gang && (t.State == workers.StateGathering || t.State == workers.StateRunning) {
			w.advanceGangTask(t)
		}
		if t.State == workers.StateRunning && job.Shape == jobs.Batch && (w.world.isTaskDone(jobID, number) || now.Sub(t.stateSince).Seconds() >= job.EstimatedRuntimeS*max(1, w.slowness)) {
			w.endTask(t, workers.CauseDone)
		}
		if t.State == workers.StateSaving && !now.Before(t.savedBy) {
			t.Saved = true
			w.endTask(t, workers.CauseStopped)
		}
	}
}

// beginTask begins a task that has its image.
func (w *Worker) beginTask(t *task, job *jobs.Spec, now time.Time) {
	w.images[job.Image] = true
	t.State, t.stateSince = workers.StateRunning, now
	if job.Shape == jobs.Gang {
		t.State = workers.StateGathering
	}
	w.world.taskStarted(w, t.TaskStatus)
	w.signalChange()
}

// advanceGangTask does what the rest of the gang brings about.
func (w *Worker) advanceGangTask(t *task) {
	state, cause, saved := w.world.gangStep(w, t)
	switch {
	case state == workers.StateEnded:
		t.Saved = saved
		w.endTask(t, cause)
	case state != t.State:
		t.State = state
		w.signalChange()
	}
}

func (w *Worker) endTask(t *task, cause string) {
	if t.isOnMachine() {
		w.world.taskLeft(w, t.TaskStatus, cause)
	}
	t.State, t.Cause = workers.StateEnded, cause
	w.signalChange()
}

// executeCommands executes commands in order.
func (w *Worker) executeCommands(commands []workers.Command) {
	for _, command := range commands {
		t := w.findTask(command)
		switch command.Op {
		case workers.OpRun:
			if t == nil {
				w.startTask(command)
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

// findTask returns the task and attempt that a command names, or nil.
func (w *Worker) findTask(command workers.Command) (found *task) {
	for _, t := range w.tasks {
		if t.Name == command.Task && t.Attempt == command.Attempt {
			found = t
		}
	}
	return found
}

// startTask takes a new attempt in, or refuses it: then it is there as one that has ended.
func (w *Worker) startTask(command workers.Command) {
	jobID, number, ok := workers.SplitTask(command.Task)
	job := w.world.spec(jobID)
	started := &task{
		TaskStatus: workers.TaskStatus{Name: command.Task, Attempt: command.Attempt, State: workers.StateFetching},
		stateSince: time.Now(),
	}
	w.tasks = append(w.tasks, started)
	cpus := 0.0
	for _, t := range w.tasks {
		if t.State == workers.StateEnded {
			continue
		}
		jobOfTask, _, _ := workers.SplitTask(t.Name)
		if spec := w.world.spec(jobOfTask); spec != nil {
			cpus += spec.CPUs
		}
		if t != started && t.Name == command.Task {
			started.State, started.Cause = workers.StateEnded, workers.CauseBusy
			return
		}
	}
	switch {
	case !ok || job == nil || number >= job.Tasks:
		started.State, started.Cause = workers.StateEnded, workers.CauseUnknown
	case cpus > w.machineType.CPUs:
		started.State, started.Cause = workers.StateEnded, workers.CauseNoRoom
	}
	w.signalChange()
}

// stopTask ends a task, or lets it save first if it can and has the time. A nil graceS is none.
func (w *Worker) stopTask(t *task, graceS *float64) {
	jobID, _, _ := workers.SplitTask(t.Name)
	job := w.world.spec(jobID)
	if job.Shape == jobs.Gang && graceS != nil && w.world.gangStop(t, *graceS) {
		return
	}
	if t.State == workers.StateRunning && job.CheckpointIntervalS > 0 && graceS != nil && *graceS >= job.CheckpointSaveS {
		t.State = workers.StateSaving
		t.savedBy = time.Now().Add(time.Duration(job.CheckpointSaveS * float64(time.Second)))
		return
	}
	w.endTask(t, workers.CauseStopped)
}
