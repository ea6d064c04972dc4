package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/workers"
)

// stray is a job of which workers have tasks and this leader knows nothing.
type stray struct {
	reading bool
	missing bool // it has no record
	next    time.Time
}

// mostStrayReads is how many records of such jobs are read at a time: after a loss there
// may be thousands.
const mostStrayReads = 4

// accountsFor tells whether a task that no assignment accounts for must be left alone,
// since its job, or its assignment, may have been lost.
func (l *Leader) accountsFor(m *machine, t *workers.TaskStatus) bool {
	id, n, ok := workers.SplitTask(t.Name)
	if !ok || !jobs.ValidID(id) {
		return false // no task of ours
	}
	if j := l.jobs[id]; j != nil {
		return l.adopting[j] && !j.over() && j.parts[n].machine == m
	}
	if known, found := l.Cache.Known(id); found && known.Over() {
		return false
	}
	if l.held[id] != nil {
		l.heldSeen(id, m, n, t)
		return true
	}
	return l.isLost(id, m, n, t)
}

// mayHaveTasks tells whether a machine may have tasks that no assignment accounts for: it is
// not given back as idle, or as one that never came up.
func (l *Leader) mayHaveTasks(m *machine) bool {
	if l.phase == Comparing || len(l.adopting) > 0 {
		return true
	}
	if len(l.held)+len(l.strays) == 0 {
		return false
	}
	if m.reported.IsZero() && time.Since(l.term.Since) < l.Derived.Workers.LeaseExpiry {
		return true // it may have tasks of held jobs, which the log does not name
	}
	for _, t := range m.reportedTasks {
		if id, _, ok := workers.SplitTask(t.Name); ok && (l.held[id] != nil || l.strays[id] != nil) {
			return true
		}
	}
	return false
}

// isLost finds out about a job that this leader does not know: its record is read. Until
// that is known, and if there is none, the task is left alone.
func (l *Leader) isLost(id string, m *machine, n int, t *workers.TaskStatus) bool {
	s := l.strays[id]
	if s == nil {
		s = &stray{}
		l.strays[id] = s
	}
	if s.missing {
		l.knowledge.Merge(id, wordOfWorker(m, n, t))
	}
	if now := time.Now(); !s.reading && !s.missing && !now.Before(s.next) && l.strayReads < mostStrayReads {
		s.reading, s.next = true, now.Add(l.Derived.Leader.ControlInterval)
		l.strayReads++
		go l.readStray(id, s, wordOfWorker(m, n, t))
	}
	return true
}

// wordOfWorker is what a worker's task proves.
func wordOfWorker(m *machine, n int, t *workers.TaskStatus) recovery.Knowledge {
	k := recovery.Knowledge{MinTasks: n + 1}
	switch {
	case t.State != workers.StateEnded:
		k.RunningTasks = []int{n}
	case t.Cause == workers.CauseDone:
		k.CompletedTasks = []int{n}
	}
	return recovery.Attribute(recovery.FromWorker(m.id), k)
}

func (l *Leader) readStray(id string, s *stray, word recovery.Knowledge) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Derived.Store.RequestTimeout)
	defer cancel()
	p, found, err := l.Store.Get(ctx, jobs.RecordKey(id))
	outcome := func(now time.Time) {
		s.reading = false
		l.strayReads--
		switch {
		case err != nil:
		case found:
			l.strayFound(id, p, now)
		case !s.missing:
			s.missing = true
			l.Cache.Missing(id)
			l.knowledge.Merge(id, word)
			l.suspect(detection.Evidence{Kind: detection.TaskUnknown, Key: id}, now)
		}
	}
	select {
	case l.events <- outcome:
	case <-l.quit:
	}
}

// strayFound takes in the record of a job that was not known here.
func (l *Leader) strayFound(id string, p kvstore.Pair, now time.Time) {
	delete(l.strays, id)
	l.Cache.Set(p.Key, p.Value, p.Revision)
	l.jobChanged(kvstore.Change{Set: p.Key, Value: p.Value, Revision: p.Revision}, now)
}

// heldJob is a job that is not run, as it is not certain that it should be.
type heldJob struct {
	revision uint64 // of its record
	why      string
	sinceMs  int64
	known    recovery.Knowledge
}

// hold takes in the record of a held job.
func (l *Leader) hold(id string, rec *jobs.Record, revision uint64) {
	old := l.held[id]
	if old != nil && old.revision >= revision {
		return
	}
	h := &heldJob{revision: revision, why: rec.Held.Reason, sinceMs: rec.Held.HeldMs}
	k := recovery.Knowledge{Spec: rec.Held.Spec, AcceptedMs: rec.Held.AtMs, Unfinished: rec.Held.Complete}
	if rec.Held.Spec != nil {
		k.Tasks = rec.Tasks
	} else {
		k.MinTasks = rec.Tasks
	}
	if rec.Held.Contradicts {
		k.Done, k.Cancelled = true, true
	}
	h.known = recovery.Attribute(recovery.FromService, k)
	if old != nil {
		h.known = h.known.Join(old.known)
	}
	l.held[id] = h
	delete(l.strays, id)
	slog.Info("job held", "job", id, "term", l.token, "reason", h.why)
}

// heldSeen takes in a worker's task of a held job. If that proves what was open, the
// job's record is written.
func (l *Leader) heldSeen(id string, m *machine, n int, t *workers.TaskStatus) {
	h := l.held[id]
	before := h.known
	h.known = before.Join(wordOfWorker(m, n, t))
	if len(h.known.CompletedTasks) == len(before.CompletedTasks) {
		return
	}
	if d := recovery.Decide(h.known, true); !d.Held {
		l.unwritten = append(l.unwritten, id)
	}
}

// runUncertain runs held jobs after the time that operators allow, if they do.
func (l *Leader) runUncertain(now time.Time) {
	after := l.Settings.Operator.RunUncertainAfterS
	if after <= 0 || l.phase != Whole || l.recording {
		return
	}
	for id, h := range l.held {
		if now.UnixMilli()-h.sinceMs < int64(after*1000) {
			continue
		}
		if _, err := recovery.Settle(h.known, recovery.SettleRun); err == nil {
			h.known.Unfinished = true
			l.unwritten = append(l.unwritten, id)
			slog.Info("uncertain job runs", "job", id, "term", l.token, "reason", "held for runUncertainAfterS")
		}
		h.sinceMs = now.UnixMilli()
	}
}
