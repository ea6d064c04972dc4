package jobcache

import (
	"cmp"
	"slices"

	"ospreyslip/internal/jobs"
)

// cancellationLog keeps the most recent cancellations that this controller knows. The cache's
// mutex guards it.
type cancellationLog struct {
	minKept        int                 // minimum number of cancellations kept
	entries        []jobs.Cancellation // in the order in which they were added; at most twice minKept
	droppedThrough uint64              // cancellations up to this revision may have been dropped
}

func (l *cancellationLog) add(cancellation jobs.Cancellation) {
	l.entries = append(l.entries, cancellation)
	if len(l.entries) <= 2*l.minKept {
		return
	}
	slices.SortFunc(l.entries, func(a, b jobs.Cancellation) int { return cmp.Compare(a.Revision, b.Revision) })
	cut := len(l.entries) - l.minKept
	l.droppedThrough = max(l.droppedThrough, l.entries[cut-1].Revision)
	l.entries = append(l.entries[:0], l.entries[cut:]...)
}

// after returns the cancellations after a revision; complete is false if some of them may have
// been dropped.
func (l *cancellationLog) after(revision uint64) (later []jobs.Cancellation, complete bool) {
	for _, cancellation := range l.entries {
		if cancellation.Revision > revision {
			later = append(later, cancellation)
		}
	}
	return later, revision >= l.droppedThrough
}
