package placement

import (
	"ospreyslip/internal/jobs"
)

// Resources is an amount of resources: a task's request, or what a machine has.
type Resources struct{ CPUs, GPUs, RAMGB float64 }

// TaskRequest returns the resources that one task of a job requests.
func TaskRequest(spec *jobs.Spec) Resources { return Resources{spec.CPUs, spec.GPUs, spec.RAMGB} }

// MachineTotal returns the resources of an empty machine of a type.
func MachineTotal(machineType *jobs.MachineType) Resources {
	return Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAMGB: machineType.RAMGB}
}

// AddTimes returns a + factor·other; a factor of -1 subtracts.
func (a Resources) AddTimes(other Resources, factor float64) Resources {
	return Resources{a.CPUs + factor*other.CPUs, a.GPUs + factor*other.GPUs, a.RAMGB + factor*other.RAMGB}
}

// roundingTolerance absorbs the rounding errors of sums of decimal fractions.
const roundingTolerance = 1e-6

// Fits reports whether a request fits into a.
func (a Resources) Fits(request Resources) bool {
	return request.CPUs <= a.CPUs+roundingTolerance &&
		request.GPUs <= a.GPUs+roundingTolerance &&
		request.RAMGB <= a.RAMGB+roundingTolerance
}
