package placement

import (
	"ospreyslip/internal/jobs"
)

// Amount is what a task takes and a machine has.
type Amount struct{ CPUs, GPUs, RAMGB float64 }

// Of returns what one task of a job takes.
func Of(s *jobs.Spec) Amount { return Amount{s.CPUs, s.GPUs, s.RAMGB} }

// Plus adds n times b.
func (a Amount) Plus(b Amount, n float64) Amount {
	return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.RAMGB + n*b.RAMGB}
}

// slack absorbs what sums of decimal numbers are off by.
const slack = 1e-6

// Fits tells whether b fits into a.
func (a Amount) Fits(b Amount) bool {
	return b.CPUs <= a.CPUs+slack && b.GPUs <= a.GPUs+slack && b.RAMGB <= a.RAMGB+slack
}
