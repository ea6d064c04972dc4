package leader

import (
	"maps"
	"slices"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// updateCapacity offers a machine to placement while it takes work.
func (l *Leader) updateCapacity(m *cluster.Machine, now time.Time) {
	if !l.usable(m, now) {
		l.planner.Capacity.Withdraw(m)
		return
	}
	if l.planner.Capacity.Offer(m) {
		l.planner.Requested = true
	}
}

// cacheGB is how much a machine keeps of images; 0 if that is not known.
func (l *Leader) cacheGB(m *cluster.Machine) float64 {
	if t := l.catalog.Type(m.Type); t != nil {
		return t.CacheGB
	}
	return 0
}

// endAssignment ends an assignment whose task is certainly off its machine. It is
// forgotten, and a task that is not done pending again, once that is durable:
// until then a new leader would still find it there.
func (l *Leader) endAssignment(a *cluster.Assignment, o cluster.Outcome) {
	if a.Outcome != cluster.Open {
		return
	}
	j, m := a.Job, a.Machine
	l.setObservedState(a, "")
	a.Outcome = o
	l.planner.Capacity.Release(a)
	if o == cluster.Success && !j.IsOver() && j.MarkTaskDone(a.Index) {
		if j.IsGang() {
			for n := range j.Spec.Tasks { // if one is done, all are
				j.MarkTaskDone(n)
			}
		}
		if j.Completions.Count == j.Spec.Tasks {
			l.completeJob(j)
		} else {
			l.log.QueueCompletion(j, a.Index)
		}
	}
	if !m.Offer.Images[j.Spec.Image] && !slices.ContainsFunc(slices.Collect(maps.Values(m.Assignments)), func(b *cluster.Assignment) bool {
		return b.Outcome == cluster.Open && b.Job.Spec.Image == j.Spec.Image
	}) {
		delete(m.Offer.Fetching, j.Spec.Image) // nobody waits for it any more
	}
	l.log.QueueEnd(a)
	l.publishCounts(j)
	l.planner.Requested = true
	if j.IsGang() {
		l.leaveGang(j)
	}
}

// setObservedState notes the state in which a task was seen.
func (l *Leader) setObservedState(a *cluster.Assignment, state string) {
	if a.ObservedState == workers.StateRunning {
		a.Job.Running--
	}
	if state == workers.StateRunning {
		a.Job.Running++
	}
	a.ObservedState = state
}

// completeJob lets the job's record be written as done.
func (l *Leader) completeJob(j *cluster.Job) {
	j.End.Complete = true
	l.runTimes.JobCompleted(j)
	l.writer.completedJobs = append(l.writer.completedJobs, j)
}

// removeAssignment drops an assignment whose end is durable.
func (l *Leader) removeAssignment(a *cluster.Assignment) {
	j, m := a.Job, a.Machine
	delete(m.Assignments, a.Attempt)
	if len(m.Assignments) == 0 {
		m.Rental.IdleSince = time.Now()
	}
	if j.RemoveAssignment(a) {
		if len(j.Assignments) == 0 {
			j.Gang, j.Scheduling.GangPendingSince = cluster.GangAttempt{}, time.Now()
		}
		if a.Outcome == cluster.Retry && !j.IsOver() {
			j.RequeueTask(a.Index)
			l.planner.Enqueue(j)
		}
	}
	l.planner.Requested = true
	l.removeIfSettled(j)
}

// dropUnsent ends an assignment that no worker can have heard of.
func (l *Leader) dropUnsent(a *cluster.Assignment) {
	if a.ObservedState == "" && !a.Start.Sent && !a.Start.OrderInFlight && a.Start.InDoubtToken == 0 {
		l.endAssignment(a, cluster.Retry)
		return
	}
	l.notify(a.Machine)
}

func (l *Leader) requestStop(a *cluster.Assignment, grace float64) {
	a.Stop.Requested, a.Stop.GraceS = true, grace
	l.dropUnsent(a)
}
