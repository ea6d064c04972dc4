// Package placement decides which task goes to which machine and which task
// has to make room. It is a pure function of the picture it is given.
package placement

import (
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// Job is an unfinished job with tasks to place.
type Job struct {
	Spec               *jobs.Spec
	AcceptanceOrder    uint64         // order of acceptance
	DeadlineS          float64        // seconds left to its deadline; without one, a large number
	RemainingCPUS      float64        // what its unfinished tasks will take, in CPU seconds
	Pending            int            // tasks to place
	StarvedTasks       int            // of these, how many go first because it got nothing for too long
	TasksByZone        map[string]int // tasks that are, or may be, in a zone
	Guaranteed         bool           // within its team's guarantee
	StartWithinS       float64        // seconds left to its aim to start; 0 without one
	ReclaimDeferred    bool           // others need not yet stop for its guarantee
	NoTimeToRestart    bool           // a task that loses its machine will be late
	PreemptionDeferred bool           // machines about to report may have room: nothing is stopped for it

	// Preempting is set for a gang for which room is being made: it goes ahead of all but
	// production. (Else what goes before it takes that room, task by task, and is
	// stopped for it again and again.)
	Preempting bool
	// ReserveRoom is set for a gang that has not waited for long: it goes ahead of its equals,
	// and what falls free where most of it fits is kept until there is enough.
	ReserveRoom bool

	roomReserved bool // room is being made for it, or kept
}

// Input is the whole picture. Plan uses up all but the index.
type Input struct {
	Teams      []settings.Team
	UsedByTeam map[string]Resources // by team: all tasks that are, or may be, on a machine
	Index      *CapacityIndex
	Jobs       []*Job
	LowestRank int // the lowest rank of any task that is on a machine
	// LoadTasks sets a machine's tasks and what is being freed on it. It is asked for
	// only where room has to be made; nil leaves them as they are.
	LoadTasks func(*Machine)
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
