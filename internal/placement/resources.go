package placement

import (
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Resources is an amount of resources: a task's request, or what a machine has.
type Resources struct {
	CPUs, GPUs, RAMGB float64
	// HeartbeatBytes is the room in the heartbeats of the machine's worker, which list all its tasks. Without a
	// limit, many small tasks on one machine make its heartbeats larger than the protocol allows.
	HeartbeatBytes float64
}

// TaskRequest returns the resources that one task of a job requests.
func TaskRequest(spec *jobs.Spec) Resources {
	return Resources{
		CPUs: spec.CPUs, GPUs: spec.GPUs, RAMGB: spec.RAMGB,
		HeartbeatBytes: float64(workers.ListedTaskBytes(spec.ID, spec.Tasks)),
	}
}

// MachineTotal returns the resources of an empty machine of a type.
func MachineTotal(machineType *jobs.MachineType) Resources {
	return Resources{
		CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAMGB: machineType.RAMGB,
		HeartbeatBytes: workers.MaxListedTasksBytes,
	}
}

// AddTimes returns a + factor·other; a factor of -1 subtracts.
func (a Resources) AddTimes(other Resources, factor float64) Resources {
	return Resources{
		CPUs: a.CPUs + factor*other.CPUs, GPUs: a.GPUs + factor*other.GPUs, RAMGB: a.RAMGB + factor*other.RAMGB,
		HeartbeatBytes: a.HeartbeatBytes + factor*other.HeartbeatBytes,
	}
}

// roundingTolerance absorbs the rounding errors of sums of decimal fractions.
const roundingTolerance = 1e-6

// Fits reports whether a request fits into a.
func (a Resources) Fits(request Resources) bool {
	return request.CPUs <= a.CPUs+roundingTolerance &&
		request.GPUs <= a.GPUs+roundingTolerance &&
		request.RAMGB <= a.RAMGB+roundingTolerance &&
		request.HeartbeatBytes <= a.HeartbeatBytes+roundingTolerance
}
