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
	w.tracef(format, args...)
}

// tracef adds a line to the trace. The lock is held.
func (w *World) tracef(format string, args ...any) {
	w.record.lines = append(w.record.lines, fmt.Sprintf("%8.3f ", time.Since(w.record.began).Seconds())+fmt.Sprintf(format, args...))
}

// violate records a broken rule. The lock is held.
func (w *World) violate(format string, args ...any) {
	w.tracef("BROKEN "+format, args...)
	w.record.violations = append(w.record.violations, fmt.Sprintf(format, args...))
}

// Trace returns what happened up to the first broken rule, or all if there is none:
// what is about the job named there, and all troubles.
func (w *World) Trace() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := ""
	if len(w.record.violations) > 0 {
		for _, field := range strings.FieldsFunc(w.record.violations[0], func(r rune) bool { return r == ' ' || r == '/' }) {
			if strings.HasPrefix(field, "j-") {
				job = field
			}
		}
	}
	var text strings.Builder
	for _, line := range w.record.lines {
		if isViolation := strings.Contains(line, "BROKEN"); isViolation || job == "" || !strings.Contains(line, "j-") || strings.Contains(line, job+"/") || strings.Contains(line, job+" ") {
			text.WriteString(line + "\n")
			if isViolation {
				break
			}
		}
	}
	return text.String()
}
