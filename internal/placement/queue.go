package placement

import (
	"cmp"

	"ospreyslip/internal/jobs"
)

// Values of Job.DeadlineS for a job without a deadline to meet. Jobs that can meet none any
// more come last of their rank: what they take would make others late, too.
const (
	NoDeadline     = 1e9 // the job has none
	DeadlineMissed = 2e9 // all of its deadlines are missed
)

// queueEntry is a job's place in the queue. A starved job has two entries: one ahead of others
// for StarvedTasks of its tasks, and its own for the rest.
type queueEntry struct {
	*Job
	starved bool
}

// compareEntries orders the queue: production first, then gangs for which others are being
// stopped, then starved tasks, then what a guarantee covers, then by priority. Among equals
// the smallest product of the time to the deadline and the remaining work goes first: by
// deadline alone, one large job in an overload makes many small ones late.
func compareEntries(a, b queueEntry) int {
	return cmp.Or(
		trueFirst(a.Spec.Priority == jobs.Prod, b.Spec.Priority == jobs.Prod),
		trueFirst(a.Preempting, b.Preempting),
		trueFirst(a.starved, b.starved),
		trueFirst(a.Guaranteed, b.Guaranteed),
		cmp.Compare(b.Spec.Rank(), a.Spec.Rank()),
		trueFirst(a.ReserveRoom, b.ReserveRoom),
		cmp.Compare(deadlineStage(a.Job), deadlineStage(b.Job)),
		cmp.Compare(a.DeadlineS*a.RemainingCPUS, b.DeadlineS*b.RemainingCPUS),
		cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder),
	)
}

// trueFirst is a comparison that sorts true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// deadlineStage sorts jobs with a deadline to meet before those without, and these before
// those that can meet none.
func deadlineStage(job *Job) int {
	switch {
	case job.DeadlineS < NoDeadline:
		return 0
	case job.DeadlineS < DeadlineMissed:
		return 1
	}
	return 2
}

// maxInterchangeable bounds how many jobs share machines by images, and with it how far a job
// may fall behind one that is due later.
const maxInterchangeable = 8

// interchangeable returns how many jobs at the head of the queue differ only in how soon they
// are due. Where machines are scarce, each that comes free goes to the one of them whose image
// it has: as all of them wait, fetches are what can be saved.
func interchangeable(queue []queueEntry) int {
	head, count := queue[0], 1
	if head.Spec.Shape != jobs.Batch {
		return count
	}
	for count < min(len(queue), maxInterchangeable) && differOnlyInDeadline(head, queue[count]) {
		count++
	}
	return count
}

func differOnlyInDeadline(a, b queueEntry) bool {
	return a.Spec.Shape == b.Spec.Shape &&
		a.Spec.Rank() == b.Spec.Rank() &&
		a.starved == b.starved &&
		a.Guaranteed == b.Guaranteed &&
		deadlineStage(a.Job) == deadlineStage(b.Job)
}
