package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// Assignment places the next task of a job on a machine.
type Assignment struct {
	Job     *Job
	Machine *Machine
	Starved bool // placed ahead of the queue because the job was starved
}

// Preemption stops a task on its machine to make room for another.
type Preemption struct {
	Machine      *Machine
	Task         *RunningTask
	For          *Job // the job that needs the room
	WithoutGrace bool // no time for a checkpoint, because the task that needs the room should start at once
}

// Demand is the number of a job's tasks for which there is no room although the team's quota
// allows them.
type Demand struct {
	Job   *Job
	Count int
}

// Output is a plan for the caller to carry out.
type Output struct {
	Assignments     []Assignment // for each job in the order of its tasks
	Preemptions     []Preemption
	PreemptingGangs []*Job   // gangs for which victims have been found
	Unmet           []Demand // in the order of the queue
}

// Plan decides which tasks to place and which to preempt. It restores the index but modifies the
// rest of its input. Equal inputs give equal plans.
func Plan(input Input) Output {
	p := &planner{Input: input, originalFree: map[*Machine]Resources{}, tasksLoaded: map[*Machine]bool{}}
	queue := make([]queueEntry, 0, len(p.Jobs))
	for _, job := range p.Jobs {
		queue = append(queue, queueEntry{job, false})
		if job.StarvedTasks > 0 {
			queue = append(queue, queueEntry{job, true})
		}
	}
	slices.SortStableFunc(queue, compareEntries)
	var out Output
	p.scheduleAll(queue, &out)
	for machine, free := range p.originalFree {
		p.Index.SetFree(machine, free)
	}
	return out
}

// scheduleAll schedules the entries of a queue in order. Interchangeable jobs first share the
// machines that have their images.
func (p *planner) scheduleAll(queue []queueEntry, out *Output) {
	for len(queue) > 0 {
		if queue[0].Spec.Shape == jobs.Gang {
			p.starvedEntry = queue[0].starved
			p.scheduleGang(queue[0], out)
			queue = queue[1:]
			continue
		}
		count := countInterchangeable(queue)
		if count > 1 {
			for _, entry := range queue[:count] {
				p.placeTasks(entry, out, true)
			}
		}
		for _, entry := range queue[:count] {
			p.scheduleJob(entry, out)
		}
		queue = queue[count:]
	}
}

// scheduleJob places a job's tasks where there is room, and preempts other tasks for the rest.
func (p *planner) scheduleJob(entry queueEntry, out *Output) {
	job, unplaced := entry.Job, p.placeTasks(entry, out, false)
	remaining := p.withinQuota(job, unplaced)
	if remaining <= 0 {
		return
	}
	tasksWithRoom := p.preemptFor(job, remaining, out, false)
	remaining -= tasksWithRoom
	job.Pending -= tasksWithRoom
	if entry.starved {
		// A task larger than the capacity that other tasks release from time to time would starve
		// forever, so a machine is drained for it.
		p.reserveEmptiest(job, remaining)
		return
	}
	if remaining > 0 {
		out.Unmet = append(out.Unmet, Demand{job, remaining})
	}
}

// placeTasks places tasks of a job on machines with room, and returns how many of the entry's
// tasks are left. With cachedOnly it uses only machines that have the job's image, and only as
// long as no machine without it would be filled better.
func (p *planner) placeTasks(entry queueEntry, out *Output, cachedOnly bool) (remaining int) {
	job := entry.Job
	p.starvedEntry = entry.starved
	remaining = job.Pending
	if entry.starved {
		remaining = min(remaining, job.StarvedTasks)
	}
	for remaining > 0 {
		if p.withinQuota(job, 1) == 0 {
			break // the quota is used up, so no machine would help
		}
		machine := p.bestFit(job, cachedOnly)
		if machine == nil {
			break
		}
		if p.preemptWhereCached(job, machine, out) {
			remaining--
			job.Pending--
			continue
		}
		p.placeTask(job, machine)
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
		remaining--
		job.Pending--
		if entry.starved {
			job.StarvedTasks--
		}
	}
	return remaining
}

// preemptWhereCached makes room for a service on a machine that has its image, if fetching the
// image to the free machine would take too long. It returns false if the free machine will do or
// there are no victims.
func (p *planner) preemptWhereCached(job *Job, free *Machine, out *Output) bool {
	return job.Spec.Shape == jobs.Service && job.startsTooLate(free.imageFetchS(job.Spec)) && p.preemptFor(job, 1, out, true) > 0
}
