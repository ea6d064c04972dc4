package leader

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// RecoveryStatus is what operators see of a recovery.
type RecoveryStatus struct {
	Phase     RecoveryPhase            `json:"phase"`
	Since     time.Time                `json:"since,omitzero"`
	Evidence  map[detection.Kind]int   `json:"evidence"`
	Lost      int                      `json:"lost"`    // jobs of which more is known than their records say
	ToWrite   int                      `json:"toWrite"` // records still to be written
	Written   map[recovery.Outcome]int `json:"written"`
	Adopting  int                      `json:"adopting"` // jobs whose tasks are still being heard of
	Peers     []PeerStatus             `json:"peers,omitempty"`
	Held      int                      `json:"held"`
	HeldJobs  []HeldStatus             `json:"heldJobs"` // the first of them
	Events    []RecoveryEvent          `json:"events"`
	NotShown  int                      `json:"notShown,omitempty"` // earlier events
	Following string                   `json:"leader,omitempty"`   // who to ask, where this node does not lead
}

// PeerStatus is whether another controller has been heard in the present comparison.
type PeerStatus struct {
	Node  string `json:"node"`
	Heard bool   `json:"heard"`
	Gone  bool   `json:"gone,omitempty"` // taken for gone
}

// HeldStatus is a job that is held.
type HeldStatus struct {
	Job       string   `json:"job"`
	Why       string   `json:"why"`
	Said      []string `json:"said"`
	Described bool     `json:"described"`
	Running   []int    `json:"running,omitempty"`
	TasksDone []int    `json:"tasksDone,omitempty"`
	SinceMs   int64    `json:"sinceMs"`
}

// mostHeldShown is how many held jobs a status shows.
const mostHeldShown = 1000

// ErrNotLeading means that this node does not lead, so that another has to be asked.
var ErrNotLeading = errors.New("this node does not lead")

// ErrNotHeld means that a job is not held, so that there is nothing to be settled.
var ErrNotHeld = errors.New("the job is not held")

// call has a question answered by the leader's goroutine.
func call[T any](ctx context.Context, g *Gate, answer func(l *Leader, now time.Time, reply func(T))) (out T, err error) {
	l := g.on.Load()
	if l == nil {
		return out, ErrNotLeading
	}
	replies := make(chan T, 1)
	select {
	case l.events <- func(now time.Time) { answer(l, now, func(v T) { replies <- v }) }:
	case <-l.quit:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
	select {
	case out = <-replies:
		return out, nil
	case <-l.quit:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
}

// Recovery returns the state of the recovery, from the leader on duty here.
func (g *Gate) Recovery(ctx context.Context) (RecoveryStatus, error) {
	return call(ctx, g, func(l *Leader, _ time.Time, reply func(RecoveryStatus)) { reply(l.recoveryStatus()) })
}

func (l *Leader) recoveryStatus() RecoveryStatus {
	s := RecoveryStatus{
		Phase: l.phase, Since: l.since, Evidence: maps.Clone(l.evidence), Lost: l.Cache.LostJobs(), ToWrite: max(l.Cache.LostJobs(), len(l.unwritten)),
		Written: maps.Clone(l.restored), Adopting: len(l.adopting), Held: len(l.held), HeldJobs: []HeldStatus{},
		Events: slices.Clone(l.history.events), NotShown: l.history.dropped,
	}
	for name, scan := range l.peers {
		s.Peers = append(s.Peers, PeerStatus{name, scan.done, scan.gone})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Node, b.Node) })
	ids := slices.Sorted(maps.Keys(l.held))
	for _, id := range ids[:min(len(ids), mostHeldShown)] {
		h := l.held[id]
		s.HeldJobs = append(s.HeldJobs, HeldStatus{
			Job: id, Why: h.why, Said: h.known.Statements, Described: h.known.Spec != nil,
			Running: h.known.RunningTasks, TasksDone: h.known.CompletedTasks, SinceMs: h.sinceMs,
		})
	}
	return s
}

// Settle decides a held job as an operator says, unless that contradicts proof.
func (g *Gate) Settle(ctx context.Context, id string, as recovery.Settlement) error {
	outcome, err := call(ctx, g, func(l *Leader, now time.Time, reply func(error)) { l.settle(ctx, id, as, now, reply) })
	return errors.Join(err, outcome)
}

func (l *Leader) settle(ctx context.Context, id string, as recovery.Settlement, now time.Time, reply func(error)) {
	h := l.held[id]
	if h == nil {
		reply(ErrNotHeld)
		return
	}
	d, err := recovery.Settle(h.known, as)
	if err != nil {
		reply(err)
		return
	}
	r := l.composeRecord(id, h.known, d, now)
	r.revision = h.revision
	slog.Info("job settled by an operator", "job", id, "term", l.token, "as", string(as), "said", h.known.Provenance())
	l.history.add(now, "settled as "+string(as), id)
	guards := []kvstore.Guard{{Key: election.HolderKey, Revision: l.term.Revision}, {Key: jobs.RecordKey(id), Revision: r.revision}}
	go func() {
		rev, failed, err := l.Store.Commit(ctx, guards, []kvstore.Write{{Set: jobs.RecordKey(id), Value: r.value}})
		if err == nil && len(failed) > 0 {
			err = fmt.Errorf("%w: its record has changed meanwhile", recovery.ErrRefused)
		}
		if err == nil {
			l.Cache.Set(jobs.RecordKey(id), r.value, rev)
		}
		reply(err)
	}()
}

// SnapshotFact is what a snapshot says of a job.
type SnapshotFact struct {
	ID     string          `json:"id"`
	Record json.RawMessage `json:"record"`
}

// Import is a part of a snapshot.
type Import struct {
	Cluster  string         `json:"cluster"`
	Revision uint64         `json:"revision"` // of the snapshot
	Jobs     []SnapshotFact `json:"jobs"`
}

// Imported counts what a part of a snapshot brought.
type Imported struct {
	Same      int `json:"same"`      // the records say as much, or more
	Missing   int `json:"missing"`   // jobs without a record
	Ended     int `json:"ended"`     // jobs that are over, and unfinished by their records
	Described int `json:"described"` // held jobs whose description it has
	Invalid   int `json:"invalid"`   // could not be read
	// Contradicting jobs are done by one, cancelled by the other. Nothing is changed.
	Contradicting int `json:"contradicting"`
}

// Add sums counts.
func (i *Imported) Add(o Imported) {
	i.Same += o.Same
	i.Missing += o.Missing
	i.Ended += o.Ended
	i.Described += o.Described
	i.Invalid += o.Invalid
	i.Contradicting += o.Contradicting
}

// ErrNotReady means that this node has not read all records yet.
var ErrNotReady = errors.New("not all records are read yet")

// Import takes in a part of a snapshot.
func (g *Gate) Import(ctx context.Context, in Import) (Imported, error) {
	type answer struct {
		Imported
		err error
	}
	out, err := call(ctx, g, func(l *Leader, now time.Time, reply func(answer)) {
		if own := l.Settings.ClusterID(); in.Cluster != own {
			reply(answer{err: fmt.Errorf("%w: the snapshot is of deployment %s, this is %s", recovery.ErrRefused, in.Cluster, own)})
			return
		}
		if !l.Cache.Listed() {
			reply(answer{err: ErrNotReady})
			return
		}
		reply(answer{Imported: l.importSnapshot(in, now)})
	})
	return out.Imported, errors.Join(err, out.err)
}

func (l *Leader) importSnapshot(in Import, now time.Time) (count Imported) {
	for _, f := range in.Jobs {
		rec := decodeRecord(f.Record)
		if rec == nil || !jobs.ValidID(f.ID) {
			count.Invalid++
			continue
		}
		l.importFact(f.ID, rec, recovery.FromSnapshot(in.Revision), &count, now)
	}
	if count.Missing+count.Ended > 0 {
		l.suspect(detection.Evidence{Kind: detection.Imported, Known: in.Revision}, now)
	}
	return count
}

// importFact compares a snapshot's record with what is known. An end in it is still one,
// however old it is; all else of it proves no more than that the job was accepted.
func (l *Leader) importFact(id string, rec *jobs.Record, from recovery.Source, count *Imported, now time.Time) {
	k := recovery.Knowledge{
		Done: rec.State == jobs.Done, Cancelled: rec.State == jobs.Cancelled,
		Spec: rec.Description(), AcceptedMs: rec.AtMs, Tasks: rec.Tasks,
	}
	known, found := l.Cache.Known(id)
	switch {
	case l.held[id] != nil:
		l.importHeld(id, recovery.Attribute(from, k), count)
	case !found:
		count.Missing++
		l.knowledge.Merge(id, recovery.Attribute(from, k))
	case rec.Over() && known.Over() && known.State != rec.State:
		// What users were told last stays; which of the two is right is for a person to see.
		count.Contradicting++
		slog.Error("snapshot contradicts a record", "job", id, "term", l.token, "record", known.State, "snapshot", rec.State)
		l.history.add(now, "snapshot contradicts the record", id)
	case rec.Over() && known.State != rec.State:
		count.Ended++
		l.knowledge.Merge(id, recovery.Attribute(from, k))
	case l.Cache.RecordRevision(id) == 0:
		count.Missing++
		l.knowledge.Merge(id, recovery.Attribute(from, k))
		l.learn(id, recovery.FromCache(l.Node), known.State, known.Tasks, nil)
	default:
		count.Same++
	}
}

// importHeld joins a snapshot's word to what is known of a held job. If that decides it,
// or brings its description, its record is written.
func (l *Leader) importHeld(id string, word recovery.Knowledge, count *Imported) {
	h := l.held[id]
	before := h.known
	h.known = before.Join(word)
	d := recovery.Decide(h.known, true)
	described := before.Spec == nil && h.known.Spec != nil
	switch {
	case d.Final():
		count.Ended++
	case described:
		count.Described++
	default:
		count.Same++
		return
	}
	l.unwritten = append(l.unwritten, id)
}
