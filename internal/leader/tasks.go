package leader

import (
	"maps"
	"slices"
	"time"

	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// count makes an assignment weigh in room, quota and zones.
func (l *Leader) count(a *assignment) {
	need := placement.TaskRequest(a.job.spec)
	a.inRoom = true
	l.setRoom(a.m, a.m.room.AddTimes(need, 1))
	l.used[a.job.spec.Team] = l.used[a.job.spec.Team].AddTimes(need, 1)
	l.tasksByRank[a.job.spec.Rank()]++
	a.job.zones[a.m.zone]++
}

// setRoom notes what assignments take of a machine.
func (l *Leader) setRoom(m *machine, room placement.Resources) {
	m.room = room
	l.capacity.SetFree(m.offer, m.offer.Total.AddTimes(room, -1))
}

// updateCapacity offers a machine to placement while it takes work.
func (l *Leader) updateCapacity(m *machine, now time.Time) {
	if !l.usable(m, now) {
		l.capacity.Remove(m.offer)
		return
	}
	if o := m.offer; o.Total == (placement.Resources{}) || o.Type != m.typ || o.Zone != m.zone || o.Spot != m.spot {
		t := l.machineType(m.typ)
		if t == nil {
			return
		}
		l.capacity.Remove(o)
		o.Type, o.Zone, o.Spot = m.typ, m.zone, m.spot
		o.Total, o.FetchGBPS = placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}, t.FetchGBPS
		o.Free = o.Total.AddTimes(m.room, -1)
	}
	if l.capacity.Insert(m.offer) {
		l.replan = true
	}
}

// cacheGB is how much a machine keeps of images; 0 if that is not known.
func (l *Leader) cacheGB(m *machine) float64 {
	if t := l.machineType(m.typ); t != nil {
		return t.CacheGB
	}
	return 0
}

// conclude ends an assignment whose task is certainly off its machine. It is
// forgotten, and a task that is not done pending again, once that is durable:
// until then a new leader would still find it there.
func (l *Leader) conclude(a *assignment, o outcome) {
	if a.outcome != open {
		return
	}
	j, m, need := a.job, a.m, placement.TaskRequest(a.job.spec)
	l.see(a, "")
	a.outcome = o
	if a.inRoom {
		a.inRoom = false
		l.setRoom(m, m.room.AddTimes(need, -1))
		l.used[j.spec.Team] = l.used[j.spec.Team].AddTimes(need, -1)
		l.tasksByRank[j.spec.Rank()]--
		j.zones[m.zone]--
	}
	if o == success && !j.over() && j.setDone(a.n) {
		if j.isGang() {
			for n := range j.spec.Tasks { // if one is done, all are
				j.setDone(n)
			}
		}
		if j.doneCount == j.spec.Tasks {
			l.finish(j)
		} else {
			l.chunkDirty(j, a.n/l.Derived.ChunkTasks)
		}
	}
	if !m.offer.Images[j.spec.Image] && !slices.ContainsFunc(slices.Collect(maps.Values(m.assigned)), func(b *assignment) bool {
		return b.outcome == open && b.job.spec.Image == j.spec.Image
	}) {
		delete(m.offer.Fetching, j.spec.Image) // nobody waits for it any more
	}
	l.log.end(a)
	l.show(j)
	l.replan = true
	if j.isGang() {
		l.parted(j)
	}
}

// see notes the state in which a task was seen.
func (l *Leader) see(a *assignment, state string) {
	if a.seen == workers.Running {
		a.job.running--
	}
	if state == workers.Running {
		a.job.running++
	}
	a.seen = state
}

// finish lets the job's record be written as done.
func (l *Leader) finish(j *job) {
	j.final = true
	l.vary(j)
	l.finished = append(l.finished, j)
}

func (l *Leader) chunkDirty(j *job, c int) {
	ch := j.chunks[c]
	if ch == nil {
		ch = &chunk{}
		j.chunks[c] = ch
	}
	ch.saved = false
	if !ch.dirty {
		ch.dirty = true
		l.log.chunks = append(l.log.chunks, chunkRef{j, c})
	}
}

// forget drops an assignment whose end is durable.
func (l *Leader) forget(a *assignment) {
	j, m := a.job, a.m
	delete(m.assigned, a.attempt)
	if len(m.assigned) == 0 {
		m.idleSince = time.Now()
	}
	if j.forgotten(a) {
		if len(j.tasks) == 0 {
			j.gang, j.whole = gangAttempt{}, time.Now()
		}
		if a.outcome == retry && !j.over() {
			j.giveBack(a.n)
			l.queue(j)
		}
	}
	l.replan = true
	l.settled(j)
}

// dropUnsent ends an assignment that no worker can have heard of.
func (l *Leader) dropUnsent(a *assignment) {
	if a.seen == "" && !a.sent && !a.ordered && a.doubt == 0 {
		l.conclude(a, retry)
		return
	}
	l.notify(a.m)
}

func (l *Leader) stop(a *assignment, grace float64) {
	a.stop, a.grace = true, grace
	l.dropUnsent(a)
}
