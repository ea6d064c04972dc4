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

// apply executes a transaction, or returns the keys of the guards that failed.
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

// pairs returns all segments in no particular order.
func (s *segmentStore) pairs() (out []kvstore.KeyValue) {
	for _, p := range s.keys {
		out = append(out, p)
	}
	return out
}

// newLeaderFromLog returns a leader with the given fencing token and jobs and the store's limits. It
// has loaded the stored segments.
func newLeaderFromLog(store *segmentStore, token uint64, specs []*jobs.Spec) *Leader {
	leader, m, _, now := newTestLeader()
	leader.tasks.EndAssignmentsOn(m, "test setup")
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

// durableRecords returns descriptions of what a leader knows to be durable in the assignment log:
// the assignments and the completed tasks, sorted.
func durableRecords(l *Leader) (out []string) {
	for _, m := range l.state.Machines.All {
		for _, a := range m.Assignments {
			if a.Log.Durable {
				out = append(out, fmt.Sprint(a.TaskName(), " ", a.Attempt, " on ", m.ID, " ", a.AgentEpoch))
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

// logHistory runs a random sequence of transactions and failures on an assignment log.
type logHistory struct {
	t      *testing.T
	random *rand.Rand
	store  *segmentStore
	specs  []*jobs.Spec
	leader *Leader
	token  uint64
}

// replaceLeader starts the next leader, which continues the log.
func (h *logHistory) replaceLeader() {
	h.token++
	h.leader = newLeaderFromLog(h.store, h.token, h.specs)
}

// write executes a transaction, whose response may be lost. It reports whether the leader knows what
// is durable: the transaction was executed, or nothing was durable before.
func (h *logHistory) write(batch *transaction.Batch) (known bool) {
	before := durableRecords(h.leader)
	switch failed := h.store.apply(batch); {
	case h.random.IntN(8) == 0: // the response is lost
		batch.Failed()
		h.leader.log.MarkOutcomeUnknown()
		if h.random.IntN(2) == 0 { // and the leader fails
			h.replaceLeader()
		}
	case len(failed) > 0:
		batch.Failed()
		for _, key := range failed {
			h.leader.writer.ApplyConflict(batch, key, h.store.keys[key])
		}
	default:
		h.leader.writer.HandleCommit(batch, h.store.revision)
		return true
	}
	return before == nil
}

// requireKeysWithoutGaps fails the test if the segments' keys are not numbered from 0 without gaps.
func (h *logHistory) requireKeysWithoutGaps(step int) {
	h.t.Helper()
	for i := range len(h.store.keys) {
		if _, ok := h.store.keys[fmt.Sprint(assignmentlog.Prefix, i)]; !ok {
			h.t.Fatalf("step %d: none of %d segments has number %d", step, len(h.store.keys), i)
		}
	}
}

// requireReadable fails the test if version 0.3.0 or the next leader reads anything other than what
// is durable.
func (h *logHistory) requireReadable(step int) {
	h.t.Helper()
	durable := durableRecords(h.leader)
	if d := cmp.Diff(durable, readAsVersion030(h.t, h.store.pairs(), h.leader.Derived.Store.ChunkTasks)); d != "" {
		h.t.Fatalf("step %d: version 0.3.0 reads the log differently: %s", step, d)
	}
	next := newLeaderFromLog(h.store, h.token+1, h.specs)
	if d := cmp.Diff(durable, durableRecords(next)); d != "" {
		h.t.Fatalf("step %d: the next leader reads the log differently: %s", step, d)
	}
	for _, a := range next.state.Jobs["j-3"].Assignments {
		if a.GangAttempt != 7 {
			h.t.Fatalf("step %d: %s has lost its gang attempt", step, a.TaskName())
		}
	}
}

// A new leader reads exactly what is durable after any sequence of transactions: no end is undone
// and no assignment is lost. Segment sizes change on the way, responses are lost, and leaders fail.
func TestAssignmentLogWithMixedSegmentSizes(t *testing.T) {
	const limitsShrinkAt, steps = 60, 240
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
				if step == limitsShrinkAt {
					// The segments are as full as in production by now. The store's limits shrink.
					h.store.maxValueBytes, h.store.maxOps = 2<<10, 4
					h.replaceLeader()
				}
				startAndEndTasks(h.leader, h.random)
				if step < limitsShrinkAt {
					startAndEndTasks(h.leader, h.random)
				}
				batch := h.leader.writer.Compose()
				if len(batch.Writes) == 0 {
					continue
				}
				h.requireKeysWithoutGaps(step)
				shrankRecently := step > limitsShrinkAt && step < limitsShrinkAt+10
				if h.write(batch) && (step < 3 || step%5 == 0 || shrankRecently) {
					h.requireReadable(step)
				}
			}
		})
	}
}

// startAndEndTasks assigns a random number of tasks to random machines and ends random assignments.
func startAndEndTasks(leader *Leader, random *rand.Rand) {
	now := time.Now()
	for range random.IntN(12) {
		id := fmt.Sprintf("m-%06d", random.IntN(200))
		m := leader.state.Machines.ByID[id]
		if m == nil {
			m = cluster.NewMachine(id, now)
			m.Addr, m.Type, m.Zone, m.Worker.AgentEpoch = "10.1.0.232:9000", "c4", "far <away>", 1
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

// sortedMachineIDs returns the IDs of all machines in a fixed order, so that random draws from them
// are reproducible.
func sortedMachineIDs(l *Leader) (ids []string) {
	for id := range l.state.Machines.ByID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
