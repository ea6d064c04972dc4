package recoverer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// fakeLeader records the calls of a recovery.
type fakeLeader struct {
	tokens       Tokens
	lastAttempt  uint64
	calls        []string
	onJobChanged func(id string) // if set, called by JobChanged
}

func (f *fakeLeader) record(call string)       { f.calls = append(f.calls, call) }
func (f *fakeLeader) Tokens() Tokens           { return f.tokens }
func (f *fakeLeader) RequestTokenRaise()       { f.record("request token raise") }
func (f *fakeLeader) Resign()                  { f.record("resign") }
func (f *fakeLeader) RequestPlan()             { f.record("request plan") }
func (f *fakeLeader) ReserveAttempts(n uint64) { f.lastAttempt = max(f.lastAttempt, n) }

func (f *fakeLeader) RaiseTokenAbove(floor uint64) {
	f.tokens.Floor = floor
	f.record(fmt.Sprint("raise token above ", floor))
}

func (f *fakeLeader) NextAttempt() uint64 {
	f.lastAttempt++
	return f.lastAttempt
}

func (f *fakeLeader) CancelJob(job *cluster.Job, _ uint64) { f.record("cancel " + job.ID) }
func (f *fakeLeader) CompleteElsewhere(job *cluster.Job)   { f.record("complete " + job.ID) }
func (f *fakeLeader) JobChanged(c kvstore.Change, _ time.Time) {
	f.record("changed " + jobs.JobIDFromKey(c.Set))
	if f.onJobChanged != nil {
		f.onJobChanged(jobs.JobIDFromKey(c.Set))
	}
}
func (f *fakeLeader) QueueJob(job *cluster.Job)             { f.record("queue " + job.ID) }
func (f *fakeLeader) StopGang(job *cluster.Job)             { f.record("stop gang " + job.ID) }
func (f *fakeLeader) CountAssignment(a *cluster.Assignment) { f.record("count " + a.TaskName()) }

// called reports whether a call was made.
func (f *fakeLeader) called(call string) bool { return slices.Contains(f.calls, call) }

// unresponsivePeers are other controllers that never respond.
type unresponsivePeers []string

func (p unresponsivePeers) Peers() []string { return p }

func (unresponsivePeers) RequestLostJobs(ctx context.Context, _ string, _ peer.LostJobsRequest) (peer.LostJobsResponse, error) {
	<-ctx.Done()
	return peer.LostJobsResponse{}, ctx.Err()
}

// termToken is the fencing token of the tests' term.
const termToken = 5

// scenario is a recovery with a leader that only records calls.
type scenario struct {
	*Recoverer
	leader   *fakeLeader
	machines *cluster.MachineSet
	log      *assignmentlog.Log
	now      time.Time // start of the term
}

func newScenario(t *testing.T, peers ...string) *scenario {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
	}}
	state := cluster.NewState()
	store := kvstore.New("state:1", emulator.NewNetwork().Transport("node-0"), time.Second, kvstore.RateLimits{})
	s := &scenario{leader: &fakeLeader{tokens: Tokens{Current: termToken, TermToken: termToken}}, machines: &state.Machines, now: now}
	s.log = assignmentlog.New(assignmentlog.Config{ChunkTasks: 64, MaxOps: 12, ValueBytes: 32 << 10})
	s.Recoverer = New(Config{
		Settings: set, Derived: set.Derive(), ControllerName: "node-0", Term: election.Term{FencingToken: termToken, Since: now}, AttemptBits: 24,
		Store: store, Cache: jobcache.New(store, jobcache.Options{MinReadInterval: time.Second, IdleReadInterval: time.Second, SuspectFor: time.Second, CancellationsKept: 8}),
		Peers:    unresponsivePeers(peers),
		IsLeader: func() bool { return true }, Post: func(context.Context, func(time.Time)) {},
		Leader: s.leader, State: state,
		AssignmentLog: func() *assignmentlog.Log { return s.log },
	})
	return s
}

func (s *scenario) addMachine(id string) *cluster.Machine {
	m := cluster.NewMachine(id, s.now)
	m.Worker.AgentEpoch = 1
	s.machines.Add(m)
	return m
}

// addJob adds the job j-000001 with two tasks.
func (s *scenario) addJob(shape string) *cluster.Job {
	const id = "j-000001"
	spec := &jobs.Spec{ID: id, Team: "red", Shape: shape, Priority: jobs.Standard, Tasks: 2, CPUs: 1}
	job := cluster.NewJob(id, spec, 1, 0, s.now)
	s.cfg.State.Jobs[id] = job
	return job
}

func runningTask(job string, index int, attempt uint64) workers.TaskStatus {
	return workers.TaskStatus{Name: fmt.Sprintf("%s/%d", job, index), Attempt: attempt, State: workers.StateRunning}
}

// A loss that may affect the assignment log must cause a rewrite of the whole log and a higher
// token. A possible rollback must be visible to other goroutines at once.
func TestReportLoss(t *testing.T) {
	tests := []struct {
		kind                                detection.Kind
		rolledBack, rewritten, awaitWorkers bool
	}{
		{kind: detection.RecordRemoved},
		{kind: detection.RecordOlder, rolledBack: true},
		{kind: detection.RevisionRolledBack, rolledBack: true, rewritten: true, awaitWorkers: true},
		{kind: detection.SegmentMissing, rewritten: true, awaitWorkers: true},
		{kind: detection.TaskUnknown, awaitWorkers: true},
		{kind: detection.ReportedByPeer, rolledBack: true, awaitWorkers: true},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			s := newScenario(t)
			job := s.addJob(jobs.Batch)
			s.ReportLoss(detection.Evidence{Kind: test.kind}, s.now)
			if s.Phase() != Comparing || !s.TakeRelistRequest() || s.TakeRelistRequest() {
				t.Errorf("phase %s: want a comparison and exactly one request to relist", s.Phase())
			}
			if s.RolledBack() != test.rolledBack {
				t.Errorf("rolled back: %v", s.RolledBack())
			}
			if s.log.HasWork() != test.rewritten || s.leader.called("request token raise") != test.rewritten {
				t.Errorf("log rewritten: %v, calls to the leader: %v", s.log.HasWork(), s.leader.calls)
			}
			if s.adoption.jobs[job] != test.awaitWorkers {
				t.Errorf("tasks awaited from workers: %v", s.adoption.jobs[job])
			}
		})
	}
}

// A loss reported while records are being written back must start another round of comparison.
func TestLossWhileRestoringStartsAnotherRound(t *testing.T) {
	s := newScenario(t)
	s.ReportLoss(detection.Evidence{Kind: detection.RecordRemoved}, s.now)
	first := s.comparison.round
	s.endRound(s.now)
	s.ReportLoss(detection.Evidence{Kind: detection.RecordRemoved}, s.now)
	if s.Phase() != Restoring {
		t.Fatalf("phase %s", s.Phase())
	}
	if s.finish(s.now); s.Phase() != Comparing || s.comparison.round != first+1 {
		t.Errorf("phase %s, round %d after %d", s.Phase(), s.comparison.round, first)
	}
	s.endRound(s.now)
	if s.finish(s.now); s.Phase() != NotRecovering {
		t.Errorf("phase %s", s.Phase())
	}
}

// A log that names attempts of a higher token than this term's was written by a later term.
// The token must be raised above that one, and no attempt number reused.
func TestLogWrittenByLaterTerm(t *testing.T) {
	s := newScenario(t)
	attempt := uint64(termToken+2)<<s.cfg.AttemptBits + 3
	log := []assignmentlog.StoredSegment{{
		Segment: cluster.NewSegment(assignmentlog.Prefix+"0", 1),
		Record: assignmentlog.SegmentRecord{Number: 1, Started: []assignmentlog.MachineRecord{
			{Machine: "m-1", Tasks: []assignmentlog.TaskRecord{{Job: "j-000001", Attempt: attempt}}},
		}},
	}}
	s.CheckLog(log, s.now)
	if !s.leader.called(fmt.Sprint("raise token above ", termToken+2)) || s.leader.lastAttempt != attempt {
		t.Errorf("calls to the leader: %v, attempt numbers reserved up to %d", s.leader.calls, s.leader.lastAttempt)
	}
	if !s.LogIncomplete() || s.Phase() != Comparing {
		t.Errorf("log incomplete: %v, phase %s", s.LogIncomplete(), s.Phase())
	}
}

// The event log must drop the oldest events when it is full, and count them.
func TestEventsAreBounded(t *testing.T) {
	var log eventLog
	for n := range maxEvents + 3 {
		log.add(time.Unix(int64(n), 0), "evidence", "")
	}
	if len(log.events) != maxEvents || log.dropped != 3 || log.events[0].At != time.Unix(3, 0) {
		t.Errorf("%d events from %v, %d dropped", len(log.events), log.events[0].At, log.dropped)
	}
}
