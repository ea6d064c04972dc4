package placement

import (
	"ospreyslip/internal/jobs"
)

// Resources is what a task takes and a machine has.
type Resources struct{ CPUs, GPUs, RAMGB float64 }

// TaskRequest returns what one task of a job takes.
func TaskRequest(spec *jobs.Spec) Resources { return Resources{spec.CPUs, spec.GPUs, spec.RAMGB} }

// AddTimes adds n times b.
func (a Resources) AddTimes(other Resources, factor float64) Resources {
	return Resources{a.CPUs + factor*other.CPUs, a.GPUs + factor*other.GPUs, a.RAMGB + factor*other.RAMGB}
}

// roundingTolerance absorbs what sums of decimal numbers are off by.
const roundingTolerance = 1e-6

// Fits tells whether b fits into a.
func (a Resources) Fits(request Resources) bool {
	return request.CPUs <= a.CPUs+roundingTolerance && request.GPUs <= a.GPUs+roundingTolerance && request.RAMGB <= a.RAMGB+roundingTolerance
}
