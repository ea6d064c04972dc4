package leader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/leader/writer"
	"ospreyslip/internal/liveness"
)

// segmentStore is a key-value store that holds segments of the assignment log, and fails the test
// if a transaction exceeds its limits.
type segmentStore struct {
	t             *testing.T
	keys          map[string]kvstore.KeyValue
	revision      uint64 // of the last transaction
	maxValueBytes int
	maxOps        int // writes in a transaction
}

// apply carries out a transaction, or returns the guards that failed.
func (s *segmentStore) apply(batch *transaction.Batch) (failed []string) {
	for _, g := range batch.Guards {
		if s.keys[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	if len(batch.Writes) > s.maxOps {
		s.t.Fatalf("%d writes in a transaction, %d are allowed", len(batch.Writes), s.maxOps)
	}
	s.revision++
	for _, w := range batch.Writes {
		if len(w.Value) > s.maxValueBytes {
			s.t.Fatalf("%s is written with %d bytes, %d are allowed", w.Set, len(w.Value), s.maxValueBytes)
		}
		s.keys[w.Set] = kvstore.KeyValue{Key: w.Set, Value: w.Value, Revision: s.revision}
	}
	return nil
}

// pairs returns all segments, in no order.
func (s *segmentStore) pairs() (out []kvstore.KeyValue) {
	for _, p := range s.keys {
		out = append(out, p)
	}
	return out
}

// newLeaderFromLog makes a leader under a token that has read the stored segments, with the given
// jobs and the limits of the store.
func newLeaderFromLog(store *segmentStore, token uint64, specs []*jobs.Spec) *Leader {
	leader, m, _, now := newTestLeader()
	leader.tasks.EndAllOn(m, "not of this test")
	leader.state.Jobs, leader.state.Machines, leader.planner.Capacity = map[string]*cluster.Job{}, cluster.NewMachineSet(), planner.NewCapacity(leader.catalog.Type)
	*leader.detector = *liveness.New(liveness.Config{})
	leader.fencing.Current = token
	*leader.tasks = *tasks.NewManager(leader.tasks.Deps, token<<24)
	leader.Derived.Store.ValueBytes, leader.Derived.Store.TxnOps = store.maxValueBytes, store.maxOps
	leader.writer = writer.New(writerDeps(leader))
	for i, spec := range specs {
		leader.state.Jobs[spec.ID] = cluster.NewJob(spec.ID, spec, uint64(i+1), 0, now)
	}
	newLoader(leader).Restore(leader.readLog(store.pairs()), nil, now)
	return leader
}

// durableRecords describes what a leader knows to be in the assignment log, sorted: the durable
// assignments, and the completions of tasks.
func durableRecords(l *Leader) (out []string) {
	for _, m := range l.state.Machines.All {
		for _, a := range m.Assignments {
			if a.Log.Durable {
				out = append(out, fmt.Sprint(a.TaskName(), " ", a.Attempt, " on ", m.ID, " ", a.Session))
			}
		}
	}
	slices.Sort(out)
	for _, j := range l.state.Jobs {
		for n := range j.Spec.Tasks {
			if ch := j.Completions.Chunks[n/l.Derived.Store.ChunkTasks]; j.IsTaskDone(n) && ch != nil && ch.Saved && !ch.Dirty {
				out = append(out, fmt.Sprintf("done %s/%05d", j.ID, n))
			}
		}
	}
	slices.Sort(out)
	return out
}

// logHistory is what befalls an assignment log, one transaction after the other.
type logHistory struct {
	t      *testing.T
	random *rand.Rand
	store  *segmentStore
	specs  []*jobs.Spec
	leader *Leader
	token  uint64
}

// replaceLeader has the next leader go on with the log.
func (h *logHistory) replaceLeader() {
	h.token++
	h.leader = newLeaderFromLog(h.store, h.token, h.specs)
}

// write sends a transaction, of which the answer may be lost, and tells whether what is durable
// is known: it was executed, or nothing was durable before.
func (h *logHistory) write(batch *transaction.Batch) (known bool) {
	before := durableRecords(h.leader)
	switch failed := h.store.apply(batch); {
	case h.random.IntN(8) == 0: // its answer is lost
		batch.Failed()
		h.leader.log.MarkOutcomeUnknown()
		if h.random.IntN(2) == 0 { // and so is the leader
			h.replaceLeader()
		}
	case len(failed) > 0:
		batch.Failed()
		for _, key := range failed {
			h.leader.writer.ApplyConflict(batch, key, h.store.keys[key])
		}
	default:
		h.leader.writer.Committed(batch, h.store.revision)
		return true
	}
	return before == nil
}

// requireKeysWithoutGaps fails if the segments are not numbered from 0.
func (h *logHistory) requireKeysWithoutGaps(step int) {
	h.t.Helper()
	for i := range len(h.store.keys) {
		if _, ok := h.store.keys[fmt.Sprint(assignmentlog.Prefix, i)]; !ok {
			h.t.Fatalf("step %d: of %d segments, none is called %d", step, len(h.store.keys), i)
		}
	}
}

// requireReadable fails if version 0.3.0 or the next leader reads something else than is durable.
func (h *logHistory) requireReadable(step int) {
	h.t.Helper()
	durable := durableRecords(h.leader)
	if d := cmp.Diff(durable, readAsVersion030(h.t, h.store.pairs(), h.leader.Derived.Store.ChunkTasks)); d != "" {
		h.t.Fatalf("step %d, what production reads: %s", step, d)
	}
	next := newLeaderFromLog(h.store, h.token+1, h.specs)
	if d := cmp.Diff(durable, durableRecords(next)); d != "" {
		h.t.Fatalf("step %d, what the next leader reads: %s", step, d)
	}
	for _, a := range next.state.Jobs["j-3"].Assignments {
		if a.GangAttempt != 7 {
			h.t.Fatalf("step %d: %s has lost its gang", step, a.TaskName())
		}
	}
}

// Whatever the history, the sizes of segments, old and new, and the fate of single
// transactions: a new leader finds what was durable, no end undone and nothing lost,
// after each of them.
func TestLogOverMixedSegmentSizes(t *testing.T) {
	const limitsFallAt, steps = 60, 240
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			discardLogs(t)
			h := &logHistory{
				t: t, random: rand.New(rand.NewPCG(seed, 7)),
				store: &segmentStore{t: t, keys: map[string]kvstore.KeyValue{}, maxValueBytes: 32 << 10, maxOps: 12},
				specs: []*jobs.Spec{
					{ID: "j-1", Team: "red", Shape: jobs.Batch, Tasks: 3000, CPUs: 1},
					{ID: "j-2", Team: "red", Shape: jobs.Service, Tasks: 900, CPUs: 1},
					{ID: "j-3", Team: "red", Shape: jobs.Gang, Tasks: 200, CPUs: 1},
				},
			}
			h.replaceLeader()
			for step := range steps {
				if step == limitsFallAt {
					// As production wrote them, the segments are full by now. The limits fall.
					h.store.maxValueBytes, h.store.maxOps = 2<<10, 4
					h.replaceLeader()
				}
				startAndEndTasks(h.leader, h.random)
				if step < limitsFallAt {
					startAndEndTasks(h.leader, h.random)
				}
				batch := h.leader.writer.Compose()
				if len(batch.Writes) == 0 {
					continue
				}
				h.requireKeysWithoutGaps(step)
				justFallen := step > limitsFallAt && step < limitsFallAt+10
				if h.write(batch) && (step < 3 || step%5 == 0 || justFallen) {
					h.requireReadable(step)
				}
			}
		})
	}
}

// startAndEndTasks assigns some tasks to machines and ends some assignments, drawn at random.
func startAndEndTasks(leader *Leader, random *rand.Rand) {
	now := time.Now()
	for range random.IntN(12) {
		id := fmt.Sprintf("m-%06d", random.IntN(200))
		m := leader.state.Machines.ByID[id]
		if m == nil {
			m = cluster.NewMachine(id, now)
			m.Addr, m.Type, m.Zone, m.Worker.Session = "10.1.0.232:9000", "c4", "far <away>", 1
			leader.state.Machines.Add(m)
		}
		if j := leader.state.Jobs[fmt.Sprint("j-", 1+random.IntN(3))]; j != nil && j.Pending.Count > 0 && len(m.Assignments) < 8 {
			a := leader.tasks.Assign(j, j.TakePendingTask(), m, now)
			if j.Spec.Shape == jobs.Gang {
				a.GangAttempt = 7
			}
		}
	}
	for _, id := range sortedMachineIDs(leader) {
		m := leader.state.Machines.ByID[id]
		for _, attempt := range cluster.SortedAttempts(m.Assignments) {
			if a := m.Assignments[attempt]; a.Log.Durable && a.Outcome == cluster.Open && random.IntN(60) == 0 {
				if a.Job.Spec.Shape == jobs.Batch && a.Job.Completions.Count+1 < a.Job.Spec.Tasks {
					leader.tasks.End(a, cluster.Success)
				} else {
					leader.tasks.End(a, cluster.Retry)
				}
			}
		}
	}
}

// sortedMachineIDs returns the ids of all machines, so that a draw from them can be repeated.
func sortedMachineIDs(l *Leader) (ids []string) {
	for id := range l.state.Machines.ByID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
