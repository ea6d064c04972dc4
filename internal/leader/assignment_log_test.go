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

// segmentStore is a state service that holds segments, and checks what it is given.
type segmentStore struct {
	t     *testing.T
	keys  map[string]kvstore.KeyValue
	rev   uint64
	value int // bytes
	ops   int
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
	if len(b.Writes) > s.ops {
		s.t.Fatalf("%d writes in a transaction, %d are allowed", len(b.Writes), s.ops)
	}
	s.rev++
	for _, w := range b.Writes {
		if len(w.Value) > s.value {
			s.t.Fatalf("%s is written with %d bytes, %d are allowed", w.Set, len(w.Value), s.value)
		}
		s.keys[w.Set] = kvstore.KeyValue{Key: w.Set, Value: w.Value, Revision: s.rev}
	}
	return nil
}

func (s *segmentStore) pairs() (out []kvstore.KeyValue) {
	for _, p := range s.keys {
		out = append(out, p)
	}
	return out
}

// logLeader is a leader that reads the log from the segments, with the jobs given.
func logLeader(s *segmentStore, token uint64, specs []*jobs.Spec) *Leader {
	l, m, _, now := bench()
	l.tasks.EndAllOn(m, "not of this test")
	l.state.Jobs, l.state.Machines, l.planner.Capacity = map[string]*cluster.Job{}, cluster.NewMachineSet(), planner.NewCapacity(l.catalog.Type)
	*l.detector = *liveness.New(liveness.Config{})
	l.fencing.Current = token
	*l.tasks = *tasks.NewManager(l.tasks.Deps, token<<24)
	l.Derived.Store.ValueBytes, l.Derived.Store.TxnOps = s.value, s.ops
	l.writer = writer.New(l.writerDeps())
	for i, spec := range specs {
		l.state.Jobs[spec.ID] = cluster.NewJob(spec.ID, spec, uint64(i+1), 0, now)
	}
	l.loader().Restore(l.readLog(s.pairs()), nil, now)
	return l
}

// durable is what a leader knows to be in the log: what is on machines, and what
// is done.
func (l *Leader) durable() (out []string) {
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
func TestBookOverMixedPages(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			quiet(t)
			rnd := rand.New(rand.NewPCG(seed, 7))
			s := &segmentStore{t: t, keys: map[string]kvstore.KeyValue{}, value: 32 << 10, ops: 12}
			specs := []*jobs.Spec{
				{ID: "j-1", Team: "red", Shape: jobs.Batch, Tasks: 3000, CPUs: 1},
				{ID: "j-2", Team: "red", Shape: jobs.Service, Tasks: 900, CPUs: 1},
				{ID: "j-3", Team: "red", Shape: jobs.Gang, Tasks: 200, CPUs: 1},
			}
			l := logLeader(s, 1, specs)
			token := uint64(1)
			for step := range 240 {
				if step == 60 {
					// As production wrote them, the segments are full by now. The limits fall.
					s.value, s.ops = 2<<10, 4
					token++
					l = logLeader(s, token, specs)
				}
				l.stir(rnd)
				if step < 60 {
					l.stir(rnd)
				}
				b := l.writer.Compose()
				if len(b.Writes) == 0 {
					continue
				}
				before := l.durable()
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
						l = logLeader(s, token, specs)
					}
				case len(failed) > 0:
					b.Failed()
					for _, key := range failed {
						l.writer.ApplyConflict(b, key, s.keys[key])
					}
				default:
					l.writer.Committed(b, s.rev)
					before = nil
				}
				if before == nil && (step < 3 || step%5 == 0 || step > 60 && step < 70) {
					if d := cmp.Diff(l.durable(), asProduction(t, s.pairs(), l.Derived.Store.ChunkTasks)); d != "" {
						t.Fatalf("step %d, what production reads: %s", step, d)
					}
					next := logLeader(s, token+1, specs)
					if d := cmp.Diff(l.durable(), next.durable()); d != "" {
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

// stir lets some tasks begin and end.
func (l *Leader) stir(rnd *rand.Rand) {
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
	for _, id := range sortedMachines(l) {
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

func sortedMachines(l *Leader) (ids []string) {
	for id := range l.state.Machines.ByID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
