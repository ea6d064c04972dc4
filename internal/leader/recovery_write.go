package leader

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery"
)

// recoveryShare is the part of the leader's writes that lost records may take.
const recoveryShare = 0.25

// leaderWriteShare is the part of all writes that the leader has, as node parts them.
const leaderWriteShare = 0.64

// writeRank orders lost jobs for writing: first those of which a record says less than users
// were told, as each node would tell it; then what must not run, what waits to run, and what
// is over by itself.
type writeRank int

const (
	rankPutBack writeRank = iota
	rankCancelled
	rankToRun
	rankOver
)

func (l *Leader) rankOf(id string, d recovery.Decision) writeRank {
	switch {
	case d.Final() && l.Cache.RecordRevision(id) != 0:
		return rankPutBack
	case d.State == jobs.Cancelled:
		return rankCancelled
	case !d.Final():
		return rankToRun
	}
	return rankOver
}

// queueDecided queues all jobs of the view for their records to be written.
func (l *Leader) queueDecided() {
	l.unwritten = l.knowledge.IDs()
	clear(l.ranks)
	l.plainAfter = ""
	for _, id := range l.unwritten {
		l.ranks[id] = l.rankOf(id, recovery.Decide(l.knowledge[id], true))
	}
	slices.SortStableFunc(l.unwritten, func(a, b string) int { return cmp.Compare(l.ranks[a], l.ranks[b]) })
}

// refill queues the next page of jobs that are over and of which nothing else has to be known,
// and tells whether there were any left.
func (l *Leader) refill() bool {
	page, more := l.Cache.Lost(l.plainAfter, lostPageRows)
	for _, lost := range page {
		l.plainAfter = lost.ID
		// One whose record says less may have been without any when it was compared.
		contradicted := lost.Found == jobs.Done || lost.Found == jobs.Cancelled
		if _, open := l.knowledge[lost.ID]; open || contradicted || !l.isOverHere(lost) {
			continue
		}
		l.learn(lost.ID, recovery.FromCache(l.Node), lost.State, lost.Tasks, nil)
		l.ranks[lost.ID] = rankOver
		l.unwritten = append(l.unwritten, lost.ID)
	}
	return more || len(page) > 0
}

// leastRank is the rank of what is to be written next.
func (l *Leader) leastRank() writeRank {
	if len(l.unwritten) == 0 {
		return rankOver
	}
	return l.ranks[l.unwritten[0]]
}

// lostRecord is a record that is being written back.
type lostRecord struct {
	id       string
	decision recovery.Decision
	value    json.RawMessage
	revision uint64 // guard: of the record as it stands; 0 if there is none
}

// composeRecord makes a job's record of what is known of it.
func (l *Leader) composeRecord(id string, k recovery.Knowledge, d recovery.Decision, now time.Time) lostRecord {
	rec := k.Record(d, now.UnixMilli())
	if l.jobs[id] != nil {
		rec.Restored = false // this leader's log has its tasks
	}
	r := lostRecord{id: id, decision: d, revision: l.Cache.RecordRevision(id)}
	if d.Final() {
		r.value = rec.Ended(d.State, l.Derived.Store.ValueBytes)
	} else {
		r.value, _ = json.Marshal(rec)
	}
	return r
}

// writeBack writes the next lost records. Each is guarded by what stands there, and all
// by the term.
func (l *Leader) writeBack(ctx context.Context, now time.Time) {
	if len(l.unwritten) == 0 || l.recording || now.Before(l.recordAt) || !l.Valid() {
		return
	}
	var batch []lostRecord
	bytes := 0
	for len(l.unwritten) > 0 && len(batch) < max(1, l.Derived.Store.TxnOps/2) {
		id := l.unwritten[0]
		k, known := l.knowledgeOf(id)
		if !known || l.isBack(id, k) {
			delete(l.knowledge, id)
			l.unwritten = l.unwritten[1:]
			continue
		}
		r := l.composeRecord(id, k, recovery.Decide(k, true), now)
		if len(batch) > 0 && bytes+len(r.value) > txnBytes {
			break
		}
		l.unwritten = l.unwritten[1:]
		if len(r.value) > l.Derived.Store.ValueBytes {
			slog.Error("lost record too large to be written", "job", id, "bytes", len(r.value))
			continue
		}
		bytes += len(r.value)
		batch = append(batch, r)
	}
	if len(batch) > 0 {
		l.commitRecords(ctx, batch, now)
	}
}

// isBack tells whether a job's record is there again and says as much as is known: its user
// may have cancelled it, or submitted it again, meanwhile.
func (l *Leader) isBack(id string, k recovery.Knowledge) bool {
	known, _ := l.Cache.Known(id)
	return l.held[id] == nil && l.Cache.RecordRevision(id) != 0 && !l.Cache.IsLost(id) && known.State == recovery.Decide(k, true).State
}

// knowledgeOf returns what is known of a job that is to be written, with what this node has
// learnt of it by now.
func (l *Leader) knowledgeOf(id string) (recovery.Knowledge, bool) {
	if now, found := l.Cache.Known(id); found && now.Over() {
		l.learn(id, recovery.FromCache(l.Node), now.State, now.Tasks, nil)
	}
	if h := l.held[id]; h != nil {
		return h.known.Join(l.knowledge[id]), true
	}
	k, known := l.knowledge[id]
	return k, known
}

func (l *Leader) commitRecords(ctx context.Context, batch []lostRecord, now time.Time) {
	l.recording = true
	perSecond := recoveryShare * leaderWriteShare * l.Settings.Deployment.Store.Effective().WriteRPS
	l.recordAt = now.Add(time.Duration(float64(len(batch)) / perSecond * float64(time.Second)))
	guards := []kvstore.Guard{{Key: election.HolderKey, Revision: l.term.Revision}}
	var writes []kvstore.Write
	for _, r := range batch {
		guards = append(guards, kvstore.Guard{Key: jobs.RecordKey(r.id), Revision: r.revision})
		writes = append(writes, kvstore.Write{Set: jobs.RecordKey(r.id), Value: r.value})
	}
	go func() {
		rev, failed, err := l.Store.Commit(ctx, guards, writes)
		found := l.readRecords(ctx, failed)
		l.post(ctx, func(now time.Time) { l.recordsWritten(batch, rev, failed, found, err, now) })
	}()
}

// readRecords reads the records whose guards have failed. One that cannot be read stays
// unknown, and is tried again.
func (l *Leader) readRecords(ctx context.Context, keys []string) map[string]kvstore.Pair {
	found := map[string]kvstore.Pair{}
	for _, key := range keys {
		if p, _, err := l.Store.Get(ctx, key); err == nil && key != election.HolderKey {
			found[jobs.IDOf(key)] = p
		}
	}
	return found
}

// recordsWritten takes in the outcome. What was not executed, or may not have been, is
// queued again: if it was, its guard fails, and what is read then settles it.
func (l *Leader) recordsWritten(batch []lostRecord, rev uint64, failed []string, found map[string]kvstore.Pair, err error, now time.Time) {
	l.recording = false
	if slices.Contains(failed, election.HolderKey) {
		slog.Info("term lost", "term", l.token, "reason", "holder key changed")
		l.resign = true
		return
	}
	if err == nil && len(failed) == 0 {
		for _, r := range batch {
			l.recordWritten(r, rev, now)
		}
		return
	}
	if err != nil {
		slog.Debug("lost records not written", "term", l.token, "reason", err)
		l.recordAt = now.Add(l.Derived.Election.RenewInterval)
	}
	for _, r := range slices.Backward(batch) {
		if p, read := found[r.id]; read && l.standsAlready(r, p) {
			delete(l.knowledge, r.id)
			continue
		}
		l.unwritten = slices.Insert(l.unwritten, 0, r.id)
	}
}

// standsAlready takes in a record that was not as expected, and tells whether it needs no
// writing any more: it says as much as what would be written.
func (l *Leader) standsAlready(r lostRecord, p kvstore.Pair) bool {
	if p.Revision == 0 {
		l.Cache.Missing(r.id)
		return false
	}
	l.Cache.Set(p.Key, p.Value, p.Revision)
	var rec jobs.Record
	if jsonv2.Unmarshal(p.Value, &rec) != nil {
		return false // what cannot be read is written over, by its revision
	}
	switch {
	case rec.Over():
		// Another end than what is known is for an operator to see.
		return rec.State == r.decision.State || !r.decision.Final()
	case rec.Held != nil:
		l.hold(r.id, &rec, p.Revision)
		return r.decision.Held
	}
	return !r.decision.Final() // accepted anew, or written back already
}

func (l *Leader) recordWritten(r lostRecord, rev uint64, now time.Time) {
	l.restored[r.decision.Outcome]++
	l.Cache.Set(jobs.RecordKey(r.id), r.value, rev)
	k, _ := l.knowledgeOf(r.id)
	slog.Info("lost record written", "job", r.id, "term", l.token, "outcome", string(r.decision.Outcome), "rule", string(r.decision.Rule), "said", k.Provenance())
	l.history.add(now, string(r.decision.Outcome), r.id)
	delete(l.knowledge, r.id)
	delete(l.ranks, r.id)
	if r.decision.Held || r.decision.Outcome == recovery.Contradictory {
		l.held[r.id] = &heldJob{revision: rev, why: string(r.decision.Rule), sinceMs: now.UnixMilli(), known: k}
	}
	if !r.decision.Final() && !r.decision.Held {
		// Its tasks count from now on, not only when the watch shows its record.
		l.jobChanged(kvstore.Change{Set: jobs.RecordKey(r.id), Value: r.value, Revision: rev}, now)
	}
}

// writeStatus leaves word that records are being compared, before anything else is done.
func (l *Leader) writeStatus(ctx context.Context, now time.Time) {
	if l.marked || l.recording || now.Before(l.recordAt) || !l.Valid() {
		return
	}
	value, _ := json.Marshal(recoveryStatus{Token: l.term.Token, SinceMs: now.UnixMilli(), Log: l.affectsLog || l.logDamaged})
	l.commitStatus(ctx, kvstore.Write{Set: jobs.RecoveryStatusKey, Value: value}, true)
}

func (l *Leader) removeStatus(ctx context.Context, now time.Time) {
	if !l.unmark || l.recording || now.Before(l.recordAt) || len(l.adopting) > 0 || l.log.waiting() || !l.Valid() {
		return // tasks that were adopted are durable first
	}
	l.commitStatus(ctx, kvstore.Write{Remove: jobs.RecoveryStatusKey}, false)
}

func (l *Leader) commitStatus(ctx context.Context, w kvstore.Write, marked bool) {
	l.commitKey(ctx, w, func() {
		l.marked = marked
		l.unmark = l.unmark && marked
	})
}

// writeLogSize keeps the key that says how many segments there are. A lease is long enough
// between two writes: the log grows seldom.
func (l *Leader) writeLogSize(ctx context.Context, now time.Time) {
	if l.recording || now.Sub(l.logSizeAt) < l.Derived.Workers.Lease || !l.Valid() {
		return
	}
	written := 0
	for _, p := range l.log.segments {
		if p.revision != 0 {
			written++
		}
	}
	if written <= l.logSize {
		return
	}
	l.logSizeAt = now
	value, _ := json.Marshal(written)
	l.commitKey(ctx, kvstore.Write{Set: logSizeKey, Value: value}, func() { l.logSize = written })
}

// commitKey writes one key of the recovery's own, guarded by the term.
func (l *Leader) commitKey(ctx context.Context, w kvstore.Write, written func()) {
	l.recording = true
	guards := []kvstore.Guard{{Key: election.HolderKey, Revision: l.term.Revision}}
	go func() {
		_, failed, err := l.Store.Commit(ctx, guards, []kvstore.Write{w})
		l.post(ctx, func(now time.Time) {
			l.recording = false
			switch {
			case len(failed) > 0:
				slog.Info("term lost", "term", l.token, "reason", "holder key changed")
				l.resign = true
			case err != nil:
				l.recordAt = now.Add(l.Derived.Election.RenewInterval)
			default:
				written()
			}
		})
	}()
}
