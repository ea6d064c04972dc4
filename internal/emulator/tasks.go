package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Causes of task ends in addition to those that workers report.
const (
	CauseLeaseExpired = "lease"
	CauseMachineGone  = "machine gone"
)

// TaskStarts returns the number of task attempts that have started.
func (w *World) TaskStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks.starts
}

// StartsByTask returns the number of attempts that have started, by task.
func (w *World) StartsByTask() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.tasks.startsByTask)
}

// TaskEnds returns the number of task attempts that have left their machines, by cause.
func (w *World) TaskEnds() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.tasks.ends)
}

// MachinesOf returns the sorted names of the machines that a task is on.
func (w *World) MachinesOf(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.tasks.machinesOf[task]))
}

// RunningTasks returns the sorted names of all tasks that are on machines.
func (w *World) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := []string{}
	for task, on := range w.tasks.machinesOf {
		if len(on) > 0 {
			running = append(running, task)
		}
	}
	slices.Sort(running)
	return running
}

// Summary returns one line that lists all tasks with their machines, for messages of failing
// tests.
func (w *World) Summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var parts []string
	for task, on := range w.tasks.machinesOf {
		if len(on) > 0 {
			parts = append(parts, fmt.Sprintf("%s on %v", task, on))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

// AllTasksDone reports whether every task of a job has completed.
func (w *World) AllTasksDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks.allDone(id)
}

// allDone reports whether every task of a job has completed. The World's lock must be held.
func (s *taskState) allDone(id string) bool {
	spec := s.specs[id]
	if spec == nil {
		return false
	}
	for n := range spec.Tasks {
		if !s.done[workers.TaskName(id, n)] {
			return false
		}
	}
	return true
}

// runTimeS returns the run time of a task of a batch job in seconds.
func (w *World) runTimeS(job *jobs.Spec, task int) float64 {
	if w.RunTimeOf == nil {
		return job.EstimatedRuntimeS
	}
	return w.RunTimeOf(job, task)
}

func (w *World) isTaskDone(id string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks.done[workers.TaskName(id, n)]
}

// taskStarted records the start of a task and checks it against the rules.
func (w *World) taskStarted(worker *Worker, status workers.TaskStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.starts++
	w.tasks.startsByTask[status.Name]++
	machine := worker.status.Machine
	jobID, _, _ := workers.SplitTask(status.Name)
	machines := w.tasks.machinesOf[status.Name]
	if len(machines) > 0 {
		w.traceLog.recordViolation("ran_twice: %s on %s, while on %v", status.Name, machine, machines)
	}
	if machines == nil {
		machines = map[string]bool{}
		w.tasks.machinesOf[status.Name] = machines
	}
	machines[machine] = true
	w.traceLog.tracef("%s attempt %d starts on %s in %s", status.Name, status.Attempt, machine, worker.status.Zone)
	if cancelledAt, ok := w.tasks.cancelled[jobID]; ok && time.Since(cancelledAt) > w.CancelDeadline {
		w.traceLog.recordViolation("ran_cancelled: %s starts", status.Name)
	}
	w.checkPlacement(worker, status.Name, jobID)
}

// checkPlacement checks a started task against the quota of its team and the placement
// constraints of its job. w.mu must be held.
func (w *World) checkPlacement(worker *Worker, task, jobID string) {
	job := w.tasks.specs[jobID]
	tasksByZone, cpusOfTeam := map[string]int{}, 0.0
	for other, machines := range w.tasks.machinesOf {
		otherJob, _, _ := workers.SplitTask(other)
		for machine := range machines {
			if otherJob == jobID {
				tasksByZone[w.cloud.machines[machine].zone]++
			}
			if w.tasks.specs[otherJob].Team == job.Team {
				cpusOfTeam += w.tasks.specs[otherJob].CPUs
			}
		}
	}
	for _, team := range w.Teams {
		if team.Name == job.Team && team.MaxCPUs > 0 && cpusOfTeam > team.MaxCPUs+1e-6 {
			w.traceLog.recordViolation("quota: %s uses %v for %s", team.Name, cpusOfTeam, task)
		}
	}
	status := &worker.status
	if !job.Allows(status.Type, status.Zone, status.Spot) || job.OneZone && len(tasksByZone) > 1 || tasksByZone[status.Zone] > job.ZoneLimit() {
		w.traceLog.recordViolation("wrong_place: %s on %s", task, status.Machine)
	}
}

// taskLeft records that a task has left its machine, and the cause.
func (w *World) taskLeft(worker *Worker, status workers.TaskStatus, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks.machinesOf[status.Name], worker.status.Machine)
	w.tasks.ends[cause]++
	w.traceLog.tracef("%s attempt %d left %s: %s", status.Name, status.Attempt, worker.status.Machine, cause)
	jobID, _, _ := workers.SplitTask(status.Name)
	if spec := w.tasks.specs[jobID]; spec != nil && spec.Shape == jobs.Gang && cause != workers.CauseDone {
		w.tasks.gangTaskLeft(status)
	}
	if cause == workers.CauseDone && !w.tasks.done[status.Name] {
		w.tasks.done[status.Name] = true
		if w.JobCompleted != nil && w.tasks.allDone(jobID) {
			go w.JobCompleted(jobID)
		}
	}
}

// recordCancellation records that a user was told that a job is cancelled. It is a violation if a
// task of the job is on a machine after CancelDeadline. w.mu must be held.
func (w *World) recordCancellation(jobID string) {
	if _, ok := w.tasks.cancelled[jobID]; ok {
		return
	}
	w.tasks.cancelled[jobID] = time.Now()
	w.goroutines.Go(func() {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(w.CancelDeadline + time.Millisecond):
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for task, machines := range w.tasks.machinesOf {
			if job, _, _ := workers.SplitTask(task); job == jobID && len(machines) > 0 {
				w.traceLog.recordViolation("ran_cancelled: %s on %v", task, machines)
			}
		}
	})
}
