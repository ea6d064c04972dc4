package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// lostPageRows is how many lost jobs are taken in at a time, here and from a peer.
const lostPageRows = 500

// peerScan is how far one controller's knowledge has been taken in.
type peerScan struct {
	after string
	busy  bool
	done  bool
	gone  bool // it has not answered for too long
	next  time.Time
}

// compareOwn takes in a page of what this node's cache knows beyond the records.
func (l *Leader) compareOwn() {
	if l.ownDone || !l.Cache.Verified(l.ticket) {
		return
	}
	page, more := l.Cache.Lost(l.ownAfter, lostPageRows)
	for _, lost := range page {
		l.ownAfter = lost.ID
		if l.isPlain(lost) {
			continue // it is written from the cache: see refill
		}
		l.learnOwn(lost.ID)
		l.learn(lost.ID, recovery.FromCache(l.Node), lost.State, lost.Tasks, decodeRecord(l.Cache.Unfinished(lost.ID)))
	}
	l.ownDone = !more
}

// isPlain tells whether nothing needs to be known of a lost job but that it is over, as this
// node's cache has it. There may be hundreds of thousands of those.
func (l *Leader) isPlain(lost jobs.Lost) bool {
	return lost.Found == "" && l.isOverHere(lost)
}

// isOverHere tells whether a lost job is over, as this node's cache has it, and this leader
// has nothing else to do with it.
func (l *Leader) isOverHere(lost jobs.Lost) bool {
	over := lost.State == jobs.Done || lost.State == jobs.Cancelled
	return over && l.jobs[lost.ID] == nil && l.held[lost.ID] == nil
}

// knownAlike tells whether a peer says no more of a job than this node's cache, which has it
// as over.
func (l *Leader) knownAlike(j peer.LostJob) bool {
	known, _ := l.Cache.Known(j.ID)
	_, open := l.knowledge[j.ID]
	return !open && known.Over() && known.State == j.State && l.jobs[j.ID] == nil
}

// learnOwn takes in what this leader's own picture says of a lost job.
func (l *Leader) learnOwn(id string) {
	j := l.jobs[id]
	if j == nil {
		return
	}
	k := recovery.Knowledge{Done: j.recorded, Cancelled: j.cancelled, Unfinished: !j.over(), Spec: j.spec, AtMs: j.atMs}
	if j.final && !j.recorded {
		for n := range j.spec.Tasks { // its end is not written: until then it may be cancelled
			k.TasksDone = append(k.TasksDone, n)
		}
	}
	if j.endedAs != "" {
		k = recovery.Knowledge{Done: j.endedAs == jobs.Done, Cancelled: j.endedAs == jobs.Cancelled}
	}
	l.knowledge.Add(id, recovery.Says(recovery.FromLeader, k))
}

// learn takes in what a controller's cache says of a lost job, and the record of it that
// the controller has, if it has one.
func (l *Leader) learn(id string, from recovery.Source, state string, tasks int, rec *jobs.Record) {
	k := recovery.Knowledge{Tasks: tasks}
	switch state {
	case jobs.Done:
		k.Done = true
	case jobs.Cancelled:
		k.Cancelled = true
	case jobs.Queued:
		k.Unfinished = true
	}
	if rec != nil {
		k.Spec, k.AtMs = rec.Spec, rec.AtMs
	}
	l.knowledge.Add(id, recovery.Says(from, k))
	// Whatever else is not certain yet: what is over stops at once.
	switch j := l.jobs[id]; {
	case j == nil || j.over():
	case k.Cancelled:
		l.cancelled(j, j.revision)
	case k.Done:
		l.doneElsewhere(j)
	}
}

// comparePeers goes on asking the other controllers, one page at a time each.
func (l *Leader) comparePeers(ctx context.Context, now time.Time) {
	for _, name := range l.Peers.Peers() {
		scan := l.peers[name]
		if scan == nil {
			scan = &peerScan{}
			l.peers[name] = scan
		}
		if scan.busy || scan.done || now.Before(scan.next) {
			continue
		}
		if !scan.gone && now.Sub(l.since) > l.Derived.Cancel {
			scan.gone = true
			slog.Info("controller not heard, taken for gone", "term", l.token, "peer", name)
			l.history.add(now, "peer not heard", name)
		}
		if scan.gone {
			continue
		}
		scan.busy = true
		question := peer.LostJobsRequest{ComparisonRound: l.round, AfterID: scan.after}
		go func() {
			try, cancel := context.WithTimeout(ctx, l.Derived.TermLease)
			defer cancel()
			page, err := l.Peers.RequestLostJobs(try, name, question)
			l.post(ctx, func(now time.Time) { l.peerAnswered(name, scan, page, err, now) })
		}()
	}
}

func (l *Leader) peerAnswered(name string, scan *peerScan, page peer.LostJobsResponse, err error, now time.Time) {
	scan.busy = false
	if l.peers[name] != scan {
		return // of an earlier round
	}
	if err != nil || !page.Compared {
		scan.next = now.Add(l.Derived.ControlInterval / 2)
		return
	}
	for _, j := range page.Jobs {
		if !jobs.ValidID(j.ID) {
			slog.Error("peer names a job that cannot be", "peer", name, "job", j.ID)
			continue
		}
		scan.after = j.ID
		if l.knownAlike(j) {
			continue
		}
		l.learnOwn(j.ID)
		l.learn(j.ID, recovery.FromCache(name), j.State, j.Tasks, decodeRecord(j.Record))
	}
	scan.done = !page.More
}

// decodeRecord reads a record that a controller has; nil if there is none.
func decodeRecord(raw []byte) *jobs.Record {
	var rec jobs.Record
	if len(raw) == 0 || jsonv2.Unmarshal(raw, &rec) != nil {
		return nil
	}
	return &rec
}

func (l *Leader) allPeersHeard(now time.Time) bool {
	for _, name := range l.Peers.Peers() {
		if scan := l.peers[name]; scan == nil || !scan.done && !scan.gone {
			return false
		}
	}
	return true
}

// mostSettling is how long a leader whose node has just begun places nothing, while that
// finds out whether the others know more than the records say. Answers come within
// milliseconds; those of an earlier version do not come.
func mostSettling(d settings.Derived) time.Duration { return 2 * d.TermRenew }

// settling tells whether this leader still waits for that.
func (l *Leader) settling(now time.Time) bool {
	return l.fresh && !l.Cache.Settled() && now.Sub(l.term.Since) < mostSettling(l.Derived)
}

// endSettling ends the wait: nobody leads who could know more.
func (l *Leader) endSettling(now time.Time) {
	if l.fresh && !l.settling(now) {
		l.fresh = false
		l.Cache.BeSure()
		l.replan = true
	}
}

// recoveryStatus is what a leader leaves for the next one, and for nodes that start, while
// it compares and writes back.
type recoveryStatus struct {
	Token   uint64 `json:"token"`
	SinceMs int64  `json:"sinceMs"`
	Log     bool   `json:"log"` // the assignment log may lack tasks
}

// logSizeKey tells how many segments the assignment log had when last looked at. It never
// gets smaller: fewer segments mean that some were lost. Each leader keeps it, at the cost
// of a change whenever the log has grown.
const logSizeKey = "recovery/log"

// readRecoveryKeys reads what earlier leaders have left: whether one of them was at it,
// and how many segments there were.
func (l *Leader) readRecoveryKeys(ctx context.Context, now time.Time) error {
	pairs, _, err := l.Store.List(ctx, recoveryPrefix)
	if err != nil {
		return err
	}
	for _, p := range pairs {
		switch p.Key {
		case jobs.RecoveryStatusKey:
			l.readStatus(p, now)
		case logSizeKey:
			if err := json.Unmarshal(p.Value, &l.logSize); err != nil {
				slog.Error("size of the assignment log unreadable", "reason", err)
			}
		}
	}
	if l.phase == Whole && (l.Cache.Suspected() || l.Cache.LostJobs() > 0) {
		// Something was noticed while nobody led.
		l.expectTasks(now)
		l.suspect(detection.Loss{Kind: detection.Earlier}, now)
	}
	return nil
}

func (l *Leader) readStatus(p kvstore.Pair, now time.Time) {
	var was recoveryStatus
	if err := json.Unmarshal(p.Value, &was); err != nil {
		slog.Error("recovery status unreadable", "reason", err)
		was.Log = true
	}
	if was.Log {
		l.expectTasks(now)
	}
	l.suspect(detection.Loss{Kind: detection.Earlier, Known: was.Token}, now)
}

// checkRecords compares the records that a new leader has read with what this node knew
// before, and with the jobs that the log names. No record is ever removed.
func (l *Leader) checkRecords(log []segmentRecord, ended map[string]kvstore.Pair, known, listed int, now time.Time) {
	if listed < known {
		l.expectTasks(now)
		l.suspect(detection.Loss{Kind: detection.RecordMissing, Known: uint64(known), Found: uint64(listed)}, now)
	}
	for id := range jobsNamed(log) {
		if _, recorded := ended[id]; !recorded && l.jobs[id] == nil && l.held[id] == nil {
			l.expectTasks(now)
			l.suspect(detection.Loss{Kind: detection.RecordMissing, Key: jobs.RecordKey(id)}, now)
		}
	}
}

// learnFromLog takes in a task of a job without a record. That it has no place in the log
// any more is made good when the job's record is back: workers show what they have of it.
func (l *Leader) learnFromLog(t taskRecord) {
	if l.held[t.Job] == nil {
		l.knowledge.Add(t.Job, recovery.Says(recovery.FromLog, recovery.Knowledge{LeastTasks: t.N + 1}))
	}
}

// expectTasks takes in that machines may have tasks that the assignment log does not name:
// until every lease from before this term has ended, nothing of earlier jobs is placed.
func (l *Leader) expectTasks(now time.Time) {
	l.affectsLog = true
	l.workersBy = now.Add(l.Derived.LeaseOver)
}

// checkLog looks for holes in the log that a new leader has read.
func (l *Leader) checkLog(log []segmentRecord, now time.Time) {
	var segments []detection.Segment
	first := len(l.log.segments) - len(log)
	newest := uint64(0)
	for i, rec := range log {
		segments = append(segments, detection.Segment{Key: l.log.segments[first+i].key, Number: rec.Number, Broken: rec.broken})
		for _, b := range rec.Begun {
			for _, t := range b.Tasks {
				newest = max(newest, t.Attempt)
			}
		}
	}
	if len(log) < l.logSize {
		l.expectTasks(now)
		l.suspect(detection.Loss{Kind: detection.SegmentMissing, Key: logPrefix, Known: uint64(l.logSize), Found: uint64(len(log))}, now)
	}
	for _, e := range detection.CheckRing(logPrefix, segments) {
		l.expectTasks(now)
		l.suspect(e, now)
	}
	l.attempts = max(l.attempts, newest)
	if token := detection.TokenOfAttempt(newest, attemptBits); token > l.token {
		l.expectTasks(now)
		l.tokenFloor, l.raiseToken = max(l.tokenFloor, token), true
		l.suspect(detection.Loss{Kind: detection.TokenBack, Key: election.TokenKey, Known: token, Found: l.token}, now)
	}
}

// checkSegment looks at a key whose revision was not as this leader wrote it. Without a
// transaction of unknown outcome, only a loss explains that.
func (l *Leader) checkSegment(key string, p kvstore.Pair) {
	if !strings.HasPrefix(key, logPrefix) || l.log.open {
		return
	}
	kind := detection.SegmentOlder
	if p.Revision == 0 {
		kind = detection.SegmentMissing
	}
	l.suspect(detection.Loss{Kind: kind, Key: key, Found: p.Revision}, time.Now())
}
