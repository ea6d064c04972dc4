package autoscaler

import (
	"container/heap"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

// MachineForecast is the expected availability of one machine. Times are in seconds from now.
type MachineForecast struct {
	MachinePool
	Offer          *placement.Machine  // the machine as input for placement; nil if it has none
	AvailableFromS float64             // when Free becomes usable: later than now if the machine is booting
	Free           placement.Resources // free at AvailableFromS
	Releases       []Release           // resources that running tasks will release
}

// Release is the expected release of a running task's resources.
type Release struct {
	AtS       float64
	Resources placement.Resources
}

// PendingTasks are tasks of a batch job that have no machine.
type PendingTasks struct {
	Spec      *jobs.Spec
	Count     int
	RunS      float64 // expected run time of one task, in seconds
	DeadlineS float64 // time by which the last task should have ended, in seconds from now
}

// ForecastLateTasks simulates how the existing machines process the queue in its order, and
// returns for each entry how many of its tasks would miss the deadline. Provisioning for these
// tasks only, rather than for all pending ones, avoids machines that idle after a burst that the
// existing ones would have processed in time. It modifies machines.
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

// placePending places each task where it can start first, and returns how many tasks would be
// late.
func placePending(machines []MachineForecast, pending PendingTasks) (late int) {
	request := placement.TaskRequest(pending.Spec)
	var starts startHeap
	for i := range machines {
		machine := &machines[i]
		if !machine.accepts(pending.Spec) {
			continue
		}
		if atS := machine.earliestStart(request); atS+pending.RunS <= pending.DeadlineS {
			starts = append(starts, possibleStart{atS, i})
		}
	}
	heap.Init(&starts)
	for n := range pending.Count {
		if len(starts) == 0 || starts[0].atS+pending.RunS > pending.DeadlineS {
			return pending.Count - n // the remaining tasks would start no earlier
		}
		machine := &machines[starts[0].machine]
		machine.placeTask(request, starts[0].atS, pending.RunS)
		starts[0].atS = machine.earliestStart(request)
		heap.Fix(&starts, 0)
	}
	return 0
}

// accepts reports whether placement may place tasks of a job on the machine, once there is room.
func (m *MachineForecast) accepts(spec *jobs.Spec) bool {
	return spec.Allows(m.Type, m.Zone, m.Spot) && (m.Offer == nil || m.Offer.Accepts(spec))
}

// earliestStart returns when the machine has room for a request, or +Inf if it never will.
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

// placeTask places a task on the machine. Tasks placed later do not start there before it, even if
// they fit into free resources. The forecast is thus slightly too cautious, but needs only one time
// per machine.
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

// compareReleases orders releases by time; the order of simultaneous releases is unspecified.
func compareReleases(a, b Release) int {
	if a.AtS < b.AtS {
		return -1
	}
	return 1
}

// possibleStart is the earliest time at which one more task could start on a machine.
type possibleStart struct {
	atS     float64
	machine int // index into the machines of the forecast
}

// startHeap is a [heap.Interface] with the earliest start at the root.
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
