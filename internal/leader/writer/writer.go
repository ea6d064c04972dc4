// Package writer makes the leader's decisions durable: the assignment log, the completion of jobs
// and raises of the fencing token. At most one transaction is in flight. It is guarded by the term
// and by the revision of each key that it writes. docs/design.md has the rationale.
//
// A Writer must be used only on the leader's event loop. Transactions are sent by goroutines that
// post the outcome back to the event loop.
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

// Host is the interface to the rest of the leader.
type Host interface {
	// IsLeader reports whether leadership is held at this moment.
	IsLeader() bool
	// TokenRaised is called when a higher fencing token is durable.
	TokenRaised()
	// Resign ends the term.
	Resign()
	// Post runs a function on the event loop. It may be called from any goroutine.
	Post(ctx context.Context, apply func(now time.Time))
	// PostAfter runs a function on the event loop after a delay.
	PostAfter(ctx context.Context, delay time.Duration, apply func())
}

// Deps holds the dependencies of a Writer.
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

// Writer sends the leader's transactions, one at a time.
type Writer struct {
	Deps
	inFlight         bool
	storeUnavailable bool // the last transaction was not executed or its outcome is unknown
	lastStartedAt    time.Time
}

// New returns a Writer without a transaction in flight.
func New(deps Deps) *Writer { return &Writer{Deps: deps} }

// retriesPerRenewal is how many times a failed transaction is retried within one renewal interval
// of the term's lease.
const retriesPerRenewal = 4

// StoreUnavailable reports whether the last transaction was not executed or its outcome is unknown.
// A transaction that the key-value store rejects as invalid does not count.
func (w *Writer) StoreUnavailable() bool { return w.storeUnavailable }

// IsIdle reports whether no transaction is in flight and the log has nothing to write.
func (w *Writer) IsIdle() bool { return !w.inFlight && !w.Log.HasWork() }

// QueueLength returns the number of records that wait to be written.
func (w *Writer) QueueLength() int { return w.Jobs.CompletedCount() + w.Log.QueueLength() }

// WriteNext starts the next transaction if there is anything to write and the flush interval has
// elapsed.
func (w *Writer) WriteNext(ctx context.Context, now time.Time) {
	hasWork := w.Fencing.RaisePending || w.Jobs.HasCompleted() || w.Log.HasWork()
	if w.inFlight || !hasWork || now.Sub(w.lastStartedAt) < w.Derived.Leader.FlushInterval || !w.Host.IsLeader() {
		return
	}
	w.lastStartedAt = now
	batch := w.Compose()
	if len(batch.Writes) == 0 {
		return
	}
	w.inFlight = true
	go func() {
		revision, failedGuards, err := w.Store.Commit(ctx, batch.Guards, batch.Writes)
		w.Host.Post(ctx, func(time.Time) { w.HandleOutcome(ctx, batch, revision, failedGuards, err) })
	}()
}

// Compose builds the next transaction.
func (w *Writer) Compose() *transaction.Batch {
	batch := transaction.New()
	maxOps := w.Derived.Store.TxnOps
	w.Log.Grow(maxOps / 2)
	// The segments of a transaction of unknown outcome come before anything else.
	remainingOps := maxOps - w.Log.UnconfirmedSegments()
	if w.Fencing.RaisePending && remainingOps > 0 {
		w.addToken(batch)
		remainingOps--
	}
	// Completions of jobs take at most half of the remaining writes if the log has new entries.
	limit := len(batch.Writes) + remainingOps
	if w.Log.UnconfirmedSegments() == 0 && w.Log.HasNewEntries() {
		limit = len(batch.Writes) + max(1, remainingOps/2)
	}
	for w.Jobs.HasCompleted() && len(batch.Writes) < limit {
		w.addCompletion(batch, w.Jobs.TakeCompleted())
	}
	w.Log.AddSegments(batch, maxOps)
	batch.Guard(election.HolderKey, w.Term.HolderRevision)
	return batch
}

// addToken adds a write of a higher fencing token.
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
		// Either an earlier attempt of unknown outcome wrote the token, or the key was lost.
		w.Fencing.Current, w.Fencing.Revision = next, revision
		w.Host.TokenRaised()
	})
}

// addCompletion adds a write of the record of a completed job.
func (w *Writer) addCompletion(batch *transaction.Batch, job *cluster.Job) {
	if job.End.Cancelled {
		return // the user cancelled the job first
	}
	record := jobs.Record{Tasks: job.Spec.Tasks, Spec: job.Spec}
	value := record.EncodeFinal(jobs.Done, w.Derived.Store.ValueBytes)
	batch.Set(jobs.RecordKey(job.ID), job.Revision, value, func(uint64) {})
	batch.OnFailure(func() { w.Jobs.QueueCompleted(job) })
	batch.OnCommit(func(uint64) {
		slog.Debug("job completed", "job", job.ID, "term", w.Fencing.Current)
		w.Jobs.MarkCompletionDurable(job)
	})
}

// HandleOutcome processes the outcome of a transaction.
func (w *Writer) HandleOutcome(ctx context.Context, batch *transaction.Batch, revision uint64, failedGuards []string, err error) {
	// A transaction that is too large is not an outage. If it counted as one and nothing remained
	// to be written, the leader would never plan again.
	w.storeUnavailable = err != nil && !errors.Is(err, kvstore.ErrInvalidRequest)
	if err == nil && len(failedGuards) == 0 {
		w.inFlight = false
		w.HandleCommit(batch, revision)
		return
	}
	batch.Failed()
	if err != nil {
		w.handleFailure(ctx, batch, err)
		return
	}
	if slices.Contains(failedGuards, election.HolderKey) {
		// The term has ended. The elector detects that by itself. inFlight stays set, so that nothing
		// more is written.
		slog.Info("term lost", "term", w.Fencing.Current, "reason", "holder key changed")
		return
	}
	// Either an earlier transaction of this leader was executed after all, or a user cancelled a
	// job. Only keys that nobody else writes during this term are written again.
	slog.Debug("transaction guards failed", "term", w.Fencing.Current, "keys", failedGuards)
	go w.readConflicts(ctx, batch, failedGuards)
}

// handleFailure handles a transaction that was not executed or whose outcome is unknown.
func (w *Writer) handleFailure(ctx context.Context, batch *transaction.Batch, err error) {
	slog.Debug("records not written", "term", w.Fencing.Current, "reason", err)
	if !errors.Is(err, kvstore.ErrNotExecuted) {
		w.Log.MarkOutcomeUnknown()
	}
	if errors.Is(err, kvstore.ErrInvalidRequest) {
		w.handleRejection(batch, err)
	}
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) && !errors.Is(err, kvstore.ErrNotExecuted) {
		slog.Error("records not written", "term", w.Fencing.Current, "reason", err)
	}
	w.Host.PostAfter(ctx, w.Derived.Election.RenewInterval/retriesPerRenewal, func() { w.inFlight = false })
}

// HandleCommit processes a transaction that was executed.
func (w *Writer) HandleCommit(batch *transaction.Batch, revision uint64) {
	batch.Committed(revision)
	for _, event := range w.Log.TakeEvents() {
		switch event.Kind {
		case assignmentlog.StartDurable:
			w.Tasks.AssignmentDurable(event.Assignment)
		case assignmentlog.EndDurable:
			w.Tasks.Remove(event.Assignment)
		}
	}
}

// handleRejection handles a transaction that the key-value store rejects because its limits are
// lower than the settings say. The same transaction would be rejected forever and block all later
// writes, so the next one is made smaller.
func (w *Writer) handleRejection(batch *transaction.Batch, err error) {
	largest := 0
	for _, write := range batch.Writes {
		largest = max(largest, len(write.Value))
	}
	slog.Error("transaction rejected", "term", w.Fencing.Current, "writes", len(batch.Writes), "bytes", batch.Bytes, "largest", largest, "reason", err)
	if w.Log.OutcomeUnknown() {
		// An earlier transaction may still be executed, so its segments must be written again. Only
		// the end of the term guarantees that it is not executed.
		w.Host.Resign()
		return
	}
	w.Log.ShrinkSegments()
}
