package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"ospreyslip/internal/jobs"
)

func batchJob(id string, tasks int, seconds float64) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "sums", Team: "blue", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: tasks,
		CPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: seconds,
	}
}

func serviceJob(id string, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "web", Team: "red", Shape: jobs.Service, Priority: jobs.Prod, Tasks: tasks,
		CPUs: 2, RAMGB: 1, Image: "web", ImageGB: 1, Spread: true,
	}
}

// gangJob is a job of two tasks a machine, so that tasks of one attempt share some.
func gangJob(id string, tasks int, seconds float64) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "joint", Team: "blue", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: tasks,
		CPUs: 2, RAMGB: 1, Image: "joint", ImageGB: 1, OneZone: true, EstimateS: seconds, CheckpntS: 10, SaveS: 2,
	}
}

func randomJob(r *rand.Rand, i int) *jobs.Spec {
	id := fmt.Sprintf("j-%d", 10+i)
	switch r.IntN(8) {
	case 0:
		return serviceJob(id, 1+r.IntN(2))
	case 1:
		return gangJob(id, 2, float64(5+r.IntN(20)))
	}
	return batchJob(id, 1+r.IntN(4), float64(3+r.IntN(30)))
}

// wireSpec gives a spec its form on the wire, where null is not the empty string.
func wireSpec(s *jobs.Spec) map[string]any {
	raw, _ := json.Marshal(s)
	var m map[string]any
	_ = json.Unmarshal(raw, &m)
	if s.Zone == "" {
		m["eyrie"] = nil
	}
	return m
}
