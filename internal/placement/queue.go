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

// before orders the queue: production first, then what has got nothing for too
// long, then what a guarantee covers, then by priority. Among equals it weighs
// what is due soon against what takes little: by deadline alone, one large job
// in an overload makes many small ones late.
func before(a, b queueEntry) int {
	return cmp.Or(
		first(a.Spec.Priority == jobs.Prod, b.Spec.Priority == jobs.Prod),
		first(a.Preempting, b.Preempting),
		first(a.overdue, b.overdue),
		first(a.Guaranteed, b.Guaranteed),
		cmp.Compare(b.Spec.Rank(), a.Spec.Rank()),
		first(a.ReserveRoom, b.ReserveRoom),
		cmp.Compare(stage(a.Job), stage(b.Job)),
		cmp.Compare(a.DeadlineS*a.RemainingCPUS, b.DeadlineS*b.RemainingCPUS),
		cmp.Compare(a.AcceptanceOrder, b.AcceptanceOrder),
	)
}

func first(a, b bool) int {
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
	overdue bool
}

// stage tells jobs with a deadline to meet from those without, and from those
// that can meet none.
func stage(j *Job) int {
	switch {
	case j.DeadlineS < NoDeadline:
		return 0
	case j.DeadlineS < DeadlineMissed:
		return 1
	}
	return 2
}

// mostNeighbours is how many jobs next to each other in the queue share machines by
// the images that these have.
const mostNeighbours = 8

// neighbours is how many jobs at the head of the queue differ only in how soon they
// are due. Where machines are scarce, each that falls free goes to the one of them
// whose image it has: among jobs that all wait, fetches are what can be saved.
func neighbours(queue []queueEntry) int {
	a, n := queue[0], 1
	if a.Spec.Shape != jobs.Batch {
		return n
	}
	for n < min(len(queue), mostNeighbours) {
		b := queue[n]
		if b.Spec.Shape != a.Spec.Shape || b.Spec.Rank() != a.Spec.Rank() || b.overdue != a.overdue || b.Guaranteed != a.Guaranteed || stage(b.Job) != stage(a.Job) {
			break
		}
		n++
	}
	return n
}
