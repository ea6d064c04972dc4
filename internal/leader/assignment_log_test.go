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
func (s *segmentStore) apply(b *transaction.Batch) (failed []string) {
	for _, g := range b.Guards {
		if s.keys[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	if len(b.Writes) > s.maxOps {
		s.t.Fatalf("%d writes in a transaction, %d are allowed", len(b.Writes), s.maxOps)
	}
	s.revision++
	for _, w := range b.Writes {
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
func newLeaderFromLog(s *segmentStore, token uint64, specs []*jobs.Spec) *Leader {
	l, m, _, now := newTestLeader()
	l.tasks.EndAllOn(m, "not of this test")
	l.state.Jobs, l.state.Machines, l.planner.Capacity = map[string]*cluster.Job{}, cluster.NewMachineSet(), planner.NewCapacity(l.catalog.Type)
	*l.detector = *liveness.New(liveness.Config{})
	l.fencing.Current = token
	*l.tasks = *tasks.NewManager(l.tasks.Deps, token<<24)
	l.Derived.Store.ValueBytes, l.Derived.Store.TxnOps = s.maxValueBytes, s.maxOps
	l.writer = writer.New(l.writerDeps())
	for i, spec := range specs {
		l.state.Jobs[spec.ID] = cluster.NewJob(spec.ID, spec, uint64(i+1), 0, now)
	}
	l.loader().Restore(l.readLog(s.pairs()), nil, now)
	return l
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

// Whatever the history, the sizes of segments, old and new, and the fate of single
// transactions: a new leader finds what was durable, no end undone and nothing lost,
// after each of them.
func TestLogOverMixedSegmentSizes(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			discardLogs(t)
			rnd := rand.New(rand.NewPCG(seed, 7))
			s := &segmentStore{t: t, keys: map[string]kvstore.KeyValue{}, maxValueBytes: 32 << 10, maxOps: 12}
			specs := []*jobs.Spec{
				{ID: "j-1", Team: "red", Shape: jobs.Batch, Tasks: 3000, CPUs: 1},
				{ID: "j-2", Team: "red", Shape: jobs.Service, Tasks: 900, CPUs: 1},
				{ID: "j-3", Team: "red", Shape: jobs.Gang, Tasks: 200, CPUs: 1},
			}
			l := newLeaderFromLog(s, 1, specs)
			token := uint64(1)
			for step := range 240 {
				if step == 60 {
					// As production wrote them, the segments are full by now. The limits fall.
					s.maxValueBytes, s.maxOps = 2<<10, 4
					token++
					l = newLeaderFromLog(s, token, specs)
				}
				startAndEndTasks(l, rnd)
				if step < 60 {
					startAndEndTasks(l, rnd)
				}
				b := l.writer.Compose()
				if len(b.Writes) == 0 {
					continue
				}
				before := durableRecords(l)
				for i := range len(s.keys) {
					if _, ok := s.keys[fmt.Sprint(assignmentlog.Prefix, i)]; !ok {
						t.Fatalf("step %d: of %d segments, none is called %d", step, len(s.keys), i)
					}
				}
				switch failed := s.apply(b); {
				case rnd.IntN(8) == 0: // its answer is lost
					b.Failed()
					l.log.MarkOutcomeUnknown()
					if rnd.IntN(2) == 0 { // and so is the leader
						token++
						l = newLeaderFromLog(s, token, specs)
					}
				case len(failed) > 0:
					b.Failed()
					for _, key := range failed {
						l.writer.ApplyConflict(b, key, s.keys[key])
					}
				default:
					l.writer.Committed(b, s.revision)
					before = nil
				}
				if before == nil && (step < 3 || step%5 == 0 || step > 60 && step < 70) {
					if d := cmp.Diff(durableRecords(l), readAsVersion030(t, s.pairs(), l.Derived.Store.ChunkTasks)); d != "" {
						t.Fatalf("step %d, what production reads: %s", step, d)
					}
					next := newLeaderFromLog(s, token+1, specs)
					if d := cmp.Diff(durableRecords(l), durableRecords(next)); d != "" {
						t.Fatalf("step %d, what the next leader reads: %s", step, d)
					}
					for _, a := range next.state.Jobs["j-3"].Assignments {
						if a.GangAttempt != 7 {
							t.Fatalf("step %d: %s has lost its gang", step, a.TaskName())
						}
					}
				}
			}
		})
	}
}

// startAndEndTasks assigns some tasks to machines and ends some assignments, drawn at random.
func startAndEndTasks(l *Leader, rnd *rand.Rand) {
	now := time.Now()
	for range rnd.IntN(12) {
		id := fmt.Sprintf("m-%06d", rnd.IntN(200))
		m := l.state.Machines.ByID[id]
		if m == nil {
			m = cluster.NewMachine(id, now)
			m.Addr, m.Type, m.Zone, m.Worker.Session = "10.1.0.232:9000", "c4", "far <away>", 1
			l.state.Machines.Add(m)
		}
		if j := l.state.Jobs[fmt.Sprint("j-", 1+rnd.IntN(3))]; j != nil && j.Pending.Count > 0 && len(m.Assignments) < 8 {
			a := l.tasks.Assign(j, j.TakePendingTask(), m, now)
			if j.Spec.Shape == jobs.Gang {
				a.GangAttempt = 7
			}
		}
	}
	for _, id := range sortedMachineIDs(l) {
		m := l.state.Machines.ByID[id]
		for _, attempt := range cluster.SortedAttempts(m.Assignments) {
			if a := m.Assignments[attempt]; a.Log.Durable && a.Outcome == cluster.Open && rnd.IntN(60) == 0 {
				if a.Job.Spec.Shape == jobs.Batch && a.Job.Completions.Count+1 < a.Job.Spec.Tasks {
					l.tasks.End(a, cluster.Success)
				} else {
					l.tasks.End(a, cluster.Retry)
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
