package leader

import (
	"encoding/json"
	"log/slog"
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// compact puts on a segmentBuilder what is still true of a segment, or as much of it as fits
// within so many bytes.
func (l *Leader) compact(b *batch, d *segmentBuilder, p *segment, most int) {
	for _, attempt := range sorted(p.begun) {
		a := p.begun[attempt]
		switch {
		case a.closing || a.moving || l.recordable(b, a):
		case d.size+beginSize(a) <= most:
			d.begin(a)
		}
	}
	for ref := range p.done {
		ch := ref.j.chunks[ref.c]
		if ch == nil || ch.home != p || ch.moving || ref.j.over() {
			continue
		}
		bits := ref.j.chunkBits(ref.c, l.Derived.Store.ChunkTasks)
		switch size := chunkSize(ref, bits); {
		case segmentBytes+size > l.log.most:
			ch.saved = false // no segment holds it any more: see fill
		case d.size+size <= most:
			d.chunk(ref, bits)
		}
	}
}

// oversized tells whether what stands on a segment may be more than can be written at a
// time: it is from before the state service's limits fell, or were to fall. What
// is over by now counts as well: should the transaction fail, its end may have to
// wait for the next.
func (l *Leader) oversized(p *segment) bool {
	if p.bytes <= l.log.most {
		return false
	}
	d := &segmentBuilder{size: segmentBytes, at: map[*machine]int{}}
	for _, a := range p.begun {
		if !a.moving {
			d.begin(a)
		}
	}
	for ref := range p.done {
		if ch := ref.j.chunks[ref.c]; ch != nil && ch.home == p && !ch.moving {
			d.size += chunkSize(ref, ref.j.chunkBits(ref.c, l.Derived.Store.ChunkTasks))
		}
	}
	return d.size > l.log.most*7/8
}

// moveOnward moves a part of the first oversized segment behind the i-th onward to a segmentBuilder. It
// is written over only when the rest fits: until then it stays the oldest, so that
// the ends of what was moved, which are on later segments, outlast it.
func (l *Leader) moveOnward(b *batch, d *segmentBuilder, i int) {
	for _, p := range l.log.segments[i+1 : min(i+1+l.Derived.Store.TxnOps, len(l.log.segments))] {
		if len(p.begun)+len(p.done) == 0 {
			continue // never written, or outcome open
		}
		if l.oversized(p) {
			kept, done := len(d.kept), len(d.done)
			if l.compact(b, d, p, d.most/2); len(d.kept)+len(d.done) == 0 {
				l.compact(b, d, p, d.most) // what takes more than half of a segment
			}
			for _, a := range d.kept[kept:] {
				a.moving = true
			}
			for _, ref := range d.done[done:] {
				ref.j.chunks[ref.c].moving = true
			}
		}
		return
	}
}

// addSegment writes the i-th oldest segment: what is still true of it, then what is
// new, as far as there is room for it. In front of a oversized segment it adds one.
func (l *Leader) addSegment(b *batch, i int, fresh bool) {
	k := &l.log
	if i >= k.again && l.oversized(k.segments[i]) {
		k.segments = slices.Insert(k.segments, i, k.blank())
	}
	p := k.segments[i]
	d := &segmentBuilder{rec: segmentRecord{Number: k.number + uint64(i) + 1}, size: segmentBytes, most: min(k.most, txnBytes-b.bytes), at: map[*machine]int{}}
	for _, attempt := range sorted(p.begun) {
		if a := p.begun[attempt]; !a.closing && l.recordable(b, a) {
			// Its beginning stood here only, so that nothing needs to be said.
			a.closing = true
			d.gone = append(d.gone, a)
		}
	}
	l.compact(b, d, p, math.MaxInt)
	k.carry += (float64(d.size-segmentBytes) - k.carry) / float64(len(k.segments))
	l.moveOnward(b, d, i)
	if fresh {
		l.fill(b, d)
	}
	raw, _ := json.Marshal(d.rec)
	b.add(p.key, p.revision, raw, func(revision uint64) { p.revision = revision })
	b.undo = append(b.undo, func() { k.takeBack(l, d) })
	b.done = append(b.done, func(rev uint64) { p.bytes = len(raw); l.segmentWritten(p, d, rev) })
}

// fill adds what is new. Completions go before the ends that rest on them.
func (l *Leader) fill(b *batch, d *segmentBuilder) {
	k := &l.log
	for len(k.deaths) > 0 && d.fits(len(k.deaths[0])+3) {
		d.rec.Dead = append(d.rec.Dead, k.deaths[0])
		d.size += len(k.deaths[0]) + 3
		d.fresh.deaths = append(d.fresh.deaths, k.deaths[0])
		k.deaths = k.deaths[1:]
	}
	for len(k.chunks) > 0 {
		ref := k.chunks[0]
		ch := ref.j.chunks[ref.c]
		if !ref.j.over() { // else the record of the job's end takes its place
			bits := ref.j.chunkBits(ref.c, l.Derived.Store.ChunkTasks)
			if size := chunkSize(ref, bits); segmentBytes+size > k.most {
				// No segment holds it. Its tasks' ends wait for that of the job: their
				// workers keep saying that they are done.
				if !ch.large {
					slog.Error("completions larger than a segment", "job", ref.j.id, "bytes", size, "most", k.most)
				}
				ch.large, ch.dirty = true, false
				k.chunks = k.chunks[1:]
				continue
			} else if !d.fits(size) {
				break
			}
			d.chunk(ref, bits)
			d.fresh.chunks = append(d.fresh.chunks, ref)
			// As far as this transaction goes: chunkDirty takes it back if it
			// fails, or if more tasks complete meanwhile.
			ch.saved = true
		}
		ch.dirty = false
		k.chunks = k.chunks[1:]
	}
	later := k.ends[:0]
	for _, a := range k.ends {
		switch {
		case a.closing: // its segment is written anew, without it
			a.ending = false
		case d.fits(overSize(a)) && l.recordable(b, a):
			a.closing, a.ending = true, false
			if a.home != nil {
				d.rec.Over = append(d.rec.Over, a.attempt)
				d.size += overSize(a)
			}
			d.gone = append(d.gone, a)
		default:
			later = append(later, a)
		}
	}
	clear(k.ends[len(later):])
	k.ends = later
	for len(k.begins) > 0 && d.fits(beginSize(k.begins[0])) {
		a := k.begins[0]
		k.begins = k.begins[1:]
		if a.outcome == open {
			d.begin(a)
			d.fresh.begins = append(d.fresh.begins, a)
		}
	}
}

// recordable tells whether an assignment's end may be written: the completion of
// its task has to be durable with it.
func (l *Leader) recordable(b *batch, a *assignment) bool {
	return a.outcome == retry || a.outcome == success && l.completionSaved(b, a)
}

// takeBack queues what a transaction that failed should have written.
func (k *assignmentLog) takeBack(l *Leader, d *segmentBuilder) {
	k.begins = append(d.fresh.begins, k.begins...)
	k.deaths = append(d.fresh.deaths, k.deaths...)
	for _, a := range d.gone {
		a.closing = false
		k.end(a)
	}
	for _, a := range d.kept {
		a.moving = false
	}
	for _, ref := range d.done {
		ref.j.chunks[ref.c].moving = false
	}
	for _, ref := range d.fresh.chunks {
		l.chunkDirty(ref.j, ref.c)
	}
}

// segmentWritten takes in that a segment was written.
func (l *Leader) segmentWritten(p *segment, d *segmentBuilder, rev uint64) {
	p.revision = rev
	clear(p.begun)
	clear(p.done)
	for _, a := range d.kept {
		if a.home != nil && a.home != p {
			delete(a.home.begun, a.attempt)
		}
		p.begun[a.attempt] = a
		a.home, a.moving = p, false
		if !a.durable {
			a.durable = true
			if a.job.isGang() {
				l.gangWritten(a.job)
			} else {
				l.notify(a.m)
			}
		}
	}
	for _, ref := range d.done {
		p.done[ref] = true
		if ch := ref.j.chunks[ref.c]; ch != nil {
			ch.home, ch.moving = p, false
		}
	}
	for _, a := range d.gone {
		if a.home != nil {
			delete(a.home.begun, a.attempt)
		}
		l.forget(a)
	}
}

// completionSaved tells whether a completion is durable, or goes into the
// transaction that is being put together.
func (l *Leader) completionSaved(b *batch, a *assignment) bool {
	j := a.job
	if j.cancelled || j.recorded {
		return true
	}
	if _, ok := b.revisions[jobs.RecordKey(j.id)]; ok {
		return true
	}
	ch := j.chunks[a.n/l.Derived.Store.ChunkTasks]
	return ch != nil && ch.saved
}
