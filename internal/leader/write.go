package leader

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery/detection"
)

// txnBytes is the protocol's limit for a transaction; a quarter is left for
// guards and punctuation.
const txnBytes = 64 << 10 * 3 / 4

// batch is a transaction with what follows from it. There is one at a time:
// what comes meanwhile goes into the next, so that a scarce write rate makes
// batches larger, not queues longer.
type batch struct {
	guards    []kvstore.Guard
	writes    []kvstore.Write
	bytes     int
	undo      []func()                // not executed: queue it all again
	done      []func(revision uint64) // executed
	revisions map[string]func(revision uint64)
}

func (b *batch) add(key string, revision uint64, value json.RawMessage, learn func(uint64)) {
	b.guards = append(b.guards, kvstore.Guard{Key: key, Revision: revision})
	b.writes = append(b.writes, kvstore.Write{Set: key, Value: value})
	b.bytes += 2*len(key) + len(value)
	b.revisions[key] = learn
}

// flush starts the next transaction.
func (l *Leader) flush(ctx context.Context, now time.Time) {
	if l.writing || !l.raiseToken && len(l.finished) == 0 && !l.log.waiting() || now.Sub(l.flushedAt) < l.Derived.Leader.FlushInterval || !l.Valid() {
		return
	}
	l.flushedAt = now
	b := l.compose()
	if len(b.writes) == 0 {
		return
	}
	l.writing = true
	go func() {
		rev, failed, err := l.Store.Commit(ctx, b.guards, b.writes)
		l.post(ctx, func(time.Time) { l.written(ctx, b, rev, failed, err) })
	}()
}

// compose puts the next transaction together.
func (l *Leader) compose() *batch {
	b := &batch{revisions: map[string]func(uint64){}}
	l.log.grow(l.Derived.Store.TxnOps / 2)
	// The segments of a transaction whose outcome is open come first of all.
	left := l.Derived.Store.TxnOps - l.log.again
	if l.raiseToken && left > 0 {
		l.addToken(b)
		left--
	}
	// Then ends of jobs, in half of the room if there is anything else.
	limit := len(b.writes) + left
	if l.log.again == 0 && l.log.news() {
		limit = len(b.writes) + max(1, left/2)
	}
	for len(l.finished) > 0 && len(b.writes) < limit {
		j := l.finished[0]
		l.finished = l.finished[1:]
		l.addFinal(b, j)
	}
	segments := 0
	for ; segments < len(l.log.segments) && len(b.writes) < l.Derived.Store.TxnOps; segments++ {
		must := segments < l.log.again
		if !must && (!l.log.news() && l.log.rewrite <= segments || b.bytes+l.log.most > txnBytes) {
			break
		}
		l.addSegment(b, segments, segments+1 >= l.log.again)
		l.log.again = max(l.log.again, segments+1) // until the outcome is known
	}
	b.done = append(b.done, func(uint64) { l.log.rotate(segments) })
	b.guards = append(b.guards, kvstore.Guard{Key: election.HolderKey, Revision: l.term.Revision})
	return b
}

func (l *Leader) addToken(b *batch) {
	next := max(l.token, l.tokenFloor) + 1
	l.raiseToken = false
	b.undo = append(b.undo, func() { l.raiseToken = true })
	b.done = append(b.done, func(rev uint64) {
		l.token, l.tokenRevision = next, rev
		l.clearHeld = false
		l.Raised(next)
		l.tokenRaised()
		slog.Info("token raised", "term", l.token, "reason", "an order may still arrive")
	})
	b.add(election.TokenKey, l.tokenRevision, json.RawMessage(strconv.FormatUint(next, 10)), func(m uint64) {
		// Ours, from an attempt whose outcome was unknown; or the key was lost.
		l.token, l.tokenRevision = next, m
		l.Raised(next)
		l.tokenRaised()
	})
}

func (l *Leader) addFinal(b *batch, j *job) {
	if j.cancelled {
		return // its user was faster
	}
	rec := jobs.Record{Tasks: j.spec.Tasks, Spec: j.spec}
	b.add(jobs.RecordKey(j.id), j.revision, rec.Ended(jobs.Done, l.Derived.Store.ValueBytes), func(uint64) {})
	b.undo = append(b.undo, func() { l.finished = append(l.finished, j) })
	b.done = append(b.done, func(uint64) {
		slog.Debug("job done", "job", j.id, "term", l.token)
		l.finalDone(j)
	})
}

func (l *Leader) finalDone(j *job) {
	j.recorded = true
	l.settled(j)
}

// doneElsewhere takes in that a job is done by what others know, while this leader had it
// from a record that was put back.
func (l *Leader) doneElsewhere(j *job) {
	j.final = true
	l.dropFinished(j.id)
	l.cancelTasks(j)
	l.finalDone(j)
}

// dropFinished takes a job off those whose end is to be written.
func (l *Leader) dropFinished(id string) {
	l.finished = slices.DeleteFunc(l.finished, func(f *job) bool { return f.id == id })
}

// written takes in the outcome of a transaction.
func (l *Leader) written(ctx context.Context, b *batch, rev uint64, failed []string, err error) {
	// What was too large is no outage: were it taken for one, and nothing were left to
	// be written, nothing would be planned any more.
	l.storeFailing = err != nil && !errors.Is(err, kvstore.ErrRejected)
	if err == nil && len(failed) == 0 {
		l.writing = false
		for _, f := range b.done {
			f(rev)
		}
		return
	}
	// The latest first, so that what goes back to the head of a queue is in order.
	for _, f := range slices.Backward(b.undo) {
		f()
	}
	if err != nil {
		slog.Debug("records not written", "term", l.token, "reason", err)
		l.log.open = l.log.open || !errors.Is(err, kvstore.ErrRefused)
		if errors.Is(err, kvstore.ErrRejected) {
			l.rejected(b, err)
		}
		if !errors.Is(err, kvstore.ErrUnknown) && !errors.Is(err, kvstore.ErrRefused) {
			slog.Error("records not written", "term", l.token, "reason", err)
		}
		l.later(ctx, l.Derived.Election.RenewInterval/4, func() { l.writing = false })
		return
	}
	if slices.Contains(failed, election.HolderKey) {
		// The term is over. The keeper notices by itself; nothing is written.
		slog.Info("term lost", "term", l.token, "reason", "holder key changed")
		return
	}
	// An earlier transaction of ours was executed after all, or a user ended a
	// job. Only keys that others never write under our term are written again.
	slog.Debug("guards failed", "term", l.token, "keys", failed)
	go l.reread(ctx, b, failed)
}

// rejected looks for a transaction that the state service takes: its limits are
// lower than the settings say. The same one would be rejected for ever, and with it
// all that waits behind it.
func (l *Leader) rejected(b *batch, err error) {
	most := 0
	for _, w := range b.writes {
		most = max(most, len(w.Value))
	}
	slog.Error("transaction rejected", "term", l.token, "writes", len(b.writes), "bytes", b.bytes, "largest", most, "reason", err)
	if l.log.open {
		// An earlier one may still be carried out, and its segments have to be written
		// again. The end of the term is what makes sure that it is not.
		l.resign = true
		return
	}
	l.log.again = 0 // nothing of it was carried out
	l.log.most = max(l.log.most/2, 2*usualBytes)
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
			l.pause(ctx, l.Derived.Election.RenewInterval)
		}
	}
	l.post(ctx, func(time.Time) { l.writing = false })
}

func (l *Leader) relearn(b *batch, key string, p kvstore.Pair) {
	id := jobs.IDOf(key)
	if id == key { // not a job's record
		if learn := b.revisions[key]; learn != nil {
			learn(p.Revision)
		}
		l.checkSegment(key, p)
		return
	}
	var rec jobs.Record
	j := l.jobs[id]
	if j == nil {
		l.dropFinished(id) // settled meanwhile: its end is written by others
		return
	}
	if p.Revision == 0 {
		// Lost: it is written in place of what is not there any more.
		j.revision = 0
		l.suspect(detection.Evidence{Kind: detection.RecordMissing, Key: key}, time.Now())
		return
	}
	if jsonv2.Unmarshal(p.Value, &rec) != nil {
		return
	}
	if !rec.Over() {
		j.revision = p.Revision // it was lost and is back
		return
	}
	l.dropFinished(id)
	switch rec.State {
	case jobs.Done:
		l.finalDone(j)
	case jobs.Cancelled:
		if !j.cancelled {
			l.cancelled(j, p.Revision)
		}
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
