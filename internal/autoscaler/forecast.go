package autoscaler

import (
	"container/heap"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// Room is a machine as the forecast sees it: what is free from a moment on, and
// what running tasks will leave. Moments are seconds from now.
type Room struct {
	Kind
	From   float64
	Free   placement.Amount
	Leaves []Leave
}

// Leave is what a running task is expected to leave, and when.
type Leave struct {
	At   float64
	Need placement.Amount
}

// Waiting is a batch job's tasks without a machine.
type Waiting struct {
	Spec  *jobs.Spec
	Count int
	RunS  float64 // how long one of them runs
	DueS  float64 // when the last of them should be over
}

// Late plays the queue forward on the machines there are, in its order, and
// returns for each entry how many tasks would be over too late. Renting for
// these, not for all that wait, is what keeps machines from idling after a
// burst that they would have worked off anyway.
func Late(rooms []Room, queue []Waiting) []int {
	for i := range rooms {
		slices.SortFunc(rooms[i].Leaves, func(a, b Leave) int {
			if a.At < b.At {
				return -1
			}
			return 1
		})
	}
	late := make([]int, len(queue))
	for i, w := range queue {
		need := placement.Of(w.Spec)
		var next openings
		for r := range rooms {
			if !w.Spec.Allows(rooms[r].Type, rooms[r].Zone, rooms[r].Spot) {
				continue
			}
			if at := rooms[r].earliest(need); at+w.RunS <= w.DueS {
				next.heap = append(next.heap, opening{at, r})
			}
		}
		heap.Init(&next)
		for n := range w.Count {
			if len(next.heap) == 0 || next.heap[0].at+w.RunS > w.DueS {
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
func (r *Room) earliest(need placement.Amount) float64 {
	free, at := r.Free, r.From
	if free.Fits(need) {
		return at
	}
	for _, l := range r.Leaves {
		free, at = free.Plus(l.Need, 1), max(at, l.At)
		if free.Fits(need) {
			return at
		}
	}
	return math.Inf(1)
}

// take puts a task on the machine. What the machine had free before counts no
// more, which makes the forecast a little too cautious.
func (r *Room) take(need placement.Amount, at, runS float64) {
	for len(r.Leaves) > 0 && !r.Free.Fits(need) {
		r.Free = r.Free.Plus(r.Leaves[0].Need, 1)
		r.Leaves = r.Leaves[1:]
	}
	r.From = at
	r.Free = r.Free.Plus(need, -1)
	end := Leave{at + runS, need}
	i, _ := slices.BinarySearchFunc(r.Leaves, end, func(a, b Leave) int {
		if a.At < b.At {
			return -1
		}
		return 1
	})
	r.Leaves = slices.Insert(r.Leaves, i, end)
}
