package recovery

import (
	"errors"
	"testing"

	"ospreyslip/internal/jobs"
)

// Checks that an operator may settle uncertain jobs, but not in contradiction to proof.
func TestSettle(t *testing.T) {
	spec := &jobs.Spec{ID: "j-1", Tasks: 2, Shape: jobs.Batch}
	uncertain := Attribute(FromSnapshot(7), Knowledge{Spec: spec})
	running := uncertain.Join(Attribute(FromWorker("m-1"), Knowledge{RunningTasks: []int{0}}))
	both := Knowledge{Done: true, Cancelled: true, Spec: spec}
	cases := []struct {
		name       string
		known      Knowledge
		settlement Settlement
		allowed    bool
	}{
		{"uncertain", uncertain, SettleDone, true},
		{"uncertain", uncertain, SettleCancelled, true},
		{"uncertain", uncertain, SettleRun, true},
		{"uncertain", uncertain, "lost", false},
		{"running", running, SettleDone, false},
		{"running", running, SettleCancelled, true},
		{"running", running, SettleRun, true},
		{"done and cancelled", both, SettleDone, true},
		{"done and cancelled", both, SettleCancelled, true},
		{"done and cancelled", both, SettleRun, false},
		{"no description", Attribute(FromWorker("m-1"), Knowledge{RunningTasks: []int{0}}), SettleRun, false},
		{"cancelled", Knowledge{Cancelled: true}, SettleDone, false},
		{"done", Knowledge{Done: true}, SettleCancelled, false},
	}
	for _, tc := range cases {
		decision, err := Settle(tc.known, tc.settlement)
		if (err == nil) != tc.allowed || err != nil && !errors.Is(err, ErrRefused) {
			t.Errorf("%s settled as %s: decision %+v, error %v", tc.name, tc.settlement, decision, err)
		}
	}
}
