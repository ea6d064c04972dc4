package leader

import "ospreyslip/internal/workers"

// The token is raised within a term so that orders that are still on their way are
// refused from then on. A worker that sees a higher token reports once more for it: with
// thousands of workers that is a sixth of all reports. So a machine is told of it only if
// something there waits for it; the others go on with the one that they know, which is as
// good, as it is of this term.

// tokenFor is the token in answers and orders to a machine.
func (l *Leader) tokenFor(m *machine) uint64 {
	if m.wantsToken || !m.doubtSince.IsZero() {
		return l.token
	}
	return max(m.token, l.term.Token)
}

// mostHeldEnds is how many ended tasks may stay in a machine's reports for want of a
// higher token. Each makes every report a little longer; clearing them costs two reports.
const mostHeldEnds = 8

// heldEnds are the ended tasks of a machine that cannot be cleared yet: they were begun
// by orders that its worker would still accept a copy of.
type heldEnds struct {
	count  int
	urgent bool   // a task that may run again; its worker would refuse it until then
	newest uint64 // token of the newest such order
}

func (h *heldEnds) add(t *workers.TaskStatus, ordered uint64, mayRunAgain bool) {
	h.count++
	h.newest = max(h.newest, ordered)
	h.urgent = h.urgent || mayRunAgain && t.Cause != workers.CauseDone
}

// wantToken tells whether a machine is to see a higher token for its held ends.
func (h *heldEnds) wantToken() bool { return h.urgent || h.count >= mostHeldEnds }

// mayRunAgain tells whether an ended task's job is still to be worked on.
func (l *Leader) mayRunAgain(t *workers.TaskStatus) bool {
	id, _, ok := workers.SplitTask(t.Name)
	j := l.jobs[id]
	return ok && j != nil && !j.over()
}
