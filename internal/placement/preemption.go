package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

// mayStop tells whether a task may be stopped to make room for j.
func mayStop(in *Input, j *Job, p *RunningTask) bool {
	v := p.Job
	if p.Starved && j.Spec.Priority != jobs.Prod {
		return false // it waited for too long to lose its place at once
	}
	if v.Spec.Rank() < j.Spec.Rank() {
		return true
	}
	// A team gets its guarantee from what another runs beyond its own, but not at
	// the cost of a production service: its users notice at once, and a batch
	// job can wait for the next task to end.
	if v.Spec.Priority == jobs.Prod && j.Spec.Priority != jobs.Prod {
		return false
	}
	return in.mayReclaim(j) && !v.Guaranteed && v.Spec.Team != j.Spec.Team && in.beyond(v.Spec.Team)
}

// mayReclaim tells whether a job takes what its team is guaranteed from others. Tasks
// end all the time, and what is guaranteed goes first where they do: a claim that
// can wait for that costs nobody the work of a task.
func (in *Input) mayReclaim(j *Job) bool { return j.Guaranteed && !j.ReclaimDeferred }

// beyond tells whether a team uses more than it is guaranteed.
func (in *Input) beyond(team string) bool {
	t, used := teamOf(in.Teams, team), in.UsedByTeam[team]
	return used.CPUs > t.CPUs+slack || used.GPUs > t.GPUs+slack
}

// slowFetch is how much longer than usual a fetch may take, from the protocol.
const slowFetch = 4.0 / 3

// makeRoom stops tasks for up to n tasks of a job, on machines that will do; nil
// means all. Room that is being made is set aside, so that the next plan does not
// stop more for the same need.
func (in *Input) makeRoom(j *Job, n int, out *Output, will func(*Machine) bool) (made int) {
	if !in.mayMakeRoom(j) {
		return 0
	}
	// To start a little sooner is no reason to stop a gang.
	in.spare = in.cached || will != nil
	need := TaskRequest(j.Spec)
	var candidates preemptions
	for _, s := range in.Index.kinds {
		if !in.allows(j, s) {
			continue
		}
		s.all(func(m *Machine) {
			if will != nil && !will(m) || in.cached && !m.Images[j.Spec.Image] {
				return
			}
			in.look(m)
			if w, ok := in.victims(j, m, need); ok {
				candidates = append(candidates, w)
			}
		})
	}
	heap.Init(&candidates)
	for made < n && len(candidates) > 0 {
		w := candidates[0]
		if !w.on.open(j) || !TopologyAllows(j.Spec, j.TasksByZone, w.on.Zone) {
			heap.Pop(&candidates)
			continue
		}
		m := w.on
		if tasks, freeing := m.Tasks, m.Releasing; in.trial {
			m.Tasks = slices.Clone(tasks)
			in.undo = append(in.undo, func() { m.Tasks, m.Releasing = tasks, freeing })
		}
		for _, v := range w.stop {
			out.Preemptions = append(out.Preemptions, Preemption{m, v, j.Spec.Shape != jobs.Batch})
			m.Tasks = slices.DeleteFunc(m.Tasks, func(p *RunningTask) bool { return p == v })
			m.Releasing = m.Releasing.AddTimes(TaskRequest(v.Job.Spec), 1)
		}
		// Taken out of what is free now and, for the rest, of what will be.
		m.Releasing = m.Free.AddTimes(m.Releasing, 1).AddTimes(need, -1)
		in.setFree(m, Resources{})
		in.counted(j, m)
		made++
		if next, ok := in.victims(j, m, need); ok {
			candidates[0] = next
			heap.Fix(&candidates, 0)
		} else {
			heap.Pop(&candidates)
		}
	}
	return made
}

// mayMakeRoom tells whether a search for victims can find any: it goes through
// all machines, and mostly there is nothing of lower priority.
func (in *Input) mayMakeRoom(j *Job) bool {
	if j.PreemptionDeferred {
		return false
	}
	return in.LowestRank < j.Spec.Rank() || in.mayReclaim(j) && slices.ContainsFunc(in.Teams, func(t settings.Team) bool {
		return t.Name != j.Spec.Team && in.beyond(t.Name)
	})
}

// preemption is what a machine would lose to take one more task.
type preemption struct {
	on   *Machine
	stop []*RunningTask
	cost float64
}

// preemptions is a heap, the cheapest first.
type preemptions []preemption

func (s preemptions) Len() int { return len(s) }

func (s preemptions) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].cost, s[b].cost), cmp.Compare(s[a].on.ID, s[b].on.ID)) < 0
}

func (s preemptions) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

func (s *preemptions) Push(x any) { *s = append(*s, x.(preemption)) }

func (s *preemptions) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// cost is what stopping a task loses. A gang loses what all of its tasks have run
// for, and has to find room for all of them at a time again.
func (p *RunningTask) cost() float64 {
	s := p.Job.Spec
	if s.Shape == jobs.Gang {
		return float64(p.GangTasks) * (1 + (p.LostRunS+s.EstimateS)*s.CPUs)
	}
	return 1 + p.LostRunS*s.CPUs
}

// victims returns the cheapest tasks to stop on a machine.
func (in *Input) victims(j *Job, m *Machine, need Resources) (w preemption, ok bool) {
	if !m.open(j) {
		return w, false
	}
	w.on = m
	room := m.Free.AddTimes(m.Releasing, 1)
	if room.Fits(need) {
		return w, true
	}
	var order []*RunningTask
	for _, v := range m.Tasks {
		if mayStop(in, j, v) && (!in.spare || v.Job.Spec.Shape != jobs.Gang) {
			order = append(order, v)
		}
	}
	slices.SortStableFunc(order, func(a, b *RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Rank(), b.Job.Spec.Rank()), cmp.Compare(a.cost(), b.cost()))
	})
	for _, v := range order {
		room = room.AddTimes(TaskRequest(v.Job.Spec), 1)
		w.stop = append(w.stop, v)
		w.cost += v.cost()
		if room.Fits(need) {
			return w, true
		}
	}
	return w, false
}
