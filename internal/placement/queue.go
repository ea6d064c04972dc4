package placement

import (
	"cmp"

	"ospreyslip/internal/jobs"
)

// Jobs without a deadline sort behind those with one, and jobs that have none
// left to meet behind all: what they take would make others late, too.
const (
	NoDeadline     = 1e9
	DeadlineMissed = 2e9
)

// compareEntries orders the queue: production first, then what has got nothing for too
// long, then what a guarantee covers, then by priority. Among equals it weighs
// what is due soon against what takes little: by deadline alone, one large job
// in an overload makes many small ones late.
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

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// queueEntry is a job's place in the queue. One that is overdue has two: one ahead for
// a few of its tasks, and its own for the rest.
type queueEntry struct {
	*Job
	starved bool
}

// deadlineStage tells jobs with a deadline to meet from those without, and from those
// that can meet none.
func deadlineStage(job *Job) int {
	switch {
	case job.DeadlineS < NoDeadline:
		return 0
	case job.DeadlineS < DeadlineMissed:
		return 1
	}
	return 2
}

// maxInterchangeable is how many jobs next to each other in the queue share machines by
// the images that these have.
const maxInterchangeable = 8

// interchangeable is how many jobs at the head of the queue differ only in how soon they
// are due. Where machines are scarce, each that falls free goes to the one of them
// whose image it has: among jobs that all wait, fetches are what can be saved.
func interchangeable(queue []queueEntry) int {
	head, count := queue[0], 1
	if head.Spec.Shape != jobs.Batch {
		return count
	}
	for count < min(len(queue), maxInterchangeable) {
		next := queue[count]
		if next.Spec.Shape != head.Spec.Shape || next.Spec.Rank() != head.Spec.Rank() || next.starved != head.starved || next.Guaranteed != head.Guaranteed || deadlineStage(next.Job) != deadlineStage(head.Job) {
			break
		}
		count++
	}
	return count
}
