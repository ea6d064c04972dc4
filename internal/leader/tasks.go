package leader

import (
	"maps"
	"slices"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// count makes an assignment weigh in room, quota and zones.
func (l *Leader) count(a *cluster.Assignment) {
	need := placement.Of(a.Job.Spec)
	a.CountsAsUsed = true
	l.setRoom(a.Machine, a.Machine.Used.Plus(need, 1))
	l.used[a.Job.Spec.Team] = l.used[a.Job.Spec.Team].Plus(need, 1)
	l.tasksByRank[a.Job.Spec.Rank()]++
	a.Job.Zones[a.Machine.Zone]++
}

// setRoom notes what assignments take of a machine.
func (l *Leader) setRoom(m *cluster.Machine, room placement.Amount) {
	m.Used = room
	l.capacity.Set(m.Offer, m.Offer.Total.Plus(room, -1))
}

// updateCapacity offers a machine to placement while it takes work.
func (l *Leader) updateCapacity(m *cluster.Machine, now time.Time) {
	if !l.usable(m, now) {
		l.capacity.Remove(m.Offer)
		return
	}
	if o := m.Offer; o.Total == (placement.Amount{}) || o.Type != m.Type || o.Zone != m.Zone || o.Spot != m.Spot {
		t := l.catalog.Type(m.Type)
		if t == nil {
			return
		}
		l.capacity.Remove(o)
		o.Type, o.Zone, o.Spot = m.Type, m.Zone, m.Spot
		o.Total, o.FetchGBPS = placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}, t.FetchGBPS
		o.Free = o.Total.Plus(m.Used, -1)
	}
	if l.capacity.Put(m.Offer) {
		l.replan = true
	}
}

// cacheGB is how much a machine keeps of images; 0 if that is not known.
func (l *Leader) cacheGB(m *cluster.Machine) float64 {
	if t := l.catalog.Type(m.Type); t != nil {
		return t.CacheGB
	}
	return 0
}

// conclude ends an assignment whose task is certainly off its machine. It is
// forgotten, and a task that is not done pending again, once that is durable:
// until then a new leader would still find it there.
func (l *Leader) conclude(a *cluster.Assignment, o cluster.Outcome) {
	if a.Outcome != cluster.Open {
		return
	}
	j, m, need := a.Job, a.Machine, placement.Of(a.Job.Spec)
	l.see(a, "")
	a.Outcome = o
	if a.CountsAsUsed {
		a.CountsAsUsed = false
		l.setRoom(m, m.Used.Plus(need, -1))
		l.used[j.Spec.Team] = l.used[j.Spec.Team].Plus(need, -1)
		l.tasksByRank[j.Spec.Rank()]--
		j.Zones[m.Zone]--
	}
	if o == cluster.Success && !j.IsOver() && j.MarkTaskDone(a.Index) {
		if j.IsGang() {
			for n := range j.Spec.Tasks { // if one is done, all are
				j.MarkTaskDone(n)
			}
		}
		if j.Completions.Count == j.Spec.Tasks {
			l.finish(j)
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
	l.show(j)
	l.replan = true
	if j.IsGang() {
		l.parted(j)
	}
}

// see notes the state in which a task was seen.
func (l *Leader) see(a *cluster.Assignment, state string) {
	if a.ObservedState == workers.Running {
		a.Job.Running--
	}
	if state == workers.Running {
		a.Job.Running++
	}
	a.ObservedState = state
}

// finish lets the job's record be written as done.
func (l *Leader) finish(j *cluster.Job) {
	j.End.Complete = true
	l.vary(j)
	l.finished = append(l.finished, j)
}

// forget drops an assignment whose end is durable.
func (l *Leader) forget(a *cluster.Assignment) {
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
			l.queue(j)
		}
	}
	l.replan = true
	l.settled(j)
}

// dropUnsent ends an assignment that no worker can have heard of.
func (l *Leader) dropUnsent(a *cluster.Assignment) {
	if a.ObservedState == "" && !a.Start.Sent && !a.Start.OrderInFlight && a.Start.InDoubtToken == 0 {
		l.conclude(a, cluster.Retry)
		return
	}
	l.notify(a.Machine)
}

func (l *Leader) stop(a *cluster.Assignment, grace float64) {
	a.Stop.Requested, a.Stop.GraceS = true, grace
	l.dropUnsent(a)
}
