package leader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
)

// segmentStore is a state service that holds segments, and checks what it is given.
type segmentStore struct {
	t     *testing.T
	keys  map[string]kvstore.Pair
	rev   uint64
	value int // bytes
	ops   int
}

// apply carries out a transaction, or returns the guards that failed.
func (s *segmentStore) apply(b *batch) (failed []string) {
	for _, g := range b.guards {
		if s.keys[g.Key].Revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	if len(b.writes) > s.ops {
		s.t.Fatalf("%d writes in a transaction, %d are allowed", len(b.writes), s.ops)
	}
	s.rev++
	for _, w := range b.writes {
		if len(w.Value) > s.value {
			s.t.Fatalf("%s is written with %d bytes, %d are allowed", w.Set, len(w.Value), s.value)
		}
		s.keys[w.Set] = kvstore.Pair{Key: w.Set, Value: w.Value, Revision: s.rev}
	}
	return nil
}

func (s *segmentStore) pairs() (out []kvstore.Pair) {
	for _, p := range s.keys {
		out = append(out, p)
	}
	return out
}

// logLeader is a leader that reads the log from the segments, with the jobs given.
func logLeader(s *segmentStore, token uint64, specs []*jobs.Spec) *Leader {
	l, m, _, now := bench()
	l.lost(m, "not of this test")
	l.jobs, l.machines, l.used, l.log, l.finished = map[string]*job{}, newMachineSet(), map[string]placement.Resources{}, assignmentLog{}, nil
	l.watch = liveness.New(liveness.Config{})
	l.token, l.attempts = token, token<<24
	l.Derived.ValueBytes, l.Derived.TxnOps = s.value, s.ops
	for i, spec := range specs {
		l.jobs[spec.ID] = newJob(spec.ID, spec, uint64(i+1), 0, now)
	}
	l.restore(l.readLog(s.pairs()), nil, now)
	return l
}

// durable is what a leader knows to be in the log: what is on machines, and what
// is done.
func (l *Leader) durable() (out []string) {
	for _, m := range l.machines.all {
		for _, a := range m.assigned {
			if a.durable {
				out = append(out, fmt.Sprint(a.name(), " ", a.attempt, " on ", m.id, " ", a.session))
			}
		}
	}
	slices.Sort(out)
	for _, j := range l.jobs {
		for n := range j.spec.Tasks {
			if ch := j.chunks[n/l.Derived.ChunkTasks]; j.isDone(n) && ch != nil && ch.saved && !ch.dirty {
				out = append(out, fmt.Sprintf("done %s/%05d", j.id, n))
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
			s := &segmentStore{t: t, keys: map[string]kvstore.Pair{}, value: 32 << 10, ops: 12}
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
				b := l.compose()
				if len(b.writes) == 0 {
					continue
				}
				before := l.durable()
				for i := range len(s.keys) {
					if _, ok := s.keys[fmt.Sprint(logPrefix, i)]; !ok {
						t.Fatalf("step %d: of %d segments, none is called %d", step, len(s.keys), i)
					}
				}
				switch failed := s.apply(b); {
				case rnd.IntN(8) == 0: // its answer is lost
					for _, f := range slices.Backward(b.undo) {
						f()
					}
					l.log.open = true
					if rnd.IntN(2) == 0 { // and so is the leader
						token++
						l = logLeader(s, token, specs)
					}
				case len(failed) > 0:
					for _, f := range slices.Backward(b.undo) {
						f()
					}
					for _, key := range failed {
						l.relearn(b, key, s.keys[key])
					}
				default:
					for _, f := range b.done {
						f(s.rev)
					}
					before = nil
				}
				if before == nil && (step < 3 || step%5 == 0 || step > 60 && step < 70) {
					if d := cmp.Diff(l.durable(), asProduction(t, s.pairs(), l.Derived.ChunkTasks)); d != "" {
						t.Fatalf("step %d, what production reads: %s", step, d)
					}
					next := logLeader(s, token+1, specs)
					if d := cmp.Diff(l.durable(), next.durable()); d != "" {
						t.Fatalf("step %d, what the next leader reads: %s", step, d)
					}
					for _, a := range next.jobs["j-3"].tasks {
						if a.gang != 7 {
							t.Fatalf("step %d: %s has lost its gang", step, a.name())
						}
					}
				}
			}
		})
	}
}

// A transaction writes no more segments than its news need: with each segment that it
// drafted, the log once seemed to wait for one more.
func TestPagesByNeed(t *testing.T) {
	l, j, _ := withGang()
	if b := l.compose(); len(b.writes) != 1 {
		t.Errorf("%d segments for %d beginnings", len(b.writes), j.spec.Tasks)
	}
}

// stir lets some tasks begin and end.
func (l *Leader) stir(rnd *rand.Rand) {
	now := time.Now()
	for range rnd.IntN(12) {
		id := fmt.Sprintf("m-%06d", rnd.IntN(200))
		m := l.machines.byID[id]
		if m == nil {
			m = newMachine(id, now)
			m.addr, m.typ, m.zone, m.session = "10.1.0.232:9000", "c4", "far <away>", 1
			l.machines.add(m)
		}
		if j := l.jobs[fmt.Sprint("j-", 1+rnd.IntN(3))]; j != nil && j.waiting > 0 && len(m.assigned) < 8 {
			a := l.assign(j, j.take(), m, now)
			if j.spec.Shape == jobs.Gang {
				a.gang = 7
			}
		}
	}
	for _, id := range sortedMachines(l) {
		m := l.machines.byID[id]
		for _, attempt := range sorted(m.assigned) {
			if a := m.assigned[attempt]; a.durable && a.outcome == open && rnd.IntN(60) == 0 {
				if a.job.spec.Shape == jobs.Batch && a.job.doneCount+1 < a.job.spec.Tasks {
					l.conclude(a, success)
				} else {
					l.conclude(a, retry)
				}
			}
		}
	}
}

func sortedMachines(l *Leader) (ids []string) {
	for id := range l.machines.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Whatever a leader writes is guarded by its term, and each key by its own revision: a
// copy that is carried out late, after newer ones or under the next leader, fails.
func TestEveryWriteIsGuarded(t *testing.T) {
	l, m, j, now := bench()
	l.term.Revision, l.tokenRevision, j.revision = 77, 78, 79
	l.readLog(nil)
	l.raiseToken = true
	l.finished = append(l.finished, j)
	l.assign(j, j.take(), m, now) // its beginning is to be written
	b := l.compose()
	revisions := map[string]uint64{}
	for _, g := range b.guards {
		revisions[g.Key] = g.Revision
	}
	if revisions[election.HolderKey] != 77 || revisions[election.TokenKey] != 78 || revisions[jobs.RecordKey(j.id)] != 79 {
		t.Errorf("guards: %v", revisions)
	}
	for _, w := range b.writes {
		if _, guarded := revisions[w.Set]; !guarded || w.Remove != "" {
			t.Errorf("%s%s is written unguarded", w.Set, w.Remove)
		}
	}
	if len(b.writes) < 3 {
		t.Errorf("%d writes", len(b.writes))
	}
}
