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
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/recovery/detection"
)

// flush starts the next transaction.
func (l *Leader) flush(ctx context.Context, now time.Time) {
	if l.writing || !l.raiseToken && len(l.finished) == 0 && !l.log.HasWork() || now.Sub(l.flushedAt) < l.Derived.FlushGap || !l.Valid() {
		return
	}
	l.flushedAt = now
	b := l.compose()
	if len(b.Writes) == 0 {
		return
	}
	l.writing = true
	go func() {
		rev, failed, err := l.Store.Commit(ctx, b.Guards, b.Writes)
		l.post(ctx, func(time.Time) { l.written(ctx, b, rev, failed, err) })
	}()
}

// compose puts the next transaction together.
func (l *Leader) compose() *transaction.Batch {
	b := transaction.New()
	l.log.Grow(l.Derived.TxnOps / 2)
	// The segments of a transaction of unknown outcome come before all else.
	left := l.Derived.TxnOps - l.log.UnsettledSegments()
	if l.raiseToken && left > 0 {
		l.addToken(b)
		left--
	}
	// Then ends of jobs, in half of the room if there is anything else.
	limit := len(b.Writes) + left
	if l.log.UnsettledSegments() == 0 && l.log.HasNews() {
		limit = len(b.Writes) + max(1, left/2)
	}
	for len(l.finished) > 0 && len(b.Writes) < limit {
		j := l.finished[0]
		l.finished = l.finished[1:]
		l.addFinal(b, j)
	}
	l.log.AddSegments(b, l.Derived.TxnOps)
	b.Guard(election.HolderKey, l.term.Revision)
	return b
}

func (l *Leader) addToken(b *transaction.Batch) {
	next := max(l.token, l.tokenFloor) + 1
	l.raiseToken = false
	b.OnFailure(func() { l.raiseToken = true })
	b.OnCommit(func(rev uint64) {
		l.token, l.tokenRevision = next, rev
		l.clearHeld = false
		l.Raised(next)
		l.tokenRaised()
		slog.Info("token raised", "term", l.token, "reason", "an order may still arrive")
	})
	b.Set(election.TokenKey, l.tokenRevision, json.RawMessage(strconv.FormatUint(next, 10)), func(m uint64) {
		// Ours, from an attempt whose outcome was unknown; or the key was lost.
		l.token, l.tokenRevision = next, m
		l.Raised(next)
		l.tokenRaised()
	})
}

func (l *Leader) addFinal(b *transaction.Batch, j *cluster.Job) {
	if j.End.Cancelled {
		return // its user was faster
	}
	rec := jobs.Record{Tasks: j.Spec.Tasks, Spec: j.Spec}
	b.Set(jobs.RecordKey(j.ID), j.Revision, rec.Ended(jobs.Done, l.Derived.ValueBytes), func(uint64) {})
	b.OnFailure(func() { l.finished = append(l.finished, j) })
	b.OnCommit(func(uint64) {
		slog.Debug("job done", "job", j.ID, "term", l.token)
		l.finalDone(j)
	})
}

func (l *Leader) finalDone(j *cluster.Job) {
	j.End.CompletionDurable = true
	l.settled(j)
}

// doneElsewhere takes in that a job is done by what others know, while this leader had it
// from a record that was put back.
func (l *Leader) doneElsewhere(j *cluster.Job) {
	j.End.Complete = true
	l.dropFinished(j.ID)
	l.cancelTasks(j)
	l.finalDone(j)
}

// dropFinished takes a job off those whose end is to be written.
func (l *Leader) dropFinished(id string) {
	l.finished = slices.DeleteFunc(l.finished, func(f *cluster.Job) bool { return f.ID == id })
}

// written takes in the outcome of a transaction.
func (l *Leader) written(ctx context.Context, b *transaction.Batch, rev uint64, failed []string, err error) {
	// What was too large is no outage: were it taken for one, and nothing were left to
	// be written, nothing would be planned any more.
	l.storeFailing = err != nil && !errors.Is(err, kvstore.ErrRejected)
	if err == nil && len(failed) == 0 {
		l.writing = false
		l.committed(b, rev)
		return
	}
	b.Failed()
	if err != nil {
		slog.Debug("records not written", "term", l.token, "reason", err)
		if !errors.Is(err, kvstore.ErrRefused) {
			l.log.MarkOutcomeUnknown()
		}
		if errors.Is(err, kvstore.ErrRejected) {
			l.rejected(b, err)
		}
		if !errors.Is(err, kvstore.ErrUnknown) && !errors.Is(err, kvstore.ErrRefused) {
			slog.Error("records not written", "term", l.token, "reason", err)
		}
		l.later(ctx, l.Derived.TermRenew/4, func() { l.writing = false })
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

// committed takes in that a transaction was executed.
func (l *Leader) committed(b *transaction.Batch, revision uint64) {
	b.Committed(revision)
	for _, event := range l.log.TakeEvents() {
		switch event.Kind {
		case assignmentlog.BeginDurable:
			l.beginDurable(event.Assignment)
		case assignmentlog.EndDurable:
			l.forget(event.Assignment)
		}
	}
}

// beginDurable lets a worker hear of an assignment. Tasks of a gang go together.
func (l *Leader) beginDurable(a *cluster.Assignment) {
	if a.Job.IsGang() {
		l.gangWritten(a.Job)
	} else {
		l.notify(a.Machine)
	}
}

// rejected looks for a transaction that the state service takes: its limits are
// lower than the settings say. The same one would be rejected for ever, and with it
// all that waits behind it.
func (l *Leader) rejected(b *transaction.Batch, err error) {
	most := 0
	for _, w := range b.Writes {
		most = max(most, len(w.Value))
	}
	slog.Error("transaction rejected", "term", l.token, "writes", len(b.Writes), "bytes", b.Bytes, "largest", most, "reason", err)
	if l.log.OutcomeUnknown() {
		// An earlier one may still be carried out, and its segments have to be written
		// again. The end of the term is what makes sure that it is not.
		l.resign = true
		return
	}
	l.log.ShrinkSegments()
}

// reread learns the revisions of keys that were not as expected.
func (l *Leader) reread(ctx context.Context, b *transaction.Batch, keys []string) {
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

func (l *Leader) relearn(b *transaction.Batch, key string, p kvstore.Pair) {
	id := jobs.IDOf(key)
	if id == key { // not a job's record
		b.Learn(key, p.Revision)
		l.recovery.CheckSegment(key, p)
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
		j.Revision = 0
		l.recovery.ReportLoss(detection.Loss{Kind: detection.RecordMissing, Key: key}, time.Now())
		return
	}
	if jsonv2.Unmarshal(p.Value, &rec) != nil {
		return
	}
	if !rec.Over() {
		j.Revision = p.Revision // it was lost and is back
		return
	}
	l.dropFinished(id)
	switch rec.State {
	case jobs.Done:
		l.finalDone(j)
	case jobs.Cancelled:
		if !j.End.Cancelled {
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
