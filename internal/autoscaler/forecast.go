package autoscaler

import (
	"container/heap"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// MachineForecast is a machine as the forecast sees it: what is free from a moment on, and
// what running tasks will leave. Moments are seconds from now.
type MachineForecast struct {
	MachinePool
	AvailableFromS float64
	Free           placement.Resources
	Releases       []Release
}

// Release is what a running task is expected to leave, and when.
type Release struct {
	AtS       float64
	Resources placement.Resources
}

// PendingTasks is a batch job's tasks without a machine.
type PendingTasks struct {
	Spec      *jobs.Spec
	Count     int
	RunS      float64 // how long one of them runs
	DeadlineS float64 // when the last of them should be over
}

// ForecastLateTasks plays the queue forward on the machines there are, in its order, and
// returns for each entry how many tasks would be over too late. Renting for
// these, not for all that wait, is what keeps machines from idling after a
// burst that they would have worked off anyway.
func ForecastLateTasks(rooms []MachineForecast, queue []PendingTasks) []int {
	for i := range rooms {
		slices.SortFunc(rooms[i].Releases, func(a, b Release) int {
			if a.AtS < b.AtS {
				return -1
			}
			return 1
		})
	}
	late := make([]int, len(queue))
	for i, w := range queue {
		need := placement.TaskRequest(w.Spec)
		var next openings
		for r := range rooms {
			if !w.Spec.Allows(rooms[r].Type, rooms[r].Zone, rooms[r].Spot) {
				continue
			}
			if at := rooms[r].earliest(need); at+w.RunS <= w.DeadlineS {
				next.heap = append(next.heap, opening{at, r})
			}
		}
		heap.Init(&next)
		for n := range w.Count {
			if len(next.heap) == 0 || next.heap[0].at+w.RunS > w.DeadlineS {
				// So would all that follow: later tasks find no earlier room.
				late[i] = w.Count - n
				break
			}
			r := &rooms[next.heap[0].room]
			r.take(need, next.heap[0].at, w.RunS)
			next.heap[0].at = r.earliest(need)
			heap.Fix(&next, 0)
		}
	}
	return late
}

// opening is when a machine has room for one more task.
type opening struct {
	at   float64
	room int
}

// openings is a heap, the earliest first.
type openings struct{ heap []opening }

func (o *openings) Len() int { return len(o.heap) }
func (o *openings) Less(a, b int) bool {
	return o.heap[a].at < o.heap[b].at || o.heap[a].at == o.heap[b].at && o.heap[a].room < o.heap[b].room
}
func (o *openings) Swap(a, b int) { o.heap[a], o.heap[b] = o.heap[b], o.heap[a] }
func (o *openings) Push(x any)    { o.heap = append(o.heap, x.(opening)) }
func (o *openings) Pop() any {
	last := o.heap[len(o.heap)-1]
	o.heap = o.heap[:len(o.heap)-1]
	return last
}

// earliest is when a machine has room.
func (r *MachineForecast) earliest(need placement.Resources) float64 {
	free, at := r.Free, r.AvailableFromS
	if free.Fits(need) {
		return at
	}
	for _, l := range r.Releases {
		free, at = free.AddTimes(l.Resources, 1), max(at, l.AtS)
		if free.Fits(need) {
			return at
		}
	}
	return math.Inf(1)
}

// take puts a task on the machine. What the machine had free before counts no
// more, which makes the forecast a little too cautious.
func (r *MachineForecast) take(need placement.Resources, at, runS float64) {
	for len(r.Releases) > 0 && !r.Free.Fits(need) {
		r.Free = r.Free.AddTimes(r.Releases[0].Resources, 1)
		r.Releases = r.Releases[1:]
	}
	r.AvailableFromS = at
	r.Free = r.Free.AddTimes(need, -1)
	end := Release{at + runS, need}
	i, _ := slices.BinarySearchFunc(r.Releases, end, func(a, b Release) int {
		if a.AtS < b.AtS {
			return -1
		}
		return 1
	})
	r.Releases = slices.Insert(r.Releases, i, end)
}
