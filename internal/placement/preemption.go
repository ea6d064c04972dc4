package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// mayPreempt tells whether a task may be stopped to make room for j.
func (p *planner) mayPreempt(job *Job, victim *RunningTask) bool {
	v := victim.Job
	if victim.Starved && job.Spec.Priority != jobs.Prod {
		return false // it waited for too long to lose its place at once
	}
	if v.Spec.Rank() < job.Spec.Rank() {
		return true
	}
	// A team gets its guarantee from what another runs beyond its own, but not at
	// the cost of a production service: its users notice at once, and a batch
	// job can wait for the next task to end.
	if v.Spec.Priority == jobs.Prod && job.Spec.Priority != jobs.Prod {
		return false
	}
	return p.mayReclaim(job) && !v.Guaranteed && v.Spec.Team != job.Spec.Team && p.exceedsGuarantee(v.Spec.Team)
}

// slowFetchFactor is how much longer than usual a fetch may take, from the protocol.
const slowFetchFactor = 4.0 / 3

// preemptFor stops tasks for up to n tasks of a job, on machines that will do; nil
// means all. Room that is being made is set aside, so that the next plan does not
// stop more for the same need.
func (p *planner) preemptFor(job *Job, count int, out *Output, accept func(*Machine) bool) (made int) {
	if !p.preemptionPossible(job) {
		return 0
	}
	// To start a little sooner is no reason to stop a gang.
	p.spareGangs = p.onlyWithImage || accept != nil
	request := TaskRequest(job.Spec)
	var candidates preemptionHeap
	for _, pool := range p.Index.pools {
		if !p.allowsPool(job, pool) {
			continue
		}
		pool.each(func(m *Machine) {
			if accept != nil && !accept(m) || p.onlyWithImage && !m.Images[job.Spec.Image] {
				return
			}
			p.loadTasks(m)
			if option, ok := p.cheapestVictims(job, m, request); ok {
				candidates = append(candidates, option)
			}
		})
	}
	heap.Init(&candidates)
	for made < count && len(candidates) > 0 {
		option := candidates[0]
		if !option.machine.accepts(job) || !TopologyAllows(job.Spec, job.TasksByZone, option.machine.Zone) {
			heap.Pop(&candidates)
			continue
		}
		m := option.machine
		if tasks, freeing := m.Tasks, m.Releasing; p.trial {
			m.Tasks = slices.Clone(tasks)
			p.undo = append(p.undo, func() { m.Tasks, m.Releasing = tasks, freeing })
		}
		for _, victim := range option.victims {
			out.Preemptions = append(out.Preemptions, Preemption{m, victim, job.Spec.Shape != jobs.Batch})
			m.Tasks = slices.DeleteFunc(m.Tasks, func(task *RunningTask) bool { return task == victim })
			m.Releasing = m.Releasing.AddTimes(TaskRequest(victim.Job.Spec), 1)
		}
		// Taken out of what is free now and, for the rest, of what will be.
		m.Releasing = m.Free.AddTimes(m.Releasing, 1).AddTimes(request, -1)
		p.setFree(m, Resources{})
		p.countTask(job, m)
		made++
		if next, ok := p.cheapestVictims(job, m, request); ok {
			candidates[0] = next
			heap.Fix(&candidates, 0)
		} else {
			heap.Pop(&candidates)
		}
	}
	return made
}

// preemptionPossible tells whether a search for victims can find any: it goes through
// all machines, and mostly there is nothing of lower priority.
func (p *planner) preemptionPossible(job *Job) bool {
	if job.PreemptionDeferred {
		return false
	}
	return p.LowestRank < job.Spec.Rank() || p.mayReclaim(job) && slices.ContainsFunc(p.Teams, func(team settings.Team) bool {
		return team.Name != job.Spec.Team && p.exceedsGuarantee(team.Name)
	})
}

// preemptionOption is what a machine would lose to take one more task.
type preemptionOption struct {
	machine *Machine
	victims []*RunningTask
	cost    float64
}

// preemptionHeap is a heap, the cheapest first.
type preemptionHeap []preemptionOption

func (s preemptionHeap) Len() int { return len(s) }

func (s preemptionHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].cost, s[b].cost), cmp.Compare(s[a].machine.ID, s[b].machine.ID)) < 0
}

func (s preemptionHeap) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

func (s *preemptionHeap) Push(x any) { *s = append(*s, x.(preemptionOption)) }

func (s *preemptionHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// cheapestVictims returns the cheapest tasks to stop on a machine.
func (p *planner) cheapestVictims(job *Job, m *Machine, request Resources) (option preemptionOption, ok bool) {
	if !m.accepts(job) {
		return option, false
	}
	option.machine = m
	room := m.Free.AddTimes(m.Releasing, 1)
	if room.Fits(request) {
		return option, true
	}
	var victims []*RunningTask
	for _, task := range m.Tasks {
		if p.mayPreempt(job, task) && (!p.spareGangs || task.Job.Spec.Shape != jobs.Gang) {
			victims = append(victims, task)
		}
	}
	slices.SortStableFunc(victims, func(a, b *RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Rank(), b.Job.Spec.Rank()), cmp.Compare(a.preemptionCost(), b.preemptionCost()))
	})
	for _, task := range victims {
		room = room.AddTimes(TaskRequest(task.Job.Spec), 1)
		option.victims = append(option.victims, task)
		option.cost += task.preemptionCost()
		if room.Fits(request) {
			return option, true
		}
	}
	return option, false
}
