package placement

import (
	"slices"
)

func (p *planner) placeTask(job *Job, machine *Machine) {
	p.setFree(machine, machine.Free.AddTimes(TaskRequest(job.Spec), -1))
	p.countTask(job, machine)
}

// countTask notes a task of a job on a machine.
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

// setFree changes what is free on a machine for the time of this plan.
func (p *planner) setFree(machine *Machine, free Resources) {
	if _, ok := p.originalFree[machine]; !ok {
		p.originalFree[machine] = machine.Free
	}
	if before := machine.Free; p.trial {
		p.undo = append(p.undo, func() { p.Index.SetFree(machine, before) })
	}
	p.Index.SetFree(machine, free)
}

// rollBack undoes what a trial has changed.
func (p *planner) rollBack() {
	for _, undo := range slices.Backward(p.undo) {
		undo()
	}
	p.undo = p.undo[:0]
}

// loadTasks finds out what is on a machine, once in a plan.
func (p *planner) loadTasks(machine *Machine) {
	if p.LoadTasks != nil && !p.tasksLoaded[machine] {
		p.tasksLoaded[machine] = true
		p.LoadTasks(machine)
	}
}
