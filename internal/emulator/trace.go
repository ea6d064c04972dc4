package emulator

import (
	"fmt"
	"strings"
	"time"
)

// record is what happened, and what users asked for and were told.
type record struct {
	began      time.Time
	lines      []string                // in order
	violations []string                // of rules
	asked      map[string]*userHistory // by job
}

// Violations returns the rules that were broken, and how.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.record.violations...)
}

// Tracef adds a line to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.tracef(format, args...)
}

// tracef adds a line to the trace. The lock is held.
func (r *record) tracef(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// violate records a broken rule. The lock is held.
func (r *record) violate(format string, args ...any) {
	r.tracef(violationMark+" "+format, args...)
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Trace returns what happened up to the first broken rule, or all if there is none:
// what is about the job named there, and all troubles.
func (w *World) Trace() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := ""
	if len(w.record.violations) > 0 {
		job = jobIn(w.record.violations[0])
	}
	var text strings.Builder
	for _, line := range w.record.lines {
		isViolation := strings.Contains(line, violationMark)
		isOfOther := job != "" && strings.Contains(line, jobPrefix) && !strings.Contains(line, job+"/") && !strings.Contains(line, job+" ")
		if isOfOther && !isViolation {
			continue
		}
		text.WriteString(line + "\n")
		if isViolation {
			break
		}
	}
	return text.String()
}

// Of lines of the trace: what a job's id begins with, and what marks a broken rule.
const (
	jobPrefix     = "j-"
	violationMark = "BROKEN"
)

// jobIn returns the last job that a line names, or nothing.
func jobIn(line string) (job string) {
	for _, field := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '/' }) {
		if strings.HasPrefix(field, jobPrefix) {
			job = field
		}
	}
	return job
}
