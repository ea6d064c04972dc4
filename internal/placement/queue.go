package placement

import (
	"cmp"

	"ospreyslip/internal/jobs"
)

// Special values of Job.DeadlineS. Jobs that can no longer meet any deadline come last within
// their rank: the capacity they take would make other jobs late, too.
const (
	NoDeadline     = 1e9 // the job has no deadline
	DeadlineMissed = 2e9 // the job has missed all its deadlines
)

// queueEntry is an entry of the queue. A starved job has two: one placed further ahead for its
// StarvedTasks, and a regular one for the rest.
type queueEntry struct {
	*Job
	starved bool
}

// compareEntries orders the queue: production first, then gangs for which tasks are being
// preempted, then starved tasks, then guaranteed jobs, then by rank. Among equals, the entry with
// the smallest product of time to the deadline and remaining work goes first: if jobs were ordered
// by the deadline alone, one large job would make many small ones late under overload.
func compareEntries(a, b queueEntry) int {
	return cmp.Or(
		trueFirst(a.Spec.Priority == jobs.Prod, b.Spec.Priority == jobs.Prod),
		trueFirst(a.Preempting, b.Preempting),
		trueFirst(a.starved, b.starved),
		trueFirst(a.Guaranteed, b.Guaranteed),
		cmp.Compare(b.Spec.Rank(), a.Spec.Rank()),
		trueFirst(a.ReserveRoom, b.ReserveRoom),
		cmp.Compare(deadlineStage(a.Job), deadlineStage(b.Job)),
		cmp.Compare(a.DeadlineS*a.RemainingCPUSeconds, b.DeadlineS*b.RemainingCPUSeconds),
		cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder),
	)
}

// trueFirst compares two booleans, sorting true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// deadlineStage returns a sort key that puts jobs with a deadline that can be met before those
// without one, and these before jobs that have missed all their deadlines.
func deadlineStage(job *Job) int {
	switch {
	case job.DeadlineS < NoDeadline:
		return 0
	case job.DeadlineS < DeadlineMissed:
		return 1
	}
	return 2
}

// maxInterchangeable bounds how many jobs share machines by image, and thereby how far a job may
// fall behind one with a later deadline.
const maxInterchangeable = 8

// countInterchangeable returns how many jobs at the head of the queue differ only in their
// deadline. When machines are scarce, each free machine goes to the one of these jobs whose image
// it has: all of them have to wait, so the only time that can be saved is that of fetches.
func countInterchangeable(queue []queueEntry) int {
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
