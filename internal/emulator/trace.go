package emulator

import (
	"fmt"
	"strings"
	"time"
)

// traceLog holds the trace, the violations, and the requests of users with their responses.
type traceLog struct {
	startedAt     time.Time
	lines         []string                // of the trace, in order
	violations    []string                // descriptions of violated rules, in order
	userHistories map[string]*userHistory // histories by job
}

// Violations returns descriptions of the rule violations so far, in order.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.traceLog.violations...)
}

// Tracef adds a formatted line to the trace.
func (w *World) Tracef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.traceLog.tracef(format, args...)
}

// tracef adds a formatted line to the trace, after the seconds since the start. The World's lock
// must be held.
func (t *traceLog) tracef(format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf("%8.3f ", time.Since(t.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// recordViolation records a rule violation, also in the trace. The World's lock must be held.
func (t *traceLog) recordViolation(format string, args ...any) {
	t.tracef(violationMark+" "+format, args...)
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// Trace returns the trace up to the first rule violation, or the whole trace if there is none. If
// the violation names a job, lines that name only other jobs are left out.
func (w *World) Trace() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := ""
	if len(w.traceLog.violations) > 0 {
		job = lastJobIn(w.traceLog.violations[0])
	}
	var text strings.Builder
	for _, line := range w.traceLog.lines {
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

// Text in lines of the trace: the prefix of job IDs, and the mark of a rule violation.
const (
	jobPrefix     = "j-"
	violationMark = "BROKEN"
)

// lastJobIn returns the last job ID in a line, or an empty string if there is none.
func lastJobIn(line string) (job string) {
	for _, field := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '/' }) {
		if strings.HasPrefix(field, jobPrefix) {
			job = field
		}
	}
	return job
}
