package placement

import (
	"slices"
)

// planner is a plan under construction: its input and the changes made so far.
//
// Gangs are placed tentatively: while undoEnabled is set, each change appends its reversal to
// undo, so that rollBack can restore the state from before the changes.
type planner struct {
	Input

	originalFree map[*Machine]Resources // original free resources of each machine that the plan has changed
	tasksLoaded  map[*Machine]bool      // machines for which Input.LoadTasks was called
	onlyZone     string                 // if set, machines of other zones are skipped
	requireImage bool                   // if set, machines without the job's image are skipped
	starvedEntry bool                   // the entry that is being scheduled is that of a job's starved tasks
	undoEnabled  bool
	undo         []func()
}

// placeTask counts a task on a machine and subtracts its request from the free resources there.
func (p *planner) placeTask(job *Job, machine *Machine) {
	p.setFree(machine, machine.Free.AddTimes(TaskRequest(job.Spec), -1))
	p.countTask(job, machine)
}

// countTask counts a task in its zone and in its team's usage.
func (p *planner) countTask(job *Job, machine *Machine) {
	job.TasksByZone[machine.Zone]++
	p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), 1)
	if p.undoEnabled {
		p.undo = append(p.undo, func() {
			job.TasksByZone[machine.Zone]--
			p.UsedByTeam[job.Spec.Team] = p.UsedByTeam[job.Spec.Team].AddTimes(TaskRequest(job.Spec), -1)
		})
	}
}

// setFree changes the free resources of a machine until the end of the plan.
func (p *planner) setFree(machine *Machine, free Resources) {
	if _, ok := p.originalFree[machine]; !ok {
		p.originalFree[machine] = machine.Free
	}
	if before := machine.Free; p.undoEnabled {
		p.undo = append(p.undo, func() { p.Index.SetFree(machine, before) })
	}
	p.Index.SetFree(machine, free)
}

// rollBack undoes the recorded changes, the most recent first.
func (p *planner) rollBack() {
	for _, undo := range slices.Backward(p.undo) {
		undo()
	}
	p.undo = p.undo[:0]
}

// loadTasks calls Input.LoadTasks for a machine, at most once per plan.
func (p *planner) loadTasks(machine *Machine) {
	if p.LoadTasks != nil && !p.tasksLoaded[machine] {
		p.tasksLoaded[machine] = true
		p.LoadTasks(machine)
	}
}
