package recoverer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/wirejson"
)

// recoveryWriteShare is the fraction of the leader's write rate that lost records may use.
const recoveryWriteShare = 0.25

// writeRank orders lost jobs for write-back. Finished jobs whose record says less come first,
// because every controller would show users the older state. Jobs that must not run, jobs that wait
// to run, and jobs that are done follow. A job that is queued outside of a comparison has the first
// rank.
type writeRank int

const (
	rankRolledBack writeRank = iota
	rankCancelled
	rankToRun
	rankDone
)

// writeBack writes the records of lost jobs, and of held jobs whose outcome has been decided.
type writeBack struct {
	cfg       *Config
	events    *eventLog
	committer *committer
	knowledge *knowledge
	held      *heldJobs

	queue              []string // jobs whose records are to be written
	ranks              map[string]writeRank
	finishedJobsCursor string // jobs up to this id have been considered by queueFinishedJobs
	written            map[recovery.Outcome]int
}

// lostRecord is a record to be written back.
type lostRecord struct {
	id       string
	decision recovery.Decision
	value    json.RawMessage
	revision uint64 // guard: revision of the stored record; 0 if there is none
}

func (w *writeBack) rankOf(id string, decision recovery.Decision) writeRank {
	switch {
	case decision.Final() && w.cfg.Cache.RecordRevision(id) != 0:
		return rankRolledBack
	case decision.State == jobs.Cancelled:
		return rankCancelled
	case !decision.Final():
		return rankToRun
	}
	return rankDone
}

// queueLostJobs queues all jobs that a comparison has found, ordered by rank.
func (w *writeBack) queueLostJobs() {
	w.queue = w.knowledge.lost.IDs()
	clear(w.ranks)
	w.finishedJobsCursor = ""
	for _, id := range w.queue {
		w.ranks[id] = w.rankOf(id, recovery.Decide(w.knowledge.lost[id], true))
	}
	slices.SortStableFunc(w.queue, func(a, b string) int { return cmp.Compare(w.ranks[a], w.ranks[b]) })
}

// queueFinishedJobs queues the next page of finished lost jobs about which nothing else has to be
// known. It reports whether there may be more.
func (w *writeBack) queueFinishedJobs() bool {
	page, more := w.cfg.Cache.LostPage(w.finishedJobsCursor, lostPageSize)
	for _, lost := range page {
		w.finishedJobsCursor = lost.ID
		// A job whose record now says less may have had no record during the comparison.
		recordFinished := lost.RecordedState == jobs.Done || lost.RecordedState == jobs.Cancelled
		if _, isPending := w.knowledge.lost[lost.ID]; isPending || recordFinished || !w.knowledge.isFinishedInCache(lost) {
			continue
		}
		w.knowledge.addCached(lost.ID, recovery.FromCache(w.cfg.ControllerName), lost.State, lost.Tasks, nil)
		w.ranks[lost.ID] = rankDone
		w.enqueue(lost.ID)
	}
	return more || len(page) > 0
}

// enqueue queues a job's record. Its content is determined only when it is written.
func (w *writeBack) enqueue(id string) { w.queue = append(w.queue, id) }

// nextRank returns the rank of the next job in the queue, or rankDone if the queue is empty.
func (w *writeBack) nextRank() writeRank {
	if len(w.queue) == 0 {
		return rankDone
	}
	return w.ranks[w.queue[0]]
}

// mayStillRestoreTasks reports whether jobs that are to run may still be written back.
func (w *writeBack) mayStillRestoreTasks() bool {
	return w.committer.inFlight || w.nextRank() <= rankToRun && len(w.queue) > 0
}

// buildRecord builds the record of a job from what is known about it.
func (w *writeBack) buildRecord(id string, known recovery.Knowledge, decision recovery.Decision, now time.Time) lostRecord {
	record := known.Record(decision, now.UnixMilli())
	if w.cfg.State.Jobs[id] != nil {
		record.Restored = false // this leader's assignment log has the job's tasks
	}
	lost := lostRecord{id: id, decision: decision, revision: w.cfg.Cache.RecordRevision(id)}
	if decision.Final() {
		lost.value = record.EncodeFinal(decision.State, w.cfg.Derived.Store.ValueBytes)
	} else {
		lost.value, _ = json.Marshal(record)
	}
	return lost
}

// writeNext starts writing the next batch, if a transaction may start. Each record is guarded by
// the revision of the stored one, and the batch by the term.
func (w *writeBack) writeNext(ctx context.Context, now time.Time) {
	if len(w.queue) == 0 || !w.committer.mayCommit(now) {
		return
	}
	if batch := w.takeBatch(now); len(batch) > 0 {
		w.commit(ctx, batch, now)
	}
}

// takeBatch removes as many records from the queue as fit into one transaction. It drops jobs
// whose record is up to date by now, and records that are too large for the store.
func (w *writeBack) takeBatch(now time.Time) (batch []lostRecord) {
	bytes := 0
	for len(w.queue) > 0 && len(batch) < max(1, w.cfg.Derived.Store.TxnOps/2) {
		id := w.queue[0]
		known, found := w.knowledge.refresh(id)
		if !found || w.knowledge.isRecordCurrent(id, known) {
			delete(w.knowledge.lost, id)
			w.queue = w.queue[1:]
			continue
		}
		lost := w.buildRecord(id, known, recovery.Decide(known, true), now)
		if len(batch) > 0 && bytes+len(lost.value) > transaction.MaxBytes {
			break
		}
		w.queue = w.queue[1:]
		if len(lost.value) > w.cfg.Derived.Store.ValueBytes {
			slog.Error("lost record too large to be written", "job", id, "bytes", len(lost.value))
			continue
		}
		bytes += len(lost.value)
		batch = append(batch, lost)
	}
	return batch
}

// commit writes a batch. It delays the next one so that the recovery keeps within its share of
// the write rate.
func (w *writeBack) commit(ctx context.Context, batch []lostRecord, now time.Time) {
	w.committer.inFlight = true
	writesPerSecond := recoveryWriteShare * settings.LeaderWriteShare * w.cfg.Settings.Deployment.Store.Effective().WriteRPS
	w.committer.notBefore = now.Add(time.Duration(float64(len(batch)) / writesPerSecond * float64(time.Second)))
	guards := []kvstore.Guard{w.committer.termGuard()}
	var writes []kvstore.Write
	for _, lost := range batch {
		key := jobs.RecordKey(lost.id)
		guards = append(guards, kvstore.Guard{Key: key, Revision: lost.revision})
		writes = append(writes, kvstore.Write{Set: key, Value: lost.value})
	}
	go func() {
		revision, failed, err := w.cfg.Store.Commit(ctx, guards, writes)
		found := w.readRecords(ctx, failed)
		w.cfg.Post(ctx, func(now time.Time) { w.handleCommit(batch, revision, failed, found, err, now) })
	}()
}

// readRecords returns, by job id, the records whose guards have failed. A record that cannot be
// read is left out, so that its job is tried again.
func (w *writeBack) readRecords(ctx context.Context, keys []string) map[string]kvstore.KeyValue {
	found := map[string]kvstore.KeyValue{}
	for _, key := range keys {
		if pair, _, err := w.cfg.Store.Get(ctx, key); err == nil && key != election.HolderKey {
			found[jobs.JobIDFromKey(key)] = pair
		}
	}
	return found
}

// handleCommit applies the outcome of a batch. A batch that was not executed, or whose outcome is
// unknown, is queued again. If it was executed after all, its guards fail on the next try, and the
// records read then decide.
func (w *writeBack) handleCommit(batch []lostRecord, revision uint64, failed []string, found map[string]kvstore.KeyValue, err error, now time.Time) {
	w.committer.inFlight = false
	if slices.Contains(failed, election.HolderKey) {
		w.committer.resign()
		return
	}
	if err == nil && len(failed) == 0 {
		for _, lost := range batch {
			w.recordWritten(lost, revision, now)
		}
		return
	}
	if err != nil {
		slog.Debug("failed to write lost records; retrying later", "term", w.cfg.token(), "reason", err)
		w.committer.retryLater(now)
	}
	for _, lost := range slices.Backward(batch) {
		if pair, read := found[lost.id]; read && w.reconcileStored(lost, pair) {
			delete(w.knowledge.lost, lost.id)
			continue
		}
		w.queue = slices.Insert(w.queue, 0, lost.id)
	}
}

// reconcileStored applies a stored record whose guard failed. It reports whether that record says
// as much as the one to be written, so that nothing has to be written any more.
func (w *writeBack) reconcileStored(lost lostRecord, stored kvstore.KeyValue) bool {
	if stored.Revision == 0 {
		w.cfg.Cache.MarkMissing(lost.id)
		return false
	}
	w.cfg.Cache.Apply(stored.Key, stored.Value, stored.Revision)
	var record jobs.Record
	if wirejson.Unmarshal(stored.Value, &record) != nil {
		return false // a record that cannot be decoded is overwritten, guarded by its revision
	}
	switch {
	case record.Finished():
		// If the stored state contradicts what is known, an operator has to see that.
		return record.State == lost.decision.State || !lost.decision.Final()
	case record.Held != nil:
		w.held.hold(lost.id, &record, stored.Revision)
		return lost.decision.Held
	}
	return !lost.decision.Final() // submitted again, or written back already
}

// recordWritten updates the recovery's and the leader's state for a record that is durable.
func (w *writeBack) recordWritten(lost lostRecord, revision uint64, now time.Time) {
	id, decision := lost.id, lost.decision
	w.written[decision.Outcome]++
	w.cfg.Cache.Apply(jobs.RecordKey(id), lost.value, revision)
	known, _ := w.knowledge.refresh(id)
	slog.Info("lost record written", "job", id, "term", w.cfg.token(), "outcome", string(decision.Outcome), "rule", string(decision.Rule), "said", known.Provenance())
	w.events.add(now, string(decision.Outcome), id)
	delete(w.knowledge.lost, id)
	delete(w.ranks, id)
	if decision.Held || decision.Outcome == recovery.Contradictory {
		w.held.byID[id] = &heldJob{revision: revision, reason: string(decision.Rule), heldSinceMs: now.UnixMilli(), known: known}
	}
	if !decision.Final() && !decision.Held {
		// The job's tasks must count from now on, not only once the watch delivers its record.
		w.cfg.Leader.JobChanged(kvstore.Change{Set: jobs.RecordKey(id), Value: lost.value, Revision: revision}, now)
	}
}

// commitSettled writes the record of a job that an operator has settled. It blocks for one
// request and does not run on the event loop.
func (w *writeBack) commitSettled(ctx context.Context, record lostRecord) error {
	key := jobs.RecordKey(record.id)
	guards := []kvstore.Guard{w.committer.termGuard(), {Key: key, Revision: record.revision}}
	revision, failed, err := w.cfg.Store.Commit(ctx, guards, []kvstore.Write{{Set: key, Value: record.value}})
	if err != nil {
		return err
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: its record has changed meanwhile", recovery.ErrRefused)
	}
	w.cfg.Cache.Apply(key, record.value, revision)
	return nil
}
