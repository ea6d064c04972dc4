package placement

import (
	"ospreyslip/internal/jobs"
)

// Resources is what a task takes and a machine has.
type Resources struct{ CPUs, GPUs, RAMGB float64 }

// TaskRequest returns what one task of a job takes.
func TaskRequest(s *jobs.Spec) Resources { return Resources{s.CPUs, s.GPUs, s.RAMGB} }

// AddTimes adds n times b.
func (a Resources) AddTimes(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.RAMGB + n*b.RAMGB}
}

// slack absorbs what sums of decimal numbers are off by.
const slack = 1e-6

// Fits tells whether b fits into a.
func (a Resources) Fits(b Resources) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.RAMGB <= a.RAMGB+slack
}
