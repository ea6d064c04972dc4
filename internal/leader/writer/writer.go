// Package writer makes durable what the leader has decided: the assignment log, the ends of jobs
// and raises of the fencing token. There is one transaction at a time, guarded by the term and by
// the revision of each key that it touches. docs/design.md has the reasons.
//
// A Writer belongs to the leader's event loop. Transactions are sent by goroutines that hand their
// outcome back to it.
package writer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/jobtracker"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/settings"
)

// Host is what a writer needs of the other parts of the leader.
type Host interface {
	// IsLeader tells whether leadership is held at this moment.
	IsLeader() bool
	// TokenRaised takes in that a higher token is durable.
	TokenRaised()
	// Resign gives up the term.
	Resign()
	// Post has a function called on the event loop. It is called by any goroutine.
	Post(ctx context.Context, apply func(now time.Time))
	// PostAfter does so after a while.
	PostAfter(ctx context.Context, delay time.Duration, apply func())
}

// Deps is what a writer works with.
type Deps struct {
	Derived  settings.Derived
	Store    *kvstore.Client
	Term     election.Term
	State    *cluster.State
	Fencing  *fencing.Token
	Log      *assignmentlog.Log
	Jobs     *jobtracker.Tracker
	Tasks    *tasks.Manager
	Recovery *recoverer.Recoverer
	Host     Host
}

// Writer is the transaction under way, and when the next one may be sent.
type Writer struct {
	Deps
	inFlight         bool
	storeUnavailable bool // the last transaction was not executed, as far as is known
	startedAt        time.Time
}

// New makes a writer with nothing under way.
func New(deps Deps) *Writer { return &Writer{Deps: deps} }

// retriesPerRenewal is how often a transaction that failed is tried in the time between two renewals
// of the term's lease.
const retriesPerRenewal = 4

// StoreUnavailable tells whether the last transaction was not executed, as far as is known.
func (w *Writer) StoreUnavailable() bool { return w.storeUnavailable }

// IsIdle tells whether nothing of the log is under way or waits to be written.
func (w *Writer) IsIdle() bool { return !w.inFlight && !w.Log.HasWork() }

// QueueLength is how many records wait to be written.
func (w *Writer) QueueLength() int { return w.Jobs.CompletedCount() + w.Log.QueueLength() }

// WriteNext starts the next transaction, if there is anything to write and it is time for one.
func (w *Writer) WriteNext(ctx context.Context, now time.Time) {
	hasWork := w.Fencing.RaisePending || w.Jobs.HasCompleted() || w.Log.HasWork()
	if w.inFlight || !hasWork || now.Sub(w.startedAt) < w.Derived.Leader.FlushInterval || !w.Host.IsLeader() {
		return
	}
	w.startedAt = now
	b := w.Compose()
	if len(b.Writes) == 0 {
		return
	}
	w.inFlight = true
	go func() {
		revision, failed, err := w.Store.Commit(ctx, b.Guards, b.Writes)
		w.Host.Post(ctx, func(time.Time) { w.Returned(ctx, b, revision, failed, err) })
	}()
}

// Compose puts the next transaction together.
func (w *Writer) Compose() *transaction.Batch {
	b := transaction.New()
	maxOps := w.Derived.Store.TxnOps
	w.Log.Grow(maxOps / 2)
	// The segments of a transaction of unknown outcome come before all else.
	left := maxOps - w.Log.UnsettledSegments()
	if w.Fencing.RaisePending && left > 0 {
		w.addToken(b)
		left--
	}
	// Then ends of jobs, in half of the room if there is anything else.
	limit := len(b.Writes) + left
	if w.Log.UnsettledSegments() == 0 && w.Log.HasNews() {
		limit = len(b.Writes) + max(1, left/2)
	}
	for w.Jobs.HasCompleted() && len(b.Writes) < limit {
		w.addCompletion(b, w.Jobs.TakeCompleted())
	}
	w.Log.AddSegments(b, maxOps)
	b.Guard(election.HolderKey, w.Term.HolderRevision)
	return b
}

// addToken writes a higher token.
func (w *Writer) addToken(batch *transaction.Batch) {
	next := w.Fencing.Next()
	w.Fencing.RaisePending = false
	batch.OnFailure(func() { w.Fencing.RaisePending = true })
	batch.OnCommit(func(revision uint64) {
		w.Fencing.Current, w.Fencing.Revision = next, revision
		w.Fencing.AcknowledgementsHeld = false
		w.Host.TokenRaised()
		slog.Info("token raised", "term", w.Fencing.Current, "reason", "an order may still arrive")
	})
	value := json.RawMessage(strconv.FormatUint(next, 10))
	batch.Set(election.TokenKey, w.Fencing.Revision, value, func(revision uint64) {
		// Ours, from an attempt whose outcome was unknown; or the key was lost.
		w.Fencing.Current, w.Fencing.Revision = next, revision
		w.Host.TokenRaised()
	})
}

// addCompletion writes the record of a job that is done.
func (w *Writer) addCompletion(batch *transaction.Batch, job *cluster.Job) {
	if job.End.Cancelled {
		return // its user was faster
	}
	record := jobs.Record{Tasks: job.Spec.Tasks, Spec: job.Spec}
	value := record.FinalForm(jobs.Done, w.Derived.Store.ValueBytes)
	batch.Set(jobs.RecordKey(job.ID), job.Revision, value, func(uint64) {})
	batch.OnFailure(func() { w.Jobs.QueueCompleted(job) })
	batch.OnCommit(func(uint64) {
		slog.Debug("job done", "job", job.ID, "term", w.Fencing.Current)
		w.Jobs.CompletionDurable(job)
	})
}

// Returned takes in the outcome of a transaction.
func (w *Writer) Returned(ctx context.Context, batch *transaction.Batch, revision uint64, failed []string, err error) {
	// What was too large is no outage: were it taken for one, and nothing were left to be written,
	// nothing would be planned any more.
	w.storeUnavailable = err != nil && !errors.Is(err, kvstore.ErrInvalidRequest)
	if err == nil && len(failed) == 0 {
		w.inFlight = false
		w.Committed(batch, revision)
		return
	}
	batch.Failed()
	if err != nil {
		w.notWritten(ctx, batch, err)
		return
	}
	if slices.Contains(failed, election.HolderKey) {
		// The term is over. The elector notices by itself; nothing is written.
		slog.Info("term lost", "term", w.Fencing.Current, "reason", "holder key changed")
		return
	}
	// An earlier transaction of ours was executed after all, or a user ended a job. Only keys that
	// others never write under our term are written again.
	slog.Debug("guards failed", "term", w.Fencing.Current, "keys", failed)
	go w.readConflicts(ctx, batch, failed)
}

// notWritten takes in that a transaction was not executed, or nobody knows.
func (w *Writer) notWritten(ctx context.Context, batch *transaction.Batch, err error) {
	slog.Debug("records not written", "term", w.Fencing.Current, "reason", err)
	if !errors.Is(err, kvstore.ErrNotExecuted) {
		w.Log.MarkOutcomeUnknown()
	}
	if errors.Is(err, kvstore.ErrInvalidRequest) {
		w.rejected(batch, err)
	}
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) && !errors.Is(err, kvstore.ErrNotExecuted) {
		slog.Error("records not written", "term", w.Fencing.Current, "reason", err)
	}
	w.Host.PostAfter(ctx, w.Derived.Election.RenewInterval/retriesPerRenewal, func() { w.inFlight = false })
}

// Committed takes in that a transaction was executed.
func (w *Writer) Committed(batch *transaction.Batch, revision uint64) {
	batch.Committed(revision)
	for _, event := range w.Log.TakeEvents() {
		switch event.Kind {
		case assignmentlog.BeginDurable:
			w.Tasks.BeginDurable(event.Assignment)
		case assignmentlog.EndDurable:
			w.Tasks.Remove(event.Assignment)
		}
	}
}

// rejected looks for a transaction that the key-value store takes: its limits are lower than the
// settings say. The same one would be rejected for ever, and with it all that waits behind it.
func (w *Writer) rejected(batch *transaction.Batch, err error) {
	largest := 0
	for _, write := range batch.Writes {
		largest = max(largest, len(write.Value))
	}
	slog.Error("transaction rejected", "term", w.Fencing.Current, "writes", len(batch.Writes), "bytes", batch.Bytes, "largest", largest, "reason", err)
	if w.Log.OutcomeUnknown() {
		// An earlier one may still be executed, and its segments have to be written again. The end
		// of the term is what makes sure that it is not.
		w.Host.Resign()
		return
	}
	w.Log.ShrinkSegments()
}
