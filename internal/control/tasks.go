package control

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"ospreyslip/internal/gang"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// count makes an assignment weigh in room, quota and zones.
func (l *Leader) count(a *assignment) {
	need := placement.Of(a.job.spec)
	a.inRoom = true
	l.setRoom(a.m, a.m.room.Plus(need, 1))
	l.used[a.job.spec.Team] = l.used[a.job.spec.Team].Plus(need, 1)
	l.ranks[a.job.spec.Rank()]++
	a.job.zones[a.m.zone]++
}

// setRoom notes what assignments take of a machine.
func (l *Leader) setRoom(m *machine, room placement.Amount) {
	m.room = room
	l.capacity.Set(m.offer, m.offer.Total.Plus(room, -1))
}

// updateCapacity offers a machine to placement while it takes work.
func (l *Leader) updateCapacity(m *machine, now time.Time) {
	if !l.usable(m, now) {
		l.capacity.Remove(m.offer)
		return
	}
	if o := m.offer; o.Total == (placement.Amount{}) || o.Type != m.typ || o.Zone != m.zone || o.Spot != m.spot {
		t := l.machineType(m.typ)
		if t == nil {
			return
		}
		l.capacity.Remove(o)
		o.Type, o.Zone, o.Spot = m.typ, m.zone, m.spot
		o.Total, o.FetchGBPS = placement.Amount{CPUs: t.CPUs, GPUs: t.GPUs, RAMGB: t.RAMGB}, t.FetchGBPS
		o.Free = o.Total.Plus(m.room, -1)
	}
	if l.capacity.Put(m.offer) {
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

// over ends an assignment whose task is certainly off its machine. It is
// forgotten, and a task that is not done pending again, once that is durable:
// until then a new leader would still find it there.
func (l *Leader) over(a *assignment, o outcome) {
	if a.outcome != open {
		return
	}
	j, m, need := a.job, a.m, placement.Of(a.job.spec)
	l.see(a, "")
	a.outcome = o
	if a.inRoom {
		a.inRoom = false
		l.setRoom(m, m.room.Plus(need, -1))
		l.used[j.spec.Team] = l.used[j.spec.Team].Plus(need, -1)
		l.ranks[j.spec.Rank()]--
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
	l.finals = append(l.finals, j)
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
	if j.tasks[a.n] == a {
		delete(j.tasks, a.n)
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
		l.over(a, retry)
		return
	}
	l.notify(a.m)
}

// observe takes a worker's own picture of its machine. It returns false for an
// old copy, which must not turn the picture back.
func (l *Leader) observe(m *machine, r *workers.Report, now time.Time) bool {
	if r.Session < m.session || r.Session == m.session && m.seq != 0 && r.Seq <= m.seq {
		return false
	}
	if r.Session > m.session {
		// The lease ran out in between: the worker killed all tasks it had.
		for _, a := range m.assigned {
			if a.session < r.Session {
				l.over(a, retry)
			}
		}
		// The answer to an order or a call may tell of the new session before the end
		// of the old one is over by our clock, which counts from when a report arrived.
		// What begins in the new one may run for a whole lease from now.
		m.leaseUntil = now.Add(l.Derived.LeaseOver)
		m.doubtSince = time.Time{}
		l.replan = true
	}
	m.session, m.seq, m.token, m.reportedTasks = r.Session, r.Seq, r.Token, r.Tasks
	m.addr, m.typ, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	if r.NoticeS != nil {
		l.notice(m, *r.NoticeS, now)
	}
	for begun, token := range m.ordered {
		if token < m.token && taskIn(r, begun) == nil {
			delete(m.ordered, begun)
		}
	}
	for _, a := range m.assigned {
		if a.outcome != open || a.session != r.Session {
			continue
		}
		t := taskIn(r, a.ref())
		if t == nil {
			l.absent(a, r.Token)
			continue
		}
		// One run is sent in one order only, so that one seen is one used up.
		a.doubt, a.sent = 0, true
		if a.seen != t.State {
			slog.Debug("task seen", "task", t.Task, "machine", m.id, "term", l.token, "state", t.State)
			switch t.State {
			case workers.Running:
				if a.seen == workers.Fetching || a.seen == workers.Gathering || !a.restored {
					a.since = now
				}
				m.used(a.job.spec, l.cacheGB(m))
			case workers.Gathering:
				m.used(a.job.spec, l.cacheGB(m))
			}
			l.see(a, t.State)
			l.show(a.job)
		}
		if t.State == workers.Ended {
			l.ended(a, t, now)
		}
	}
	return true
}

func taskIn(r *workers.Report, of ref) *workers.Task {
	for i := range r.Tasks {
		if refOf(&r.Tasks[i]) == of {
			return &r.Tasks[i]
		}
	}
	return nil
}

// absent judges an assignment that the newest picture does not show.
func (l *Leader) absent(a *assignment, token uint64) {
	if !a.durable || a.ordered || a.doubt != 0 && token <= a.doubt {
		return // it may be on its way
	}
	a.doubt, a.sent = 0, false
	l.see(a, "")
	if a.job.over() || a.stop {
		l.over(a, retry)
	}
}

func (l *Leader) ended(a *assignment, t *workers.Task, now time.Time) {
	j, m := a.job, a.m
	switch {
	case t.Cause == workers.CauseDone && j.spec.Ends():
		j.errors, j.served = 0, now
		clear(m.failures)
		l.ran(a, now)
		l.over(a, success)
		return
	case t.Cause == workers.CauseStopped, t.Cause == workers.CauseMatesGone, t.Cause == workers.CauseIncomplete:
	case t.Cause == workers.CauseError:
		// Mostly the machine's fault. A job that fails on several machines in
		// a row is its user's mistake: it goes on being tried, ever more rarely.
		j.errors++
		m.failures[j.id] = true
		m.avoidFor(j.id, now.Add(l.Derived.Lease))
		if j.errors > 2 {
			j.notBefore = now.Add(min(l.Derived.Report<<min(j.errors-2, 6), l.Derived.Cancel))
		}
		if len(m.failures) > 1 && !m.draining {
			slog.Info("machine suspected", "machine", m.id, "term", l.token, "reason", "several jobs failed on it")
			m.draining = true
			l.capacity.Remove(m.offer)
		}
	default: // no_room, busy, unknown: refused, and worth another try soon
		m.avoidFor(j.id, now.Add(l.Derived.Report))
		if t.Cause == workers.CauseUnknown {
			j.notBefore = now.Add(l.Derived.Report)
		}
	}
	slog.Debug("task ended", "task", a.name(), "machine", m.id, "term", l.token, "reason", t.Cause)
	l.over(a, retry)
}

// avoidFor keeps a job off a machine for a while.
func (m *machine) avoidFor(job string, until time.Time) {
	m.avoid[job], m.offer.Avoid[job] = until, true
}

// endAvoidance ends what is over by now.
func (m *machine) endAvoidance(now time.Time) (ended bool) {
	for job, until := range m.avoid {
		if now.After(until) {
			delete(m.avoid, job)
			delete(m.offer.Avoid, job)
			ended = true
		}
	}
	return ended
}

// notice prepares for the loss of a machine: what can save does so, what may still
// complete goes on, and the rest begins anew elsewhere at once.
func (l *Leader) notice(m *machine, inS float64, now time.Time) {
	if m.noticeUntil.IsZero() {
		slog.Info("machine will be taken", "machine", m.id, "term", l.token, "inS", inS)
	}
	m.draining = true
	l.capacity.Remove(m.offer)
	m.noticeUntil = now.Add(time.Duration(inS * float64(time.Second)))
	for _, a := range m.assigned {
		if a.outcome != open || a.stop {
			continue
		}
		switch s := a.job.spec; {
		case a.job.isGang() && gang.Saves(s.CheckpntS, s.SaveS, l.Derived.GangPeer.Seconds(), inS),
			!a.job.isGang() && s.CheckpntS > 0 && s.SaveS < inS:
			l.stopWithGang(a, s.SaveS)
		case l.hopeless(a, inS, now):
			l.stopWithGang(a, 0)
		}
	}
	l.replan = true
}

// hopeless tells whether a task on a machine that will be taken should begin anew
// elsewhere: if it stays, it most likely loses the time until then as well.
func (l *Leader) hopeless(a *assignment, inS float64, now time.Time) bool {
	if !a.job.spec.Ends() {
		return len(l.unmet) == 0 // it never completes; while others wait it would, too
	}
	ran := 0.0
	if a.seen == workers.Running {
		ran = now.Sub(a.since).Seconds()
	}
	runS := l.runS(a.job.spec)
	if usual, known := a.job.usual(); known {
		runS = math.Exp(usual)
	}
	p := l.runsOf(a.job.spec.Class).endsWithin(ran, inS, runS)
	return p*runS < (1-p)*inS
}

func (l *Leader) stop(a *assignment, grace float64) {
	a.stop, a.grace = true, grace
	l.dropUnsent(a)
}

// report answers a worker, or returns nil if this node has no right to.
func (l *Leader) report(r *workers.Report, now time.Time) *workers.Answer {
	if !l.Valid() || l.viewAge(now) > l.Derived.WatchStale || r.Token > l.token {
		return nil
	}
	m := l.machines.byID[r.Machine]
	if _, gone := l.gone[r.Machine]; m == nil && gone {
		return nil
	}
	c := counter(r)
	if m != nil {
		if m.phase == returning {
			// Its release may take as long as an outage of the cloud. Unanswered,
			// its tasks end with its lease; answered, they would run on, those of
			// jobs cancelled meanwhile as well.
			return nil
		}
		if l.mayStartCancelled(m, now) {
			return nil
		}
		if r.Session < m.session || c == m.lastReport || c.Before(m.lastReport) {
			return nil // from before a lease that has run out, or a late copy
		}
		// Whoever gets an answer has its lease renewed by it.
		m.leaseUntil, m.lastReport = now.Add(l.Derived.LeaseOver), c
	}
	if r.Token < l.term.Token {
		// Sent before the worker heard of this term, or a copy of such a report
		// that was under way for any length of time. It proves nothing; the
		// answer brings the token, and with it a report that does.
		return &workers.Answer{Token: l.term.Token, Calls: []workers.Call{}}
	}
	if m == nil {
		m = newMachine(r.Machine, now)
		m.typ, m.zone, m.spot, m.addr = r.Type, r.Zone, r.Spot, r.Addr
		m.leaseUntil = now.Add(l.Derived.LeaseOver)
		m.lastReport = c
		l.machines.add(m)
	}
	if m.phase == booting {
		l.booted(m, now)
	}
	l.checkDelivery(m, r, now)
	l.watch.Heard(m.id, r.Zone, c, now)
	if m.dead && !l.watch.Judged(m.id) {
		m.dead = false
		slog.Info("machine reports again", "machine", m.id, "term", l.token)
	}
	l.observe(m, r, now)
	m.reported, m.orderFails = now, 0
	l.updateCapacity(m, now)
	calls := l.calls(m, true)
	m.lastCalls = calls
	return &workers.Answer{Token: l.tokenFor(m), Calls: calls}
}

// mayStartCancelled tells whether an order on its way may still begin a task whose job
// is cancelled. A higher token ends that, but in an outage of the state service there
// is none to be had. Then the worker's lease has to end in time, and with it the
// session that the order is for.
func (l *Leader) mayStartCancelled(m *machine, now time.Time) bool {
	if m.doubtSince.IsZero() {
		return false
	}
	for _, a := range m.assigned {
		if a.outcome == open && a.doubt != 0 && a.job.cancelled && now.Sub(a.job.heard) > l.Derived.WatchStale/2 {
			return true
		}
	}
	return false
}

// mostUndelivered is how many answers in a row may go undelivered.
const mostUndelivered = 2

// checkDelivery finds machines whose reports arrive while our answers do not: what an
// answer asked for has not happened by the next report. Such a machine would
// look healthy for ever, and task after task would be given to it in vain.
func (l *Leader) checkDelivery(m *machine, r *workers.Report, now time.Time) {
	heard := len(m.lastCalls) == 0
	for _, c := range m.lastCalls {
		t := taskIn(r, ref{c.Task, c.Attempt})
		a := m.find(ref{c.Task, c.Attempt})
		switch {
		case c.Op == workers.OpRun:
			heard = heard || t != nil
		case c.Op == workers.OpClear:
			heard = heard || t == nil
		case a != nil && a.job.isGang() && t != nil && t.State == workers.Running:
			heard = true // it runs on, in its report, until all have saved
		default:
			heard = heard || t == nil || t.State != workers.Running && t.State != workers.Fetching && t.State != workers.Gathering
		}
	}
	switch {
	case r.Session > m.session || len(m.lastCalls) == 0: // nothing to be learnt
	case heard:
		m.undelivered = 0
		l.watch.Reachable(m.id)
	default:
		m.undelivered++
		if m.undelivered == mostUndelivered {
			slog.Info("machine does not hear", "machine", m.id, "term", l.token)
			l.watch.Unreachable(m.id)
			l.replan = true
		}
	}
}

// calls returns what the worker should do, from the difference between its
// picture and ours. A clear goes out in answers only: there is one report in
// flight, so that no run in an earlier answer can follow it. An attempt that was
// begun by an order is cleared when the worker has seen a higher token: it then
// refuses a late copy of that order, which would start the task once more.
func (l *Leader) calls(m *machine, answer bool) []workers.Call {
	calls := []workers.Call{}
	if m.phase == returning {
		return calls
	}
	for _, a := range m.assigned {
		if a.outcome != open || !a.durable || a.session != m.session {
			continue
		}
		switch {
		case a.job.over() && a.seen != "":
			calls = append(calls, stopCall(a.name(), a.onWire(), 0))
		case a.stop && a.seen != "":
			if a.seen != workers.Saving {
				calls = append(calls, stopCall(a.name(), a.onWire(), a.grace))
			}
		case a.job.over() || a.stop:
		case a.seen == "" && !a.sent && !a.ordered && a.doubt == 0 && a.mayRun():
			a.sent, a.ordered = true, !answer
			calls = append(calls, workers.Call{Op: workers.OpRun, Task: a.name(), Attempt: a.onWire()})
		}
	}
	var held heldEnds
	for _, t := range m.reportedTasks {
		if m.find(refOf(&t)) != nil {
			continue // its end is not durable yet
		}
		switch {
		case t.State != workers.Ended:
			calls = append(calls, stopCall(t.Task, t.Attempt, 0))
		case m.ordered[refOf(&t)] >= m.token:
			held.add(&t, m.ordered[refOf(&t)], l.mayRunAgain(&t))
		case answer:
			calls = append(calls, workers.Call{Op: workers.OpClear, Task: t.Task, Attempt: t.Attempt})
		}
	}
	m.wantsToken = held.wantToken()
	l.clearHeld = l.clearHeld || m.wantsToken && held.newest >= l.token
	return calls
}

func stopCall(task string, attempt uint64, grace float64) workers.Call {
	return workers.Call{Op: workers.OpStop, Task: task, Attempt: attempt, GraceS: &grace}
}
