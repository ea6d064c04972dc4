package autoscaler

import (
	"container/heap"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// MachineForecast is a machine as the forecast sees it. Moments are in seconds from now.
type MachineForecast struct {
	MachinePool
	AvailableFromS float64             // when Free may be used: later than now if the machine boots
	Free           placement.Resources // free at that moment
	Releases       []Release           // what running tasks will free
}

// Release is what a running task is expected to free, and when.
type Release struct {
	AtS       float64
	Resources placement.Resources
}

// PendingTasks are tasks of a batch job without a machine.
type PendingTasks struct {
	Spec      *jobs.Spec
	Count     int
	RunS      float64 // seconds that one of them runs
	DeadlineS float64 // moment at which the last of them should have ended
}

// ForecastLateTasks simulates how the machines there are work off a queue, in its order, and
// returns for each entry how many of its tasks would miss the deadline. Provisioning for these,
// and not for all that are pending, keeps machines from idling after a burst that the present
// ones would have worked off in time. The machines are changed.
func ForecastLateTasks(machines []MachineForecast, queue []PendingTasks) []int {
	for i := range machines {
		slices.SortFunc(machines[i].Releases, compareReleases)
	}
	late := make([]int, len(queue))
	for i, pending := range queue {
		late[i] = placePending(machines, pending)
	}
	return late
}

// placePending places tasks where they can start first, and returns how many would be late.
func placePending(machines []MachineForecast, pending PendingTasks) (late int) {
	request := placement.TaskRequest(pending.Spec)
	var starts startHeap
	for i := range machines {
		machine := &machines[i]
		if !pending.Spec.Allows(machine.Type, machine.Zone, machine.Spot) {
			continue
		}
		if atS := machine.earliestStart(request); atS+pending.RunS <= pending.DeadlineS {
			starts = append(starts, possibleStart{atS, i})
		}
	}
	heap.Init(&starts)
	for n := range pending.Count {
		if len(starts) == 0 || starts[0].atS+pending.RunS > pending.DeadlineS {
			return pending.Count - n // the others would start no earlier
		}
		machine := &machines[starts[0].machine]
		machine.placeTask(request, starts[0].atS, pending.RunS)
		starts[0].atS = machine.earliestStart(request)
		heap.Fix(&starts, 0)
	}
	return 0
}

// earliestStart is when a machine has room for a request: infinitely late if it never will.
func (m *MachineForecast) earliestStart(request placement.Resources) float64 {
	free, atS := m.Free, m.AvailableFromS
	if free.Fits(request) {
		return atS
	}
	for _, release := range m.Releases {
		free, atS = free.AddTimes(release.Resources, 1), max(atS, release.AtS)
		if free.Fits(request) {
			return atS
		}
	}
	return math.Inf(1)
}

// placeTask puts a task on the machine. Nothing starts there before it any more, even in what
// else is free: the forecast is a little too cautious, for the sake of one moment a machine.
func (m *MachineForecast) placeTask(request placement.Resources, startS, runS float64) {
	for len(m.Releases) > 0 && !m.Free.Fits(request) {
		m.Free = m.Free.AddTimes(m.Releases[0].Resources, 1)
		m.Releases = m.Releases[1:]
	}
	m.AvailableFromS = startS
	m.Free = m.Free.AddTimes(request, -1)
	end := Release{startS + runS, request}
	i, _ := slices.BinarySearchFunc(m.Releases, end, compareReleases)
	m.Releases = slices.Insert(m.Releases, i, end)
}

// compareReleases orders releases by time. Of two at the same time either may come first.
func compareReleases(a, b Release) int {
	if a.AtS < b.AtS {
		return -1
	}
	return 1
}

// possibleStart is when one more task could start on a machine.
type possibleStart struct {
	atS     float64
	machine int // index
}

// startHeap is a [heap.Interface], the earliest start first.
type startHeap []possibleStart

func (h startHeap) Len() int { return len(h) }

func (h startHeap) Less(a, b int) bool {
	return h[a].atS < h[b].atS || h[a].atS == h[b].atS && h[a].machine < h[b].machine
}

func (h startHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements [heap.Interface].
func (h *startHeap) Push(x any) { *h = append(*h, x.(possibleStart)) }

// Pop implements [heap.Interface].
func (h *startHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
