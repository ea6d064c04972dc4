package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/runtimes"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// noPeers is a deployment of one controller.
type noPeers struct{}

func (noPeers) Peers() []string { return nil }

func (noPeers) RequestLostJobs(context.Context, string, peer.LostJobsRequest) (peer.LostJobsResponse, error) {
	return peer.LostJobsResponse{}, peer.ErrNoResponse
}

// bench is a leader with one machine and one job of two tasks, and no duties.
func bench() (*Leader, *cluster.Machine, *cluster.Job, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.Limits{MemoryMB: 100, MaxSockets: 100},
	}}
	l := newLeader(Deps{
		Settings: set, Derived: set.Derive(), Counts: NewCounts(), IsLeader: func() bool { return true },
		PeerLeasesRequestedAt: func() time.Time { return time.Time{} }, MachineTypes: func() []jobs.MachineType { return nil },
		Cloud: cloud.NewClient("cloud:1", silent, time.Minute, 10),
		Cache: jobcache.New(nil, jobcache.Options{ReadGap: time.Second, IdleReadInterval: time.Second, SuspectFor: time.Second, CancellationsKept: 8}), Peers: noPeers{}, Store: kvstore.New("state:1", emulator.NewNetwork().Transport("perch-0"), time.Second, kvstore.RateLimits{}),
	}, election.Term{FencingToken: 5})
	l.jobs.Loaded(now, l.jobs.SeenRevision())
	*l.tasks = *tasks.NewManager(l.tasks.Deps, 100)
	*l.detector = *liveness.New(liveness.Config{SuspectAfter: time.Second, LeaseExpiry: time.Second, HoldTimeout: time.Second, VerdictInterval: time.Second})
	j := cluster.NewJob("j-1", &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 2, CPUs: 1}, 1, 0, now)
	l.state.Jobs["j-1"] = j
	l.answerHeartbeat(report(1, 1), now)
	m := l.state.Machines.ByID["m-1"]
	l.tasks.Assign(j, j.TakePendingTask(), m, now)
	for _, a := range m.Assignments {
		a.Log.Durable = true
	}
	return l, m, j, now
}

// readLog begins the log anew with stored segments.
func (l *Leader) readLog(stored []kvstore.KeyValue) []assignmentlog.StoredSegment {
	return l.log.Load(logConfig(l.Derived), stored)
}

// restoreMachine takes in a machine of which the log has no task any more.
func (l *Leader) restoreMachine(t *testing.T, record assignmentlog.MachineRecord, now time.Time) {
	t.Helper()
	value, err := json.Marshal(assignmentlog.SegmentRecord{Number: 1, Begun: []assignmentlog.MachineRecord{record}})
	if err != nil {
		t.Fatal(err)
	}
	stored := []kvstore.KeyValue{{Key: assignmentlog.Prefix + "0", Value: value, Revision: 1}}
	l.loader().Restore(l.readLog(stored), nil, now)
}

func report(session, seq uint64, tasks ...workers.TaskStatus) *workers.Heartbeat {
	return &workers.Heartbeat{Machine: "m-1", Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", AgentEpoch: session, Seq: seq, FencingToken: 5, Tasks: tasks}
}

func ops(calls []workers.Command) (out []string) {
	for _, c := range calls {
		out = append(out, c.Op+" "+c.Task)
	}
	return out
}

// A report that was held up on the way must not turn the picture back: here the
// task is being stopped, and an old report that does not show it yet would have
// it placed elsewhere while it is still saving.
func TestOldReportsChangeNothing(t *testing.T) {
	l, m, j, now := bench()
	if d := cmp.Diff([]string{"run j-1/0"}, ops(l.answerHeartbeat(report(1, 2), now).Commands)); d != "" {
		t.Fatal(d)
	}
	l.answerHeartbeat(report(1, 4, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	l.tasks.Stop(j.Assignments[0], 5)
	l.answerHeartbeat(report(1, 5, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateSaving}), now)
	l.answerHeartbeat(report(1, 3), now)
	if a := j.Assignments[0]; a == nil || a.Outcome != cluster.Open {
		t.Error("an old report ended a task that is still saving")
	}
	if m.Worker.Seq != 5 || m.Used.CPUs != 1 {
		t.Errorf("picture at %d, %v CPUs taken", m.Worker.Seq, m.Used.CPUs)
	}
	// A report of an earlier session says nothing at all.
	l.answerHeartbeat(report(2, 1), now)
	if l.answerHeartbeat(report(1, 9), now) != nil {
		t.Error("answered a session that is over")
	}
}

// A task's end is cleared once its completion is durable, and in answers only:
// a run in an answer that is still on its way could follow a clear sent by order.
func TestClearFollowsTheRecord(t *testing.T) {
	l, m, _, now := bench()
	l.answerHeartbeat(report(1, 2), now)
	done := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateEnded, Cause: workers.CauseDone}
	if calls := l.answerHeartbeat(report(1, 3, done), now).Commands; len(calls) > 0 {
		t.Errorf("before the completion is durable: %v", ops(calls))
	}
	for _, a := range m.Assignments {
		l.tasks.Remove(a) // as after the write
	}
	if calls := l.dispatcher.CommandsFor(m, false); len(calls) > 0 {
		t.Errorf("by order: %v", ops(calls))
	}
	if d := cmp.Diff([]string{"clear j-1/0"}, ops(l.answerHeartbeat(report(1, 4, done), now).Commands)); d != "" {
		t.Error(d)
	}
}

// What nobody has assigned is stopped: another attempt of a job that is known, a job that
// is over, what is no job's task at all. A task of a job that nobody knows is left alone:
// its record may have been lost.
func TestUnassignedTasksAreStopped(t *testing.T) {
	l, _, _, now := bench()
	l.Cache.Apply("job/j-8", []byte(`{"stance":"done","tasks":1}`), 3)
	l.answerHeartbeat(report(1, 2), now)
	tasks := []workers.TaskStatus{
		{Name: "j-1/0", Attempt: 101, State: workers.StateRunning},
		{Name: "j-1/1", Attempt: 7, State: workers.StateRunning},
		{Name: "j-8/0", Attempt: 8, State: workers.StateRunning},
		{Name: "x-1/0", Attempt: 9, State: workers.StateRunning},
		{Name: "j-9/3", Attempt: 10, State: workers.StateRunning},
		{Name: "j-9/4", Attempt: 11, State: workers.StateEnded, Cause: workers.CauseDone},
	}
	if d := cmp.Diff([]string{"stop j-1/1", "stop j-8/0", "stop x-1/0"}, ops(l.answerHeartbeat(report(1, 3, tasks...), now).Commands)); d != "" {
		t.Error(d)
	}
}

// Who does not hold the term, has an old picture of users' wishes, or meets a
// worker that has seen a higher token, has no right to answer.
func TestNoRightToAnswer(t *testing.T) {
	l, _, _, now := bench()
	higher := report(1, 2)
	higher.FencingToken = 6
	if l.answerHeartbeat(higher, now) != nil {
		t.Error("answered under a lower token than the worker has seen")
	}
	if l.answerHeartbeat(report(1, 3), now.Add(l.Derived.Store.MaxStaleness+time.Second)) != nil {
		t.Error("answered with a picture in which cancellations may be missing")
	}
	l.IsLeader = func() bool { return false }
	if l.answerHeartbeat(report(1, 4), now) != nil {
		t.Error("answered without the term")
	}
}

// What a new leader hears first may be a copy of a report that was sent to an
// earlier one, at any time. It proves nothing: not that the machine is there, not
// that a task is not.
func TestReportsBeforeTheTerm(t *testing.T) {
	l, m, j, now := bench()
	l.answerHeartbeat(report(1, 2), now)
	old := report(1, 9)
	old.FencingToken = 4
	until := l.Derived.Detection.SuspectAfter + time.Second
	if a := l.answerHeartbeat(old, now.Add(until)); a == nil || a.FencingToken != 5 || len(a.Commands) != 0 {
		t.Errorf("answered %+v, want the token and no commands", a)
	}
	lease := m.Worker.LeaseUntil
	if l.answerHeartbeat(old, now.Add(until+time.Second)) != nil || m.Worker.LeaseUntil != lease {
		t.Error("a copy of it renewed the lease once more")
	}
	if m.Worker.Seq == 9 || j.Assignments[0] == nil || l.detector.Schedulable("m-1", now.Add(until)) {
		t.Error("an old report counted as news")
	}
	other := report(1, 3)
	other.Machine, other.FencingToken = "m-2", 4
	if l.answerHeartbeat(other, now); l.state.Machines.ByID["m-2"] != nil {
		t.Error("a machine was taken in by an old report of it")
	}
}

// An answer to a report from before the term renews the worker's lease. It stops what is
// cancelled there: were this leader to end before the next report, as in an outage that
// follows a change of leaders, such a task would outlast the time of its cancellation.
// (Found on the bench: ran_cancelled, by 0.5.0 with leaders that changed every ten seconds.)
func TestOldReportsOfCancelledTasks(t *testing.T) {
	l, m, j, now := bench()
	live := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 1, CPUs: 1}, 1, 0, now)
	l.state.Jobs[live.ID] = live
	l.jobs.Cancel(j, 9)
	old := report(1, 9,
		workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning},
		workers.TaskStatus{Name: "j-1/1", Attempt: 102, State: workers.StateEnded, Cause: workers.CauseDone},
		workers.TaskStatus{Name: "j-2/0", Attempt: 103, State: workers.StateRunning},
		workers.TaskStatus{Name: "j-3/0", Attempt: 104, State: workers.StateRunning})
	old.FencingToken = 4
	a := l.answerHeartbeat(old, now.Add(time.Second))
	if a == nil || a.FencingToken != 5 || len(a.Commands) != 1 {
		t.Fatalf("answered %+v, want one stop", a)
	}
	if c := a.Commands[0]; c.Op != workers.OpStop || c.Task != "j-1/0" || c.Attempt != 101 || *c.GraceS != 0 {
		t.Errorf("call %+v, want j-1/0 to stop at once", c)
	}
	if m.Worker.Seq == 9 {
		t.Error("an old report counted as news")
	}
}

// A machine that was judged dead comes back while the cloud does not take it back.
// Were its reports answered, its tasks would run on, even those of cancelled jobs.
func TestReturningMachinesAreNotAnswered(t *testing.T) {
	l, m, _, now := bench()
	l.answerHeartbeat(report(1, 2), now)
	lease := m.Worker.LeaseUntil
	m.Phase = cluster.Releasing
	if l.answerHeartbeat(report(1, 3), now.Add(time.Second)) != nil || m.Worker.LeaseUntil != lease {
		t.Error("its lease was renewed")
	}
}

// A copy of a report that was answered renews no lease, wakes no dead machine
// and sets no floor.
func TestCopiesOfReports(t *testing.T) {
	l, m, _, now := bench()
	l.answerHeartbeat(report(1, 2), now)
	l.answerHeartbeat(report(1, 3, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	lease := m.Worker.LeaseUntil
	m.Health.Dead = true
	for _, seq := range []uint64{1, 2, 3} {
		if l.answerHeartbeat(report(1, seq), now.Add(5*time.Second)) != nil {
			t.Errorf("a copy of report %d was answered", seq)
		}
	}
	if m.Worker.LeaseUntil != lease || !m.Health.Dead || m.Worker.HeartbeatAt != now {
		t.Error("a copy counted as a report")
	}
	// An answer to an order may overtake a report: that one is no copy.
	l.tasks.Observe(m, report(1, 9, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if l.answerHeartbeat(report(1, 8), now.Add(5*time.Second)) == nil || m.Worker.Seq != 9 {
		t.Error("a report that an answer overtook was not answered, or turned the picture back")
	}
}

// Run times of one class vary: a task that runs for long says little of its
// machine. Several on one machine say much, and so do tasks that are over.
func TestSlowMachinesByOdds(t *testing.T) {
	for _, tc := range []struct {
		name    string
		before  []float64 // how many times their usual time tasks took on the machine
		running []float64 // how many times their usual time tasks have been running
		slow    bool
	}{
		{"one long task", nil, []float64{2.5, 0.5, 0.5, 0.1}, false},
		{"one long task after quick ones", []float64{0.8, 1.2, 1}, []float64{4}, false},
		{"all tasks long", nil, []float64{2.5, 2.5, 2.5, 2.5}, true},
		{"tasks over, each late", []float64{3, 3.5, 4, 4}, []float64{1}, true},
		{"late by a little", []float64{1.4, 1.5, 1.3}, []float64{1.2, 1.2}, false},
		{"a task that never ends", nil, []float64{30}, true},
		{"no task of the job is over elsewhere", nil, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, m, _, now := bench()
			*l.runTimes.Of("sums") = runtimes.Distribution{Variance: 0.25, Tasks: 100, Jobs: 100}
			j := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Class: "sums", Shape: jobs.Batch, Tasks: 50, CPUs: 1, EstimatedRuntimeS: 10}, 1, 0, now)
			l.state.Jobs["j-2"] = j
			for range 25 {
				j.RecordRunTime(math.Log(10))
			}
			start := func(ran float64) *cluster.Assignment {
				a := l.tasks.Assign(j, j.TakePendingTask(), m, now)
				a.ObservedState, a.RunningSince = workers.StateRunning, now.Add(-time.Duration(ran*10*float64(time.Second)))
				return a
			}
			for _, r := range tc.before {
				l.runTimes.TaskCompleted(start(r), now)
			}
			clear(m.Assignments)
			for _, r := range tc.running {
				start(r)
			}
			if tc.running == nil {
				j.RunTimeLogs = nil // the quick ones would be over first
				start(9)
				start(9)
			}
			l.drainStragglers(now)
			if m.Offer.Straggler != tc.slow {
				t.Errorf("slow: %v, odds %.1f", m.Offer.Straggler, l.runTimes.StragglerLogOdds(m, now))
			}
		})
	}
}

// Reports of a machine arrive, our answers do not: what they ask for never
// happens. It must not look healthy for ever.
func TestAnswersUnheeded(t *testing.T) {
	l, m, _, now := bench()
	for seq := uint64(2); seq < 2+dispatch.MaxUndelivered+1; seq++ {
		if calls := l.answerHeartbeat(report(1, seq), now).Commands; len(calls) != 1 {
			t.Fatalf("report %d: %v", seq, ops(calls))
		}
	}
	if l.acceptsWork(m, now) {
		t.Error("a machine that does not hear is given work")
	}
	if calls, _ := l.detector.Tick(now, 1); len(calls) != 1 {
		t.Error("it is not called")
	}
	l.probeReturned(m, report(1, 20), nil, now)
	if !l.acceptsWork(m, now) {
		t.Error("it answers calls, but is given no work")
	}
	l.answerHeartbeat(report(1, 21, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	l.answerHeartbeat(report(1, 22, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if m.Commands.UndeliveredAnswers != 0 || !l.acceptsWork(m, now) {
		t.Error("a machine that does what it is told is suspected")
	}
}

// What the cloud lists no more is mostly gone: it is called at once, unless it
// has reported since the list was asked for, or never was in a list.
func TestUnlistedMachinesAreCalled(t *testing.T) {
	l, _, _, now := bench()
	for _, id := range []string{"m-2", "m-3"} {
		r := report(1, 1)
		r.Machine = id
		l.answerHeartbeat(r, now)
	}
	l.scaler.ApplyList(t.Context(), []cloud.ListedMachine{{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}}, now.Add(time.Millisecond), now)
	asked := now.Add(2 * time.Millisecond)
	r := report(1, 2)
	r.Machine = "m-2"
	l.answerHeartbeat(r, asked.Add(time.Millisecond))
	l.scaler.ApplyList(t.Context(), nil, asked, asked.Add(2*time.Millisecond))
	calls, _ := l.detector.Tick(asked.Add(3*time.Millisecond), 10)
	if d := cmp.Diff([]string{"m-1"}, calls); d != "" {
		t.Error(d)
	}
}

// roundTrip is a network as one function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// silent is a network on which nothing is answered.
var silent = roundTrip(func(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
})

// A zone that is cut off has orders time out by the hundred. They must not keep
// the orders waiting that can arrive.
func TestOrdersThatCanArriveGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, m, _, _ := bench()
		now := time.Now()
		l.dispatcher.Client = workers.NewClient(silent, time.Minute)
		l.Derived.Host.CommandsInFlight = 4
		l.inbox.events = make(chan func(time.Time), 64)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 20 {
			lost := cluster.NewMachine(fmt.Sprint("m-9", i), now)
			lost.Phase, lost.Worker.Session, lost.Addr, lost.Worker.LeaseUntil = cluster.Up, 1, "10.1.0.9:9000", now.Add(time.Hour)
			l.dispatcher.Notify(lost) // from an earlier leader's records: it has not reported to this one
		}
		l.dispatcher.Send(ctx, now)
		if l.dispatcher.InFlight() != 2 {
			t.Errorf("%d of 4 orders at a time to machines that may not answer", l.dispatcher.InFlight())
		}
		m.Worker.LeaseUntil = now.Add(time.Hour)
		l.dispatcher.Notify(m)
		l.dispatcher.Send(ctx, now)
		if !m.Commands.RequestInFlight {
			t.Error("a machine that reports waits behind those that do not")
		}
		cancel()
		synctest.Wait()
	})
}

// A leader that stood still for longer than its term must not act on what it
// finds when it goes on: all machines look idle for long, while the next leader
// has work on them. It gave a hundred of them back.
func TestStoodStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, m, j, now := bench()
		types := []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}}
		l.catalog.Types = func() []jobs.MachineType { return types }
		asked := 0
		l.Cloud = cloud.NewClient("cloud", roundTrip(func(*http.Request) (*http.Response, error) {
			asked++
			return nil, http.ErrHandlerTimeout
		}), time.Second, 100)
		l.Broadcast, l.inbox.events = func(map[string]jobs.Counts, []peer.JobChange) {}, make(chan func(time.Time), 1)
		for _, a := range j.Assignments {
			l.tasks.End(a, cluster.Retry)
			l.tasks.Remove(a)
		}
		l.IsLeader = func() bool { return false }
		l.scaler = newScaler(l)
		ctx, stop := context.WithCancel(t.Context())
		l.tick(ctx, now.Add(l.Derived.Workers.Lease))
		if m.Phase != cluster.Up {
			t.Error("a machine was given back")
		}
		// What had begun before is not sent any more either.
		l.scaler.Release(ctx, m)
		synctest.Wait()
		if asked > 0 {
			t.Errorf("%d requests to the cloud", asked)
		}
		stop()
	})
}

// A machine of an earlier leader takes work from its first report on. What waits has
// to be planned for then: it found no room before, and nothing else may happen for
// long. (Found with real processes: a job waited until the next one came.)
func TestPlansWhenAMachineReports(t *testing.T) {
	l, _, _, now := bench()
	l.catalog.Types = func() []jobs.MachineType {
		return []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 8, FetchGBPS: 1, BootS: 10}}
	}
	l.restoreMachine(t, assignmentlog.MachineRecord{Machine: "m-9", Addr: "10.1.0.9:9000", Type: "c4", Zone: "a", Session: 1}, now)
	l.plan(now)
	if l.planner.Requested {
		t.Fatal("a plan is wanted before anything has happened")
	}
	r := report(1, 7)
	r.Machine = "m-9"
	if l.answerHeartbeat(r, now); !l.planner.Requested {
		t.Error("no plan when it takes work")
	}
	l.plan(now)
	r.Seq++
	if l.answerHeartbeat(r, now); l.planner.Requested {
		t.Error("a plan after a report without news")
	}
}

// A transaction that is rejected as it is says nothing of an outage: planning goes on.
func TestRejectedIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, _, now := bench()
		quiet(t)
		l.inbox.events = make(chan func(time.Time), 1)
		l.writer.Returned(t.Context(), transaction.New(), 0, nil, kvstore.ErrOutcomeUnknown)
		if l.mayBegin(now) {
			t.Error("plans while nothing can be made durable")
		}
		l.readLog(nil)
		l.writer.Returned(t.Context(), transaction.New(), 0, nil, fmt.Errorf("%w: %w", kvstore.ErrNotExecuted, kvstore.ErrInvalidRequest))
		if !l.mayBegin(now) {
			t.Error("plans no more")
		}
		synctest.Wait()
	})
}

// A machine that will be taken keeps what may still complete in time. What can not
// begins anew elsewhere at once: it would be found lost only after the notice.
func TestNotice(t *testing.T) {
	for _, tc := range []struct {
		name  string
		shape string
		ran   float64 // of 30 s, in seconds
		inS   float64
		moved bool
	}{
		{"just begun", jobs.Batch, 1, 10, true},
		{"nearly over", jobs.Batch, 29, 20, false},
		{"just begun, long notice", jobs.Batch, 1, 60, false},
		{"a service", jobs.Service, 100, 10, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, m, j, now := bench()
			j.Spec.EstimatedRuntimeS, j.Spec.Shape = 30, tc.shape
			l.answerHeartbeat(report(1, 2), now)
			task := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}
			l.answerHeartbeat(report(1, 3, task), now)
			r := report(1, 4, task)
			r.SpotNoticeS = &tc.inS
			now = now.Add(time.Duration(tc.ran * float64(time.Second)))
			l.jobs.Loaded(now, l.jobs.SeenRevision())
			l.answerHeartbeat(r, now)
			if a := j.Assignments[0]; a.Stop.Requested != tc.moved {
				t.Errorf("stopped: %v", a.Stop.Requested)
			}
			// Not heard of after the notice, it is taken, and given back at once.
			l.catalog.Types = func() []jobs.MachineType { return []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}} }
			l.scale(t.Context(), m.Health.NoticeUntil.Add(time.Millisecond))
			if m.Phase != cluster.Releasing {
				t.Error("not given back when its notice was over")
			}
		})
	}
}

// A job whose tasks are stopped again soon after they start has got nothing: it
// would wait for ever if each of them began its wait anew.
func TestStartsThatDoNotLast(t *testing.T) {
	l, _, j, now := bench()
	l.answerHeartbeat(report(1, 2), now)
	task := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}
	late := now.Add(l.Derived.Leader.StarvationLimit)
	l.jobs.Loaded(late, l.jobs.SeenRevision())
	l.answerHeartbeat(report(1, 3, task), late)
	a := j.Assignments[0]
	if n := l.planner.StarvedTasks(j, late.Add(time.Second)); n != 1 {
		t.Errorf("with a task that has just begun: %d go first", n)
	}
	a.Overdue = true
	if n := l.planner.StarvedTasks(j, late.Add(time.Second)); n != 0 {
		t.Errorf("with one ahead already: %d go first", n)
	}
	l.tasks.Stop(a, 5)
	if n := l.planner.StarvedTasks(j, late.Add(time.Second)); n != 1 {
		t.Errorf("when it has to stop again: %d go first", n)
	}
	a.Stop.Requested = false
	if n := l.planner.StarvedTasks(j, late.Add(l.Derived.Leader.CountedRunTime+time.Second)); n != 0 {
		t.Errorf("with a task that has lasted: %d go first", n)
	}
}

// The answer to an order tells of a worker's next session before its old lease is over by
// the leader's clock: the last report was long under way. What begins in the new session
// is not taken for lost with the old one, or it would run twice. (Found by TestTroublesMeet,
// seed 1255.)
func TestNewSessionSeenByAnOrder(t *testing.T) {
	l, m, j, now := bench()
	old := j.Assignments[0]
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	l.tasks.Observe(m, report(2, 1), at(19))
	if old.Outcome == cluster.Open {
		t.Fatal("the old session's task goes on")
	}
	a := l.tasks.Assign(j, 1, m, at(19.1))
	a.Log.Durable, a.Start.Sent = true, true
	l.tasks.Observe(m, report(2, 2, workers.TaskStatus{Name: a.TaskName(), Attempt: a.Attempt, State: workers.StateRunning}), at(19.2))
	l.expireLeases(at(21)) // by which the old lease is over, by any clock
	if a.Outcome != cluster.Open {
		t.Error("lost with the old lease, while the new session runs on")
	}
	l.expireLeases(at(40))
	if a.Outcome == cluster.Open {
		t.Error("no lease lasts for ever")
	}
}

// A look at all machines for leases that are over is due only when one can be. Whatever
// comes in between (reports, new machines, new sessions), each lease ends in the first
// tick after its time.
func TestLeasesEndInTime(t *testing.T) {
	l, _, _, start := bench()
	l.Broadcast = func(map[string]jobs.Counts, []peer.JobChange) {}
	rnd := rand.New(rand.NewPCG(7, 0))
	seq := uint64(100)
	const step = 100 * time.Millisecond
	for now := start; now.Sub(start) < 20*l.Derived.Workers.LeaseExpiry; now = now.Add(step) {
		l.jobs.Loaded(now, l.jobs.SeenRevision())
		if rnd.IntN(8) == 0 {
			seq++
			r := report(1, seq)
			r.Machine, r.FencingToken = fmt.Sprintf("m-%06d", rnd.IntN(30)), l.fencing.Current
			if m := l.state.Machines.ByID[r.Machine]; m != nil {
				r.AgentEpoch = m.Worker.Session + uint64(rnd.IntN(2))
			}
			l.answerHeartbeat(r, now)
		}
		l.expireLeases(now)
		for _, m := range l.state.Machines.All {
			if m.Phase == cluster.Up && now.After(m.Worker.LeaseUntil) {
				t.Fatalf("%v: the lease of %s was over %v ago", now.Sub(start), m.ID, now.Sub(m.Worker.LeaseUntil))
			}
		}
	}
}
