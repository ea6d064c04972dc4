package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"ospreyslip/internal/jobs"
)

// batchJob returns a job on spot machines, whose tasks end after so many seconds.
func batchJob(id string, tasks int, seconds float64) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "sums", Team: "blue", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: tasks,
		CPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimatedRuntimeS: seconds,
	}
}

// serviceJob returns a job whose tasks run until it is cancelled.
func serviceJob(id string, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "web", Team: "red", Shape: jobs.Service, Priority: jobs.Prod, Tasks: tasks,
		CPUs: 2, RAMGB: 1, Image: "web", ImageGB: 1, Spread: true,
	}
}

// gangJob returns a job whose tasks run together for so many seconds. Two tasks fit on a machine,
// so that tasks of one attempt share machines.
func gangJob(id string, tasks int, seconds float64) *jobs.Spec {
	return &jobs.Spec{
		ID: id, Class: "joint", Team: "blue", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: tasks,
		CPUs: 2, RAMGB: 1, Image: "joint", ImageGB: 1, OneZone: true, EstimatedRuntimeS: seconds, CheckpointIntervalS: 10, CheckpointSaveS: 2,
	}
}

// randomJob draws a job and names it by number: mostly a batch job, sometimes a service or a gang.
func randomJob(random *rand.Rand, number int) *jobs.Spec {
	id := fmt.Sprintf("j-%d", 10+number)
	switch random.IntN(8) {
	case 0:
		return serviceJob(id, 1+random.IntN(2))
	case 1:
		return gangJob(id, 2, float64(5+random.IntN(20)))
	}
	return batchJob(id, 1+random.IntN(4), float64(3+random.IntN(30)))
}

// wireSpec returns the fields of a spec as users send it, where a missing zone is null rather than
// "".
func wireSpec(spec *jobs.Spec) map[string]any {
	raw, _ := json.Marshal(spec)
	var fields map[string]any
	_ = json.Unmarshal(raw, &fields)
	if spec.Zone == "" {
		fields["eyrie"] = nil
	}
	return fields
}
