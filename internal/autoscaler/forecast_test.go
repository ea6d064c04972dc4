package autoscaler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/placement"
)

func TestLate(t *testing.T) {
	cpus := func(n float64) placement.Amount { return placement.Amount{CPUs: n} }
	task := func(n float64, spot bool) *jobs.Spec { return &jobs.Spec{CPUs: n, Spot: spot} }
	for _, tc := range []struct {
		name  string
		rooms []Room
		queue []Waiting
		want  []int
	}{
		{"no machine at all", nil, []Waiting{{task(1, true), 3, 10, 100}}, []int{3}},
		{"two waves in time, the third is late",
			[]Room{{Free: cpus(2)}}, []Waiting{{task(1, true), 6, 10, 25}}, []int{2}},
		{"running tasks make room soon enough",
			[]Room{{Leaves: []Leave{{12, cpus(4)}}}}, []Waiting{{task(4, true), 1, 10, 25}}, []int{0}},
		{"or not", []Room{{Leaves: []Leave{{18, cpus(4)}}}}, []Waiting{{task(4, true), 1, 10, 25}}, []int{1}},
		{"a service never leaves: its machine does not fit",
			[]Room{{Free: cpus(3)}}, []Waiting{{task(4, true), 1, 10, 25}}, []int{1}},
		{"the queue's order counts",
			[]Room{{Free: cpus(1)}}, []Waiting{{task(1, true), 1, 20, 25}, {task(1, true), 1, 5, 24}}, []int{0, 1}},
		{"not on a spot machine",
			[]Room{{Kind: Kind{Spot: true}, Free: cpus(4)}}, []Waiting{{task(1, false), 1, 10, 25}}, []int{1}},
		{"a booting machine counts from when it is up",
			[]Room{{From: 20, Free: cpus(4)}}, []Waiting{{task(4, true), 1, 10, 29}, {task(4, true), 1, 10, 31}}, []int{1, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if d := cmp.Diff(tc.want, Late(tc.rooms, tc.queue)); d != "" {
				t.Error(d)
			}
		})
	}
}
