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
func ForecastLateTasks(machines []MachineForecast, queue []PendingTasks) []int {
	for i := range machines {
		slices.SortFunc(machines[i].Releases, func(a, b Release) int {
			if a.AtS < b.AtS {
				return -1
			}
			return 1
		})
	}
	late := make([]int, len(queue))
	for i, pending := range queue {
		request := placement.TaskRequest(pending.Spec)
		var earliest availabilityHeap
		for machine := range machines {
			if !pending.Spec.Allows(machines[machine].Type, machines[machine].Zone, machines[machine].Spot) {
				continue
			}
			if atS := machines[machine].earliestFit(request); atS+pending.RunS <= pending.DeadlineS {
				earliest.entries = append(earliest.entries, availability{atS, machine})
			}
		}
		heap.Init(&earliest)
		for n := range pending.Count {
			if len(earliest.entries) == 0 || earliest.entries[0].atS+pending.RunS > pending.DeadlineS {
				// So would all that follow: later tasks find no earlier room.
				late[i] = pending.Count - n
				break
			}
			machine := &machines[earliest.entries[0].machine]
			machine.placeTask(request, earliest.entries[0].atS, pending.RunS)
			earliest.entries[0].atS = machine.earliestFit(request)
			heap.Fix(&earliest, 0)
		}
	}
	return late
}

// availability is when a machine has room for one more task.
type availability struct {
	atS     float64
	machine int
}

// availabilityHeap is a heap, the earliest first.
type availabilityHeap struct{ entries []availability }

func (o *availabilityHeap) Len() int { return len(o.entries) }
func (o *availabilityHeap) Less(a, b int) bool {
	return o.entries[a].atS < o.entries[b].atS || o.entries[a].atS == o.entries[b].atS && o.entries[a].machine < o.entries[b].machine
}
func (o *availabilityHeap) Swap(a, b int) { o.entries[a], o.entries[b] = o.entries[b], o.entries[a] }
func (o *availabilityHeap) Push(x any)    { o.entries = append(o.entries, x.(availability)) }
func (o *availabilityHeap) Pop() any {
	last := o.entries[len(o.entries)-1]
	o.entries = o.entries[:len(o.entries)-1]
	return last
}

// earliestFit is when a machine has room.
func (r *MachineForecast) earliestFit(request placement.Resources) float64 {
	free, atS := r.Free, r.AvailableFromS
	if free.Fits(request) {
		return atS
	}
	for _, release := range r.Releases {
		free, atS = free.AddTimes(release.Resources, 1), max(atS, release.AtS)
		if free.Fits(request) {
			return atS
		}
	}
	return math.Inf(1)
}

// placeTask puts a task on the machine. What the machine had free before counts no
// more, which makes the forecast a little too cautious.
func (r *MachineForecast) placeTask(request placement.Resources, startS, runS float64) {
	for len(r.Releases) > 0 && !r.Free.Fits(request) {
		r.Free = r.Free.AddTimes(r.Releases[0].Resources, 1)
		r.Releases = r.Releases[1:]
	}
	r.AvailableFromS = startS
	r.Free = r.Free.AddTimes(request, -1)
	end := Release{startS + runS, request}
	i, _ := slices.BinarySearchFunc(r.Releases, end, func(a, b Release) int {
		if a.AtS < b.AtS {
			return -1
		}
		return 1
	})
	r.Releases = slices.Insert(r.Releases, i, end)
}
