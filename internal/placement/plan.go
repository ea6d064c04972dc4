package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
)

// Assignment puts a job's next task on a machine.
type Assignment struct {
	Job     *Job
	Machine *Machine
	Starved bool // it went ahead because the job had got nothing for too long
}

// Preemption takes a task off its machine to make room.
type Preemption struct {
	Machine      *Machine
	Task         *RunningTask
	WithoutGrace bool // without time to save: a service waits for the room
}

// Demand is what found no room, in order of importance.
type Demand struct {
	Job   *Job
	Count int
}

// Output is what to do.
type Output struct {
	Assignments []Assignment
	Preemptions []Preemption
	Preempting  []*Job // gangs for which room is being made
	Unmet       []Demand
}

// Plan places what it can. It leaves the index as it found it.
func Plan(in Input) Output {
	p := &planner{Input: in, originalFree: map[*Machine]Resources{}, tasksLoaded: map[*Machine]bool{}}
	var out Output
	queue := make([]queueEntry, 0, len(p.Jobs))
	for _, job := range p.Jobs {
		queue = append(queue, queueEntry{job, false})
		if job.StarvedTasks > 0 {
			queue = append(queue, queueEntry{job, true})
		}
	}
	slices.SortStableFunc(queue, compareEntries)
	for len(queue) > 0 {
		if queue[0].Spec.Shape == jobs.Gang {
			p.scheduleGang(queue[0], &out)
			queue = queue[1:]
			continue
		}
		count := interchangeable(queue)
		if count > 1 {
			for _, entry := range queue[:count] {
				p.placeTasks(entry, &out, true)
			}
		}
		for _, entry := range queue[:count] {
			p.scheduleJob(entry, &out)
		}
		queue = queue[count:]
	}
	for machine, free := range p.originalFree {
		p.Index.SetFree(machine, free)
	}
	return out
}

// planner is one plan in the making: the input and what the plan has changed so far.
type planner struct {
	Input

	originalFree  map[*Machine]Resources // what was free before the plan
	tasksLoaded   map[*Machine]bool
	onlyZone      string   // zone to look at, if not empty
	onlyWithImage bool     // look only at machines that have the job's image
	spareGangs    bool     // stop no gang
	undo          []func() // what a trial has changed
	trial         bool
}

// scheduleJob gives a job its turn.
func (p *planner) scheduleJob(entry queueEntry, out *Output) {
	job, unplaced := entry.Job, p.placeTasks(entry, out, false)
	left := p.tasksWithinQuota(job, unplaced)
	if left <= 0 {
		return
	}
	preempted := p.preemptFor(job, left, out, nil)
	left -= preempted
	job.Pending -= preempted
	if entry.starved {
		// What is too large for the room that others leave now and then would
		// wait for ever: a machine is kept from them until it has that room.
		p.reserveEmptiest(job, left)
		return
	}
	if left > 0 {
		out.Unmet = append(out.Unmet, Demand{job, left})
	}
}

// placeTasks puts a job's tasks on machines with room, only on those with its image if
// so asked, and returns how many are left.
func (p *planner) placeTasks(entry queueEntry, out *Output, onlyWithImage bool) (left int) {
	job := entry.Job
	left = job.Pending
	if entry.starved {
		left = min(left, job.StarvedTasks)
	}
	for left > 0 {
		if p.tasksWithinQuota(job, 1) == 0 {
			break // no machine would help
		}
		machine := p.bestFit(job, onlyWithImage)
		if machine == nil {
			break
		}
		// A service whose image would come too late starts sooner where the image
		// is, even if something has to leave for that.
		if fetchS := machine.imageFetchS(job.Spec) * slowFetchFactor; job.Spec.Shape == jobs.Service && fetchS > 0 && fetchS > job.StartWithinS && job.StartWithinS > 0 &&
			p.preemptFor(job, 1, out, func(machine *Machine) bool { return machine.Images[job.Spec.Image] }) > 0 {
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
