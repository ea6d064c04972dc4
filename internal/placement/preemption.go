package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// mayPreempt reports whether a running task may be stopped to make room for a job.
func (p *planner) mayPreempt(job *Job, task *RunningTask) bool {
	victim := task.Job
	if task.Starved && job.Spec.Priority != jobs.Prod {
		return false // it has waited too long to lose its machine at once
	}
	if victim.Guaranteed && !p.aheadOfGuaranteed(job) {
		// The victim's job is ahead in the queue. It would get the room that becomes free, lose another task for
		// it, and so on.
		return false
	}
	if victim.Spec.Rank() < job.Spec.Rank() {
		return true
	}
	// A team reclaims its guarantee from teams that exceed theirs, but not at the cost of a
	// production service: its users notice at once, whereas a batch job can wait for the next task
	// to end.
	if victim.Spec.Priority == jobs.Prod && job.Spec.Priority != jobs.Prod {
		return false
	}
	return p.mayReclaim(job) && !victim.Guaranteed && victim.Spec.Team != job.Spec.Team && p.exceedsGuarantee(victim.Spec.Team)
}

// aheadOfGuaranteed reports whether the entry of a job that is being scheduled is ahead of those of guaranteed jobs
// in the queue, or among them.
func (p *planner) aheadOfGuaranteed(job *Job) bool {
	return job.Guaranteed || job.Preempting || job.Spec.Priority == jobs.Prod || p.starvedEntry
}

// preemptionPossible reports whether there may be victims for a job anywhere. It avoids the
// search, which visits all machines, in the common case where no running task is of lower rank.
func (p *planner) preemptionPossible(job *Job) bool {
	if job.PreemptionDeferred {
		return false
	}
	return p.LowestRank < job.Spec.Rank() || p.mayReclaim(job) && slices.ContainsFunc(p.Teams, func(team settings.Team) bool {
		return team.Name != job.Spec.Team && p.exceedsGuarantee(team.Name)
	})
}

// victimSearch describes the job that needs victims and where to search for them.
type victimSearch struct {
	job     *Job
	request Resources // request of one task
	// withImage restricts the search to machines that have the job's image. Such a search only
	// serves an earlier start of the job, for which no gang is stopped.
	withImage bool
}

// preemptFor preempts tasks for up to count tasks of a job, the cheapest victims first, and
// returns the number of tasks that will have room. That room is reserved for the rest of this
// plan. Later plans find it in Releasing and stop nothing more for the same tasks.
func (p *planner) preemptFor(job *Job, count int, out *Output, withImage bool) (tasksWithRoom int) {
	if !p.preemptionPossible(job) {
		return 0
	}
	search := victimSearch{job, TaskRequest(job.Spec), withImage}
	options := p.preemptionOptions(search)
	for tasksWithRoom < count && options.Len() > 0 {
		option := options.cheapest()
		machine := option.machine
		if !machine.Accepts(job.Spec) || !TopologyAllows(job.Spec, job.TasksByZone, machine.Zone) {
			heap.Pop(options)
			continue
		}
		p.preempt(search, option, out)
		tasksWithRoom++
		if next, ok := p.cheapestVictims(search, machine); ok {
			options.replaceCheapest(next)
		} else {
			heap.Pop(options)
		}
	}
	return tasksWithRoom
}

// preemptionOptions returns a heap of the machines where preempting some of the running tasks
// would make room for one more.
func (p *planner) preemptionOptions(search victimSearch) *preemptionHeap {
	var options preemptionHeap
	for _, pool := range p.Index.pools {
		if !p.poolAllowed(search.job, pool) {
			continue
		}
		pool.each(func(machine *Machine) {
			if search.withImage && !machine.Images[search.job.Spec.Image] {
				return
			}
			p.loadTasks(machine)
			if option, ok := p.cheapestVictims(search, machine); ok {
				options = append(options, option)
			}
		})
	}
	heap.Init(&options)
	return &options
}

// cheapestVictims returns the tasks on a machine that are cheapest to stop, lowest rank first, so
// that one more task fits. There are no victims if the task will fit into resources that are
// already being released. It returns false if the task does not fit even without all tasks that
// may be preempted.
func (p *planner) cheapestVictims(search victimSearch, machine *Machine) (option preemptionOption, ok bool) {
	if !machine.Accepts(search.job.Spec) {
		return option, false
	}
	option.machine = machine
	room := machine.Free.AddTimes(machine.Releasing, 1)
	if room.Fits(search.request) {
		return option, true
	}
	var candidates []*RunningTask
	for _, task := range machine.Tasks {
		if p.mayPreempt(search.job, task) && (!search.withImage || task.Job.Spec.Shape != jobs.Gang) {
			candidates = append(candidates, task)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Rank(), b.Job.Spec.Rank()), cmp.Compare(a.preemptionCost(), b.preemptionCost()))
	})
	for _, task := range candidates {
		room = room.AddTimes(TaskRequest(task.Job.Spec), 1)
		option.victims = append(option.victims, task)
		option.cost += task.preemptionCost()
		if room.Fits(search.request) {
			return option, true
		}
	}
	return option, false
}

// preempt stops the victims of an option and reserves the machine for the task that needs their
// room.
func (p *planner) preempt(search victimSearch, option preemptionOption, out *Output) {
	machine := option.machine
	if tasks, releasing := machine.Tasks, machine.Releasing; p.undoEnabled {
		machine.Tasks = slices.Clone(tasks)
		p.undo = append(p.undo, func() { machine.Tasks, machine.Releasing = tasks, releasing })
	}
	withoutGrace := search.job.Spec.Shape != jobs.Batch
	for _, victim := range option.victims {
		out.Preemptions = append(out.Preemptions, Preemption{machine, victim, search.job, withoutGrace})
		machine.Tasks = slices.DeleteFunc(machine.Tasks, func(task *RunningTask) bool { return task == victim })
		machine.Releasing = machine.Releasing.AddTimes(TaskRequest(victim.Job.Spec), 1)
	}
	// The request is covered by the free resources first, and for the rest by those about to be
	// released. Nothing else is placed on the machine in this plan: a task that took the free
	// resources would make this one wait for more tasks to end.
	machine.Releasing = machine.Free.AddTimes(machine.Releasing, 1).AddTimes(search.request, -1)
	p.setFree(machine, Resources{})
	p.countTask(search.job, machine)
}

// preemptionOption is the set of victims that makes room for one more task on a machine.
type preemptionOption struct {
	machine *Machine
	victims []*RunningTask
	cost    float64 // sum of preemptionCost over the victims
}

// preemptionHeap is a [heap.Interface] with the cheapest option at the root.
type preemptionHeap []preemptionOption

func (h preemptionHeap) Len() int { return len(h) }

func (h preemptionHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].cost, h[b].cost), cmp.Compare(h[a].machine.ID, h[b].machine.ID)) < 0
}

func (h preemptionHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h preemptionHeap) cheapest() preemptionOption { return h[0] }

func (h *preemptionHeap) replaceCheapest(option preemptionOption) {
	(*h)[0] = option
	heap.Fix(h, 0)
}

// Push implements [heap.Interface].
func (h *preemptionHeap) Push(x any) { *h = append(*h, x.(preemptionOption)) }

// Pop implements [heap.Interface].
func (h *preemptionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
