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

// writeNext starts the next transaction.
func (l *Leader) writeNext(ctx context.Context, now time.Time) {
	if l.writer.inFlight || !l.fencing.RaisePending && len(l.writer.completedJobs) == 0 && !l.log.HasWork() || now.Sub(l.writer.startedAt) < l.Derived.Leader.FlushInterval || !l.IsLeader() {
		return
	}
	l.writer.startedAt = now
	b := l.compose()
	if len(b.Writes) == 0 {
		return
	}
	l.writer.inFlight = true
	go func() {
		rev, failed, err := l.Store.Commit(ctx, b.Guards, b.Writes)
		l.post(ctx, func(time.Time) { l.transactionReturned(ctx, b, rev, failed, err) })
	}()
}

// compose puts the next transaction together.
func (l *Leader) compose() *transaction.Batch {
	b := transaction.New()
	l.log.Grow(l.Derived.Store.TxnOps / 2)
	// The segments of a transaction of unknown outcome come before all else.
	left := l.Derived.Store.TxnOps - l.log.UnsettledSegments()
	if l.fencing.RaisePending && left > 0 {
		l.addToken(b)
		left--
	}
	// Then ends of jobs, in half of the room if there is anything else.
	limit := len(b.Writes) + left
	if l.log.UnsettledSegments() == 0 && l.log.HasNews() {
		limit = len(b.Writes) + max(1, left/2)
	}
	for len(l.writer.completedJobs) > 0 && len(b.Writes) < limit {
		j := l.writer.completedJobs[0]
		l.writer.completedJobs = l.writer.completedJobs[1:]
		l.addJobCompletion(b, j)
	}
	l.log.AddSegments(b, l.Derived.Store.TxnOps)
	b.Guard(election.HolderKey, l.term.HolderRevision)
	return b
}

func (l *Leader) addToken(b *transaction.Batch) {
	next := l.fencing.Next()
	l.fencing.RaisePending = false
	b.OnFailure(func() { l.fencing.RaisePending = true })
	b.OnCommit(func(rev uint64) {
		l.fencing.Current, l.fencing.Revision = next, rev
		l.fencing.AcknowledgementsHeld = false
		l.TokenRaised(next)
		l.tokenRaised()
		slog.Info("token raised", "term", l.fencing.Current, "reason", "an order may still arrive")
	})
	b.Set(election.TokenKey, l.fencing.Revision, json.RawMessage(strconv.FormatUint(next, 10)), func(m uint64) {
		// Ours, from an attempt whose outcome was unknown; or the key was lost.
		l.fencing.Current, l.fencing.Revision = next, m
		l.TokenRaised(next)
		l.tokenRaised()
	})
}

func (l *Leader) addJobCompletion(b *transaction.Batch, j *cluster.Job) {
	if j.End.Cancelled {
		return // its user was faster
	}
	rec := jobs.Record{Tasks: j.Spec.Tasks, Spec: j.Spec}
	b.Set(jobs.RecordKey(j.ID), j.Revision, rec.FinalForm(jobs.Done, l.Derived.Store.ValueBytes), func(uint64) {})
	b.OnFailure(func() { l.writer.completedJobs = append(l.writer.completedJobs, j) })
	b.OnCommit(func(uint64) {
		slog.Debug("job done", "job", j.ID, "term", l.fencing.Current)
		l.jobCompletionDurable(j)
	})
}

func (l *Leader) jobCompletionDurable(j *cluster.Job) {
	j.End.CompletionDurable = true
	l.removeIfSettled(j)
}

// completeElsewhere takes in that a job is done by what others know, while this leader had it
// from a record that was put back.
func (l *Leader) completeElsewhere(j *cluster.Job) {
	j.End.Complete = true
	l.dropCompleted(j.ID)
	l.endTasksOf(j)
	l.jobCompletionDurable(j)
}

// dropCompleted takes a job off those whose end is to be written.
func (l *Leader) dropCompleted(id string) {
	l.writer.completedJobs = slices.DeleteFunc(l.writer.completedJobs, func(f *cluster.Job) bool { return f.ID == id })
}

// transactionReturned takes in the outcome of a transaction.
func (l *Leader) transactionReturned(ctx context.Context, b *transaction.Batch, rev uint64, failed []string, err error) {
	// What was too large is no outage: were it taken for one, and nothing were left to
	// be written, nothing would be planned any more.
	l.writer.storeUnavailable = err != nil && !errors.Is(err, kvstore.ErrInvalidRequest)
	if err == nil && len(failed) == 0 {
		l.writer.inFlight = false
		l.committed(b, rev)
		return
	}
	b.Failed()
	if err != nil {
		slog.Debug("records not written", "term", l.fencing.Current, "reason", err)
		if !errors.Is(err, kvstore.ErrNotExecuted) {
			l.log.MarkOutcomeUnknown()
		}
		if errors.Is(err, kvstore.ErrInvalidRequest) {
			l.transactionRejected(b, err)
		}
		if !errors.Is(err, kvstore.ErrOutcomeUnknown) && !errors.Is(err, kvstore.ErrNotExecuted) {
			slog.Error("records not written", "term", l.fencing.Current, "reason", err)
		}
		l.postAfter(ctx, l.Derived.Election.RenewInterval/4, func() { l.writer.inFlight = false })
		return
	}
	if slices.Contains(failed, election.HolderKey) {
		// The term is over. The keeper notices by itself; nothing is written.
		slog.Info("term lost", "term", l.fencing.Current, "reason", "holder key changed")
		return
	}
	// An earlier transaction of ours was executed after all, or a user ended a
	// job. Only keys that others never write under our term are written again.
	slog.Debug("guards failed", "term", l.fencing.Current, "keys", failed)
	go l.readConflictingKeys(ctx, b, failed)
}

// committed takes in that a transaction was executed.
func (l *Leader) committed(b *transaction.Batch, revision uint64) {
	b.Committed(revision)
	for _, event := range l.log.TakeEvents() {
		switch event.Kind {
		case assignmentlog.BeginDurable:
			l.tasks.BeginDurable(event.Assignment)
		case assignmentlog.EndDurable:
			l.tasks.Remove(event.Assignment)
		}
	}
}

// transactionRejected looks for a transaction that the state service takes: its limits are
// lower than the settings say. The same one would be rejected for ever, and with it
// all that waits behind it.
func (l *Leader) transactionRejected(b *transaction.Batch, err error) {
	most := 0
	for _, w := range b.Writes {
		most = max(most, len(w.Value))
	}
	slog.Error("transaction rejected", "term", l.fencing.Current, "writes", len(b.Writes), "bytes", b.Bytes, "largest", most, "reason", err)
	if l.log.OutcomeUnknown() {
		// An earlier one may still be carried out, and its segments have to be written
		// again. The end of the term is what makes sure that it is not.
		l.resignation.requested = true
		return
	}
	l.log.ShrinkSegments()
}

// readConflictingKeys learns the revisions of keys that were not as expected.
func (l *Leader) readConflictingKeys(ctx context.Context, b *transaction.Batch, keys []string) {
	for _, key := range keys {
		for {
			p, _, err := l.Store.Get(ctx, key)
			if err == nil {
				l.post(ctx, func(time.Time) { l.takeInConflict(b, key, p) })
				break
			}
			if ctx.Err() != nil {
				return
			}
			l.sleep(ctx, l.Derived.Election.RenewInterval)
		}
	}
	l.post(ctx, func(time.Time) { l.writer.inFlight = false })
}

func (l *Leader) takeInConflict(b *transaction.Batch, key string, p kvstore.KeyValue) {
	id := jobs.JobIDFromKey(key)
	if id == key { // not a job's record
		b.Learn(key, p.Revision)
		l.recovery.CheckSegment(key, p)
		return
	}
	var rec jobs.Record
	j := l.state.Jobs[id]
	if j == nil {
		l.dropCompleted(id) // settled meanwhile: its end is written by others
		return
	}
	if p.Revision == 0 {
		// Lost: it is written in place of what is not there any more.
		j.Revision = 0
		l.recovery.ReportLoss(detection.Evidence{Kind: detection.RecordMissing, Key: key}, time.Now())
		return
	}
	if jsonv2.Unmarshal(p.Value, &rec) != nil {
		return
	}
	if !rec.Finished() {
		j.Revision = p.Revision // it was lost and is back
		return
	}
	l.dropCompleted(id)
	switch rec.State {
	case jobs.Done:
		l.jobCompletionDurable(j)
	case jobs.Cancelled:
		if !j.End.Cancelled {
			l.cancelJob(j, p.Revision)
		}
	}
}
