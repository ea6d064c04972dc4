package recoverer

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

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// ErrNotHeld is returned for a job that is not held and therefore cannot be settled.
var ErrNotHeld = errors.New("the job is not held")

// ErrNotReady is returned while this controller has not yet read all records.
var ErrNotReady = errors.New("not all records are read yet")

// maxHeldShown is the maximum number of held jobs in a status.
const maxHeldShown = 1000

// Status is the state of a recovery as shown to operators.
type Status struct {
	Phase    Phase                    `json:"phase"`
	Since    time.Time                `json:"since,omitzero"`
	Evidence map[detection.Kind]int   `json:"evidence"`
	Lost     int                      `json:"lost"`    // jobs with outdated or missing records
	ToWrite  int                      `json:"toWrite"` // records still to be written
	Written  map[recovery.Outcome]int `json:"written"`
	Adopting int                      `json:"adopting"` // jobs whose tasks are still being adopted
	Peers    []PeerStatus             `json:"peers,omitempty"`
	Held     int                      `json:"held"`
	HeldJobs []HeldStatus             `json:"heldJobs"` // the first maxHeldShown by job id
	Events   []Event                  `json:"events"`
	NotShown int                      `json:"notShown,omitempty"` // dropped earlier events
	Leader   string                   `json:"leader,omitempty"`   // leader to ask instead of this controller
}

// PeerStatus describes the progress of the current comparison with another controller.
type PeerStatus struct {
	Node  string `json:"node"`
	Heard bool   `json:"heard"`          // it has sent all its pages
	Gone  bool   `json:"gone,omitempty"` // no longer waited for
}

// HeldStatus describes a held job.
type HeldStatus struct {
	Job       string   `json:"job"`
	Why       string   `json:"why"`
	Said      []string `json:"said"`
	Described bool     `json:"described"`
	Running   []int    `json:"running,omitempty"`
	TasksDone []int    `json:"tasksDone,omitempty"`
	SinceMs   int64    `json:"sinceMs"`
}

// Status returns the state of the recovery.
func (r *Recoverer) Status() Status {
	status := Status{
		Phase: r.phase, Since: r.comparison.startedAt, Evidence: maps.Clone(r.evidence.counts),
		Lost: r.cfg.Cache.LostCount(), ToWrite: max(r.cfg.Cache.LostCount(), len(r.writeBack.queue)),
		Written: maps.Clone(r.writeBack.written), Adopting: len(r.adoption.jobs),
		Held: len(r.held.byID), HeldJobs: []HeldStatus{},
		Events: slices.Clone(r.events.events), NotShown: r.events.dropped,
	}
	for name, scan := range r.comparison.peers {
		status.Peers = append(status.Peers, PeerStatus{name, scan.done, scan.timedOut})
	}
	slices.SortFunc(status.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Node, b.Node) })
	ids := slices.Sorted(maps.Keys(r.held.byID))
	for _, id := range ids[:min(len(ids), maxHeldShown)] {
		job := r.held.byID[id]
		status.HeldJobs = append(status.HeldJobs, HeldStatus{
			Job: id, Why: job.reason, Said: job.known.Statements, Described: job.known.Spec != nil,
			Running: job.known.RunningTasks, TasksDone: job.known.CompletedTasks, SinceMs: job.heldSinceMs,
		})
	}
	return status
}

// Settle applies an operator's decision about a held job, unless that contradicts proof. It calls
// reply once, possibly from another goroutine: with nil once the job's record is durable, with
// ErrNotHeld, with an error that wraps recovery.ErrRefused, or with an error of the key-value
// store.
func (r *Recoverer) Settle(ctx context.Context, id string, as recovery.Settlement, now time.Time, reply func(error)) {
	job := r.held.byID[id]
	if job == nil {
		reply(ErrNotHeld)
		return
	}
	decision, err := recovery.Settle(job.known, as)
	if err != nil {
		reply(err)
		return
	}
	record := r.writeBack.buildRecord(id, job.known, decision, now)
	record.revision = job.revision
	slog.Info("job settled by an operator", "job", id, "term", r.cfg.token(), "as", string(as), "said", job.known.Provenance())
	r.events.add(now, "settled as "+string(as), id)
	go func() { reply(r.writeBack.commitSettled(ctx, record)) }()
}

// SnapshotRecord is a job's record in a snapshot.
type SnapshotRecord struct {
	ID     string          `json:"id"`
	Record json.RawMessage `json:"record"`
}

// ImportRequest is a part of a snapshot that is sent to the leader.
type ImportRequest struct {
	Cluster  string           `json:"cluster"`
	Revision uint64           `json:"revision"` // revision of the snapshot
	Jobs     []SnapshotRecord `json:"jobs"`
}

// ImportResult counts the jobs of a part of a snapshot by the result of their comparison.
type ImportResult struct {
	Same      int `json:"same"`      // jobs whose records say as much or more
	Missing   int `json:"missing"`   // jobs without a record
	Ended     int `json:"ended"`     // finished jobs with unfinished records
	Described int `json:"described"` // held jobs whose missing description the snapshot has
	Invalid   int `json:"invalid"`   // records that could not be decoded, or with an invalid job id
	// Contradicting counts jobs that are done in one of record and snapshot and cancelled in the
	// other. Their records are not changed.
	Contradicting int `json:"contradicting"`
}

// Add adds the counts of o to i.
func (i *ImportResult) Add(o ImportResult) {
	i.Same += o.Same
	i.Missing += o.Missing
	i.Ended += o.Ended
	i.Described += o.Described
	i.Invalid += o.Invalid
	i.Contradicting += o.Contradicting
}

// Import compares a part of a snapshot with the records and with what is known, and starts a
// recovery if records are missing or say less. It returns an error that wraps recovery.ErrRefused
// if the snapshot is of another deployment, and ErrNotReady before all records are read.
func (r *Recoverer) Import(in ImportRequest, now time.Time) (count ImportResult, err error) {
	if own := r.cfg.Settings.ClusterID(); in.Cluster != own {
		return count, fmt.Errorf("%w: the snapshot is of deployment %s, this is %s", recovery.ErrRefused, in.Cluster, own)
	}
	if !r.cfg.Cache.Readiness.InitialReadDone() {
		return count, ErrNotReady
	}
	for _, fact := range in.Jobs {
		record := decodeRecord(fact.Record)
		if record == nil || !jobs.ValidID(fact.ID) {
			count.Invalid++
			continue
		}
		r.importRecord(fact.ID, record, recovery.FromSnapshot(in.Revision), &count, now)
	}
	if count.Missing+count.Ended > 0 {
		r.ReportLoss(detection.Evidence{Kind: detection.FoundInSnapshot, Known: in.Revision}, now)
	}
	return count, nil
}

// importRecord compares a snapshot's record with what is known. However old the snapshot is, a job
// that is finished in it stays finished. Any other state only proves that the job was accepted.
func (r *Recoverer) importRecord(id string, record *jobs.Record, from recovery.Source, count *ImportResult, now time.Time) {
	snapshotKnowledge := recovery.Attribute(from, recovery.Knowledge{
		Done: record.State == jobs.Done, Cancelled: record.State == jobs.Cancelled,
		Spec: record.Description(), AcceptedAtMs: record.AcceptedAtMs, Tasks: record.Tasks,
	})
	known, found := r.cfg.Cache.Known(id)
	switch {
	case r.held.contains(id):
		r.importHeld(id, snapshotKnowledge, count)
	case !found:
		count.Missing++
		r.knowledge.lost.Merge(id, snapshotKnowledge)
	case record.Finished() && known.Finished() && known.State != record.State:
		// The state that users were told last stays. An operator has to find out which is right.
		count.Contradicting++
		slog.Error("snapshot contradicts a record", "job", id, "term", r.cfg.token(), "record", known.State, "snapshot", record.State)
		r.events.add(now, "snapshot contradicts the record", id)
	case record.Finished() && known.State != record.State:
		count.Ended++
		r.knowledge.lost.Merge(id, snapshotKnowledge)
	case r.cfg.Cache.RecordRevision(id) == 0:
		count.Missing++
		r.knowledge.lost.Merge(id, snapshotKnowledge)
		r.knowledge.addCached(id, recovery.FromCache(r.cfg.ControllerName), known.State, known.Tasks, nil)
	default:
		count.Same++
	}
}

// importHeld merges what a snapshot says into what is known about a held job. The job's record is
// written if that decides the job's outcome or adds its missing description.
func (r *Recoverer) importHeld(id string, snapshotKnowledge recovery.Knowledge, count *ImportResult) {
	job := r.held.byID[id]
	hadDescription := job.known.Spec != nil
	job.known = job.known.Join(snapshotKnowledge)
	switch {
	case recovery.Decide(job.known, true).Final():
		count.Ended++
	case !hadDescription && job.known.Spec != nil:
		count.Described++
	default:
		count.Same++
		return
	}
	r.writeBack.enqueue(id)
}
