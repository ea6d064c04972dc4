package placement

import (
	"slices"
)

// planner is one plan in the making: its input, and what it has changed so far.
//
// A gang's placement is tried out: between trial being set and unset each change adds its
// reversal to undo, so that rollBack restores the state from before the trial.
type planner struct {
	Input

	originalFree map[*Machine]Resources // of each machine whose free resources the plan has changed
	tasksLoaded  map[*Machine]bool      // Input.LoadTasks was called for it
	onlyZone     string                 // while set, machines of other zones are passed over
	requireImage bool                   // while set, machines without the job's image are passed over
	trial        bool
	undo         []func()
}

// placeTask counts a task on a machine and takes its request off what is free there.
func (p *planner) placeTask(job *Job, machine *Machine) {
	p.setFree(machine, machine.Free.AddTimes(TaskRequest(job.Spec), -1))
	p.countTask(job, machine)
}

// countTask counts a task in its job's zone and in its team's usage.
func (p *planner) countTask(job *Job, machine *Machine) {
	job.TasksByZone[machine.Zone]++
	p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), 1)
	if p.trial {
		p.undo = append(p.undo, func() {
			job.TasksByZone[machine.Zone]--
			p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), -1)
		})
	}
}

// setFree changes what is free on a machine until the plan is done.
func (p *planner) setFree(machine *Machine, free Resources) {
	if _, ok := p.originalFree[machine]; !ok {
		p.originalFree[machine] = machine.Free
	}
	if before := machine.Free; p.trial {
		p.undo = append(p.undo, func() { p.Index.SetFree(machine, before) })
	}
	p.Index.SetFree(machine, free)
}

// rollBack undoes what a trial has changed, the last change first.
func (p *planner) rollBack() {
	for _, undo := range slices.Backward(p.undo) {
		undo()
	}
	p.undo = p.undo[:0]
}

// loadTasks has a machine's tasks set, once in a plan.
func (p *planner) loadTasks(machine *Machine) {
	if p.LoadTasks != nil && !p.tasksLoaded[machine] {
		p.tasksLoaded[machine] = true
		p.LoadTasks(machine)
	}
}
