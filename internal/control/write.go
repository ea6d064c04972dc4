package control

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/state"
	"ospreyslip/internal/term"
)

// txnBytes is the protocol's limit for a transaction; a quarter is left for
// guards and punctuation.
const txnBytes = 64 << 10 * 3 / 4

// batch is a transaction with what follows from it. There is one at a time:
// what comes meanwhile goes into the next, so that a scarce write rate makes
// batches larger, not queues longer.
type batch struct {
	guards []state.Guard
	writes []state.Write
	bytes  int
	undo   []func()                // not executed: queue it all again
	done   []func(revision uint64) // executed
	marks  map[string]func(mark uint64)
}

func (b *batch) add(key string, mark uint64, value json.RawMessage, learn func(uint64)) {
	b.guards = append(b.guards, state.Guard{Key: key, Mark: mark})
	if value == nil {
		b.writes = append(b.writes, state.Write{Remove: key})
	} else {
		b.writes = append(b.writes, state.Write{Set: key, Value: value})
	}
	b.bytes += 2*len(key) + len(value)
	b.marks[key] = learn
}

// flush starts the next transaction.
func (l *Leader) flush(ctx context.Context) {
	if l.writing || !l.raise && len(l.finals) == 0 && len(l.chunks) == 0 && len(l.dirty) == 0 || !l.Valid() {
		return
	}
	b := &batch{marks: map[string]func(uint64){}}
	room := func(n int) bool {
		return len(b.writes)+n <= l.Derived.TxnOps && b.bytes < txnBytes
	}
	if l.raise {
		l.addToken(b)
	}
	// Ends first, and half of the room for the rest if there is any.
	limit := l.Derived.TxnOps
	if len(l.dirty) > 0 {
		limit = max(1, limit/2)
	}
	for len(l.finals) > 0 && room(1+len(l.finals[0].chunks)) && (len(b.writes) < limit) {
		j := l.finals[0]
		l.finals = l.finals[1:]
		l.addFinal(b, j)
	}
	for len(l.chunks) > 0 && room(1) && len(b.writes) < limit {
		ref := l.chunks[0]
		l.chunks = l.chunks[1:]
		l.addChunk(b, ref)
	}
	for len(l.dirty) > 0 && room(1) {
		m := l.dirty[0]
		l.dirty = l.dirty[1:]
		m.dirty = false
		l.addMachine(b, m)
	}
	if len(b.writes) == 0 {
		for _, f := range b.done {
			f(0)
		}
		return
	}
	b.guards = append(b.guards, state.Guard{Key: term.HolderKey, Mark: l.term.Mark})
	l.writing = true
	go func() {
		rev, failed, err := l.Store.Commit(ctx, b.guards, b.writes)
		l.post(ctx, func(time.Time) { l.written(ctx, b, rev, failed, err) })
	}()
}

func (l *Leader) addToken(b *batch) {
	next := l.token + 1
	l.raise = false
	b.undo = append(b.undo, func() { l.raise = true })
	b.done = append(b.done, func(rev uint64) {
		l.token, l.tokenMark = next, rev
		l.Raised(next)
		slog.Info("token raised", "term", l.token, "reason", "orders in doubt")
	})
	b.add(term.TokenKey, l.tokenMark, json.RawMessage(strconv.FormatUint(next, 10)), func(m uint64) {
		// Ours, from an attempt whose outcome was unknown.
		l.token, l.tokenMark = next, m
		l.Raised(next)
	})
}

func (l *Leader) addFinal(b *batch, j *job) {
	if j.cancelled {
		return // its user was faster
	}
	rec := jobs.Record{Tasks: j.spec.Tasks, Spec: j.spec}
	b.add(jobs.RecordKey(j.id), j.mark, rec.Ended(jobs.Done), func(uint64) {})
	for c, ch := range j.chunks {
		if ch.mark != 0 {
			b.add(chunkKey(j.id, c), ch.mark, nil, func(m uint64) { ch.mark = m })
		}
	}
	b.undo = append(b.undo, func() { l.finals = append(l.finals, j) })
	b.done = append(b.done, func(uint64) {
		slog.Debug("job done", "job", j.id, "term", l.token)
		l.finalDone(j)
	})
}

func (l *Leader) finalDone(j *job) {
	j.mark = 0
	for _, ch := range j.chunks {
		ch.saved, ch.mark = true, 0
	}
	for _, a := range j.tasks {
		l.touch(a.m) // what waited for the completion to be durable
	}
	l.settled(j)
}

func (l *Leader) addChunk(b *batch, ref chunkRef) {
	j, ch := ref.j, ref.j.chunks[ref.c]
	ch.dirty = false
	if j.over() {
		// The record of the job's end takes its place.
		if j.cancelled && ch.mark != 0 {
			b.add(chunkKey(j.id, ref.c), ch.mark, nil, func(m uint64) { ch.mark = m })
			b.undo = append(b.undo, func() { l.chunks = append(l.chunks, ref) })
			b.done = append(b.done, func(uint64) { ch.mark = 0 })
		}
		return
	}
	b.add(chunkKey(j.id, ref.c), ch.mark, j.chunkValue(ref.c, l.Derived.ChunkTasks), func(m uint64) { ch.mark = m })
	b.undo = append(b.undo, func() { l.chunkDirty(j, ref.c) })
	b.done = append(b.done, func(rev uint64) {
		ch.mark = rev
		for _, a := range j.tasks {
			if a.outcome == success {
				l.touch(a.m)
			}
		}
	})
	// As far as this transaction goes: chunkDirty takes it back if it fails,
	// or if more tasks complete meanwhile.
	ch.saved = true
}

// completionSaved tells whether a completion is durable, or goes into the
// transaction that is being put together.
func (l *Leader) completionSaved(b *batch, a *assignment) bool {
	j := a.job
	if j.cancelled || j.final && j.mark == 0 {
		return true
	}
	if _, ok := b.marks[jobs.RecordKey(j.id)]; ok {
		return true
	}
	ch := j.chunks[a.n/l.Derived.ChunkTasks]
	return ch != nil && ch.saved
}

func (l *Leader) addMachine(b *batch, m *machine) {
	rec := machineRecord{Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, Session: m.session, Dead: m.dead}
	var kept, gone []*assignment
	for _, a := range m.assigned {
		if a.outcome == retry || a.outcome == success && l.completionSaved(b, a) {
			gone = append(gone, a)
			continue
		}
		kept = append(kept, a)
		rec.Tasks = append(rec.Tasks, taskRecord{a.job.id, a.n, a.attempt})
	}
	slices.SortFunc(rec.Tasks, func(x, y taskRecord) int {
		if x.Attempt < y.Attempt {
			return -1
		}
		return 1
	})
	after := func(rev uint64) {
		for _, a := range kept {
			if !a.durable {
				a.durable = true
				m.poke = true
			}
		}
		for _, a := range gone {
			l.forget(a)
		}
	}
	var value json.RawMessage
	if len(rec.Tasks) > 0 {
		value, _ = json.Marshal(rec)
	} else if m.mark == 0 {
		b.done = append(b.done, after)
		b.undo = append(b.undo, func() { l.touch(m) })
		return // no record, and none needed
	}
	b.add(machinePrefix+m.id, m.mark, value, func(mark uint64) { m.mark = mark })
	b.undo = append(b.undo, func() { l.touch(m) })
	b.done = append(b.done, func(rev uint64) {
		m.mark = rev
		if value == nil {
			m.mark = 0
		}
		after(rev)
	})
}

// written takes in the outcome of a transaction.
func (l *Leader) written(ctx context.Context, b *batch, rev uint64, failed []string, err error) {
	l.stuck = err != nil
	if err == nil && len(failed) == 0 {
		l.writing = false
		for _, f := range b.done {
			f(rev)
		}
		return
	}
	for _, f := range b.undo {
		f()
	}
	if err != nil {
		slog.Debug("records not written", "term", l.token, "reason", err)
		if !errors.Is(err, state.ErrUnknown) && !errors.Is(err, state.ErrRefused) {
			slog.Error("records not written", "term", l.token, "reason", err)
		}
		l.later(ctx, l.Derived.TermRenew/4, func() { l.writing = false })
		return
	}
	if slices.Contains(failed, term.HolderKey) {
		// The term is over. The keeper notices by itself; nothing is written.
		slog.Info("term lost", "term", l.token, "reason", "holder key changed")
		return
	}
	// An earlier transaction of ours was executed after all, or a user ended a
	// job. Only keys that others never write under our term are written again.
	slog.Debug("guards failed", "term", l.token, "keys", failed)
	go l.reread(ctx, b, failed)
}

// reread learns the revisions of keys that were not as expected.
func (l *Leader) reread(ctx context.Context, b *batch, keys []string) {
	for _, key := range keys {
		for {
			p, _, err := l.Store.Get(ctx, key)
			if err == nil {
				l.post(ctx, func(time.Time) { l.relearn(b, key, p) })
				break
			}
			if ctx.Err() != nil {
				return
			}
			l.pause(ctx, l.Derived.TermRenew)
		}
	}
	l.post(ctx, func(time.Time) { l.writing = false })
}

func (l *Leader) relearn(b *batch, key string, p state.Pair) {
	id := jobs.IDOf(key)
	if id == key { // not a job's record
		if learn := b.marks[key]; learn != nil {
			learn(p.Mark)
		}
		return
	}
	var rec jobs.Record
	j := l.jobs[id]
	if j == nil || json.Unmarshal(p.Value, &rec) != nil {
		return
	}
	l.finals = slices.DeleteFunc(l.finals, func(f *job) bool { return f == j })
	switch rec.Stance {
	case jobs.Done:
		l.finalDone(j)
	case jobs.Cancelled:
		j.cancelled, j.mark = true, p.Mark
		l.cancelTasks(j)
	}
}

func (l *Leader) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (l *Leader) later(ctx context.Context, d time.Duration, f func()) {
	go func() {
		l.pause(ctx, d)
		l.post(ctx, func(time.Time) { f() })
	}()
}
