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
	EndOfLease   = "lease"
	EndOfMachine = "machine gone"
)

// TaskStarts returns the number of task attempts that have started.
func (w *World) TaskStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks.starts
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

// Summary returns one line that lists all tasks with their machines, for messages of failing tests.
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
func (l *taskLedger) allDone(id string) bool {
	spec := l.specs[id]
	if spec == nil {
		return false
	}
	for n := range spec.Tasks {
		if !l.done[workers.TaskName(id, n)] {
			return false
		}
	}
	return true
}

func (w *World) isTaskDone(id string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks.done[workers.TaskName(id, n)]
}

// taskStarted records the start of a task and checks it against the rules.
func (w *World) taskStarted(worker *Worker, started workers.TaskStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks.starts++
	machine := worker.status.Machine
	jobID, _, _ := workers.SplitTask(started.Name)
	machines := w.tasks.machinesOf[started.Name]
	if len(machines) > 0 {
		w.record.violate("ran_twice: %s on %s, while on %v", started.Name, machine, machines)
	}
	if machines == nil {
		machines = map[string]bool{}
		w.tasks.machinesOf[started.Name] = machines
	}
	machines[machine] = true
	w.record.tracef("%s attempt %d starts on %s in %s", started.Name, started.Attempt, machine, worker.status.Zone)
	if cancelledAt, ok := w.tasks.cancelled[jobID]; ok && time.Since(cancelledAt) > w.CancelDeadline {
		w.record.violate("ran_cancelled: %s starts", started.Name)
	}
	w.judgePlace(worker, started.Name, jobID)
}

// judgePlace checks a started task against the quota of its team and the placement constraints of
// its job. w.mu must be held.
func (w *World) judgePlace(worker *Worker, task, jobID string) {
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
			w.record.violate("quota: %s uses %v for %s", team.Name, cpusOfTeam, task)
		}
	}
	where := &worker.status
	if !job.Allows(where.Type, where.Zone, where.Spot) || job.OneZone && len(tasksByZone) > 1 || tasksByZone[where.Zone] > job.ZoneLimit() {
		w.record.violate("wrong_place: %s on %s", task, where.Machine)
	}
}

// taskLeft records that a task has left its machine, and the cause.
func (w *World) taskLeft(worker *Worker, left workers.TaskStatus, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks.machinesOf[left.Name], worker.status.Machine)
	w.tasks.ends[cause]++
	w.record.tracef("%s attempt %d left %s: %s", left.Name, left.Attempt, worker.status.Machine, cause)
	jobID, _, _ := workers.SplitTask(left.Name)
	if spec := w.tasks.specs[jobID]; spec != nil && spec.Shape == jobs.Gang && cause != workers.CauseDone {
		w.tasks.gangLeft(left)
	}
	if cause == workers.CauseDone && !w.tasks.done[left.Name] {
		w.tasks.done[left.Name] = true
		if w.JobEnded != nil && w.tasks.allDone(jobID) {
			go w.JobEnded(jobID)
		}
	}
}

// noteCancelled records that a user was told that a job is cancelled. It is a violation if a task
// of the job is on a machine after CancelDeadline. w.mu must be held.
func (w *World) noteCancelled(jobID string) {
	if _, ok := w.tasks.cancelled[jobID]; ok {
		return
	}
	w.tasks.cancelled[jobID] = time.Now()
	w.running.Go(func() {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(w.CancelDeadline + time.Millisecond):
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for task, machines := range w.tasks.machinesOf {
			if job, _, _ := workers.SplitTask(task); job == jobID && len(machines) > 0 {
				w.record.violate("ran_cancelled: %s on %v", task, machines)
			}
		}
	})
}
