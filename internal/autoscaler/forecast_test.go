package autoscaler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

func TestForecastLateTasks(t *testing.T) {
	cpus := func(n float64) placement.Resources {
		return placement.Resources{CPUs: n, HeartbeatBytes: workers.MaxListedTasksBytes}
	}
	task := func(n float64, spot bool) *jobs.Spec { return &jobs.Spec{CPUs: n, Spot: spot} }
	for _, tc := range []struct {
		name     string
		machines []MachineForecast
		queue    []PendingTasks
		want     []int
	}{
		{"no machine", nil, []PendingTasks{{task(1, true), 3, 10, 100}}, []int{3}},
		{"two rounds of tasks are in time, the third is late",
			[]MachineForecast{{Free: cpus(2)}}, []PendingTasks{{task(1, true), 6, 10, 25}}, []int{2}},
		{"running tasks release resources in time",
			[]MachineForecast{{Releases: []Release{{12, cpus(4)}}}}, []PendingTasks{{task(4, true), 1, 10, 25}}, []int{0}},
		{"running tasks release resources too late", []MachineForecast{{Releases: []Release{{18, cpus(4)}}}}, []PendingTasks{{task(4, true), 1, 10, 25}}, []int{1}},
		{"resources of a service are never released",
			[]MachineForecast{{Free: cpus(3)}}, []PendingTasks{{task(4, true), 1, 10, 25}}, []int{1}},
		{"tasks are placed in the order of the queue",
			[]MachineForecast{{Free: cpus(1)}}, []PendingTasks{{task(1, true), 1, 20, 25}, {task(1, true), 1, 5, 24}}, []int{0, 1}},
		{"spot machine not allowed",
			[]MachineForecast{{MachinePool: MachinePool{Spot: true}, Free: cpus(4)}}, []PendingTasks{{task(1, false), 1, 10, 25}}, []int{1}},
		{"a straggler takes no batch task, although it has room",
			[]MachineForecast{{Free: cpus(4), Offer: &placement.Machine{Straggler: true}}}, []PendingTasks{{task(1, true), 2, 10, 25}}, []int{2}},
		{"a machine on which the job has failed takes none of its tasks",
			[]MachineForecast{{Free: cpus(4), Offer: &placement.Machine{AvoidJobs: map[string]bool{"": true}}}}, []PendingTasks{{task(1, true), 2, 10, 25}}, []int{2}},
		{"a booting machine is available once it has booted",
			[]MachineForecast{{AvailableFromS: 20, Free: cpus(4)}}, []PendingTasks{{task(4, true), 1, 10, 29}, {task(4, true), 1, 10, 31}}, []int{1, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if d := cmp.Diff(tc.want, ForecastLateTasks(tc.machines, tc.queue)); d != "" {
				t.Error(d)
			}
		})
	}
}
