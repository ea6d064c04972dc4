package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// Assignment puts a job's next task on a machine.
type Assignment struct {
	Job     *Job
	Machine *Machine
	Starved bool // it went ahead of the queue because the job had starved
}

// Preemption stops a task on its machine to make room for another.
type Preemption struct {
	Machine      *Machine
	Task         *RunningTask
	WithoutGrace bool // no time for a checkpoint: what the room is for should start at once
}

// Demand is the number of a job's tasks that found no room, though their team's quota allows
// them.
type Demand struct {
	Job   *Job
	Count int
}

// Output is a plan: what the caller is to carry out.
type Output struct {
	Assignments []Assignment // of each job in the order of its tasks
	Preemptions []Preemption
	Preempting  []*Job   // gangs for which victims have been found
	Unmet       []Demand // in the order of the queue
}

// Plan decides which tasks to place and which to preempt. It leaves the index as it found it;
// the other parts of the input are changed. Equal inputs give equal plans.
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

// scheduleAll schedules the entries of a queue in its order. Jobs that are interchangeable
// first share the machines that have their images.
func (p *planner) scheduleAll(queue []queueEntry, out *Output) {
	for len(queue) > 0 {
		if queue[0].Spec.Shape == jobs.Gang {
			p.scheduleGang(queue[0], out)
			queue = queue[1:]
			continue
		}
		count := interchangeable(queue)
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

// scheduleJob places a job's tasks where there is room and preempts others for the rest.
func (p *planner) scheduleJob(entry queueEntry, out *Output) {
	job, unplaced := entry.Job, p.placeTasks(entry, out, false)
	left := p.withinQuota(job, unplaced)
	if left <= 0 {
		return
	}
	roomFor := p.preemptFor(job, left, out, false)
	left -= roomFor
	job.Pending -= roomFor
	if entry.starved {
		// A task that is larger than the room that others leave now and then would starve
		// for ever: a machine drains for it.
		p.reserveEmptiest(job, left)
		return
	}
	if left > 0 {
		out.Unmet = append(out.Unmet, Demand{job, left})
	}
}

// placeTasks puts tasks of a job on machines with room and returns how many are left of those
// that the entry stands for. With cachedOnly it uses only machines that have the job's image,
// and these only while none without it would be filled better.
func (p *planner) placeTasks(entry queueEntry, out *Output, cachedOnly bool) (left int) {
	job := entry.Job
	left = job.Pending
	if entry.starved {
		left = min(left, job.StarvedTasks)
	}
	for left > 0 {
		if p.withinQuota(job, 1) == 0 {
			break // no machine would help
		}
		machine := p.bestFit(job, cachedOnly)
		if machine == nil {
			break
		}
		if p.preemptWhereCached(job, machine, out) {
			left--
			job.Pending--
			continue
		}
		p.placeTask(job, machine)
		out.Assignments = append(out.Assignments, Assignment{job, machine, entry.starved})
		left--
		job.Pending--
		if entry.starved {
			job.StarvedTasks--
		}
	}
	return left
}

// preemptWhereCached makes room for a service on a machine that has its image, if fetching the
// image to the free machine would take too long. It returns false if that machine will do, or
// if there are no victims.
func (p *planner) preemptWhereCached(job *Job, free *Machine, out *Output) bool {
	return job.Spec.Shape == jobs.Service && job.startsTooLate(free.imageFetchS(job.Spec)) && p.preemptFor(job, 1, out, true) > 0
}
