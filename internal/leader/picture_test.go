package leader

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/autoscaler"
	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
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
func bench() (*Leader, *machine, *job, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{ReportS: 2, LeaseS: 20, CancelS: 40},
		State:   settings.State{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.Limits{MemoryMB: 100, MaxSockets: 100},
	}}
	l := newLeader(Deps{
		Settings: set, Derived: set.Derive(), Counts: NewCounts(), Valid: func() bool { return true },
		Promised: func() time.Time { return time.Time{} }, Catalog: func() []jobs.MachineType { return nil },
		Cache: jobs.NewCache(nil, time.Second, time.Second, time.Second, 8), Peers: noPeers{}, Store: kvstore.New("state:1", emulator.NewNet().From("perch-0"), time.Second, kvstore.Budget{}),
	}, election.Term{Token: 5})
	l.attempts, l.viewTime = 100, now
	l.watch = liveness.New(liveness.Config{SilentFor: time.Second, LeaseOver: time.Second, HoldGrace: time.Second, Gap: time.Second})
	j := newJob("j-1", &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 2, CPUs: 1}, 1, 0, now)
	l.jobs["j-1"] = j
	l.report(report(1, 1), now)
	m := l.machines.byID["m-1"]
	l.assign(j, j.take(), m, now)
	for _, a := range m.assigned {
		a.durable = true
	}
	return l, m, j, now
}

func report(session, seq uint64, tasks ...workers.Task) *workers.Report {
	return &workers.Report{Machine: "m-1", Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", Session: session, Seq: seq, Token: 5, Tasks: tasks}
}

func ops(calls []workers.Call) (out []string) {
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
	if d := cmp.Diff([]string{"run j-1/0"}, ops(l.report(report(1, 2), now).Calls)); d != "" {
		t.Fatal(d)
	}
	l.report(report(1, 4, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	l.stop(j.tasks[0], 5)
	l.report(report(1, 5, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Saving}), now)
	l.report(report(1, 3), now)
	if a := j.tasks[0]; a == nil || a.outcome != open {
		t.Error("an old report ended a task that is still saving")
	}
	if m.seq != 5 || m.room.CPUs != 1 {
		t.Errorf("picture at %d, %v CPUs taken", m.seq, m.room.CPUs)
	}
	// A report of an earlier session says nothing at all.
	l.report(report(2, 1), now)
	if l.report(report(1, 9), now) != nil {
		t.Error("answered a session that is over")
	}
}

// A task's end is cleared once its completion is durable, and in answers only:
// a run in an answer that is still on its way could follow a clear sent by order.
func TestClearFollowsTheRecord(t *testing.T) {
	l, m, _, now := bench()
	l.report(report(1, 2), now)
	done := workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Ended, Cause: workers.CauseDone}
	if calls := l.report(report(1, 3, done), now).Calls; len(calls) > 0 {
		t.Errorf("before the completion is durable: %v", ops(calls))
	}
	for _, a := range m.assigned {
		l.forget(a) // as after the write
	}
	if calls := l.calls(m, false); len(calls) > 0 {
		t.Errorf("by order: %v", ops(calls))
	}
	if d := cmp.Diff([]string{"clear j-1/0"}, ops(l.report(report(1, 4, done), now).Calls)); d != "" {
		t.Error(d)
	}
}

// What nobody has assigned is stopped: another attempt of a job that is known, a job that
// is over, what is no job's task at all. A task of a job that nobody knows is left alone:
// its record may have been lost.
func TestUnassignedTasksAreStopped(t *testing.T) {
	l, _, _, now := bench()
	l.Cache.Set("job/j-8", []byte(`{"stance":"done","tasks":1}`), 3)
	l.report(report(1, 2), now)
	tasks := []workers.Task{
		{Task: "j-1/0", Attempt: 101, State: workers.Running},
		{Task: "j-1/1", Attempt: 7, State: workers.Running},
		{Task: "j-8/0", Attempt: 8, State: workers.Running},
		{Task: "x-1/0", Attempt: 9, State: workers.Running},
		{Task: "j-9/3", Attempt: 10, State: workers.Running},
		{Task: "j-9/4", Attempt: 11, State: workers.Ended, Cause: workers.CauseDone},
	}
	if d := cmp.Diff([]string{"stop j-1/1", "stop j-8/0", "stop x-1/0"}, ops(l.report(report(1, 3, tasks...), now).Calls)); d != "" {
		t.Error(d)
	}
}

// Who does not hold the term, has an old picture of users' wishes, or meets a
// worker that has seen a higher token, has no right to answer.
func TestNoRightToAnswer(t *testing.T) {
	l, _, _, now := bench()
	higher := report(1, 2)
	higher.Token = 6
	if l.report(higher, now) != nil {
		t.Error("answered under a lower token than the worker has seen")
	}
	if l.report(report(1, 3), now.Add(l.Derived.WatchStale+time.Second)) != nil {
		t.Error("answered with a picture in which cancellations may be missing")
	}
	l.Valid = func() bool { return false }
	if l.report(report(1, 4), now) != nil {
		t.Error("answered without the term")
	}
}

// What a new leader hears first may be a copy of a report that was sent to an
// earlier one, at any time. It proves nothing: not that the machine is there, not
// that a task is not.
func TestReportsBeforeTheTerm(t *testing.T) {
	l, m, j, now := bench()
	l.report(report(1, 2), now)
	old := report(1, 9)
	old.Token = 4
	until := l.Derived.SilentFor + time.Second
	if a := l.report(old, now.Add(until)); a == nil || a.Token != 5 || len(a.Calls) != 0 {
		t.Errorf("answered %+v, want the token and no commands", a)
	}
	lease := m.leaseUntil
	if l.report(old, now.Add(until+time.Second)) != nil || m.leaseUntil != lease {
		t.Error("a copy of it renewed the lease once more")
	}
	if m.seq == 9 || j.tasks[0] == nil || l.watch.Placeable("m-1", now.Add(until)) {
		t.Error("an old report counted as news")
	}
	other := report(1, 3)
	other.Machine, other.Token = "m-2", 4
	if l.report(other, now); l.machines.byID["m-2"] != nil {
		t.Error("a machine was taken in by an old report of it")
	}
}

// An answer to a report from before the term renews the worker's lease. It stops what is
// cancelled there: were this leader to end before the next report, as in an outage that
// follows a change of leaders, such a task would outlast the time of its cancellation.
// (Found on the bench: ran_cancelled, by 0.5.0 with leaders that changed every ten seconds.)
func TestOldReportsOfCancelledTasks(t *testing.T) {
	l, m, j, now := bench()
	live := newJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 1, CPUs: 1}, 1, 0, now)
	l.jobs[live.id] = live
	l.cancelled(j, 9)
	old := report(1, 9,
		workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running},
		workers.Task{Task: "j-1/1", Attempt: 102, State: workers.Ended, Cause: workers.CauseDone},
		workers.Task{Task: "j-2/0", Attempt: 103, State: workers.Running},
		workers.Task{Task: "j-3/0", Attempt: 104, State: workers.Running})
	old.Token = 4
	a := l.report(old, now.Add(time.Second))
	if a == nil || a.Token != 5 || len(a.Calls) != 1 {
		t.Fatalf("answered %+v, want one stop", a)
	}
	if c := a.Calls[0]; c.Op != workers.OpStop || c.Task != "j-1/0" || c.Attempt != 101 || *c.GraceS != 0 {
		t.Errorf("call %+v, want j-1/0 to stop at once", c)
	}
	if m.seq == 9 {
		t.Error("an old report counted as news")
	}
}

// A machine that was judged dead comes back while the cloud does not take it back.
// Were its reports answered, its tasks would run on, even those of cancelled jobs.
func TestReturningMachinesAreNotAnswered(t *testing.T) {
	l, m, _, now := bench()
	l.report(report(1, 2), now)
	lease := m.leaseUntil
	m.phase = returning
	if l.report(report(1, 3), now.Add(time.Second)) != nil || m.leaseUntil != lease {
		t.Error("its lease was renewed")
	}
}

// A copy of a report that was answered renews no lease, wakes no dead machine
// and sets no floor.
func TestCopiesOfReports(t *testing.T) {
	l, m, _, now := bench()
	l.report(report(1, 2), now)
	l.report(report(1, 3, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	lease := m.leaseUntil
	m.dead = true
	for _, seq := range []uint64{1, 2, 3} {
		if l.report(report(1, seq), now.Add(5*time.Second)) != nil {
			t.Errorf("a copy of report %d was answered", seq)
		}
	}
	if m.leaseUntil != lease || !m.dead || m.reported != now {
		t.Error("a copy counted as a report")
	}
	// An answer to an order may overtake a report: that one is no copy.
	l.observe(m, report(1, 9, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	if l.report(report(1, 8), now.Add(5*time.Second)) == nil || m.seq != 9 {
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
			l.runTimes["sums"] = &runTimes{variance: 0.25, tasks: 100, jobs: 100}
			j := newJob("j-2", &jobs.Spec{ID: "j-2", Class: "sums", Shape: jobs.Batch, Tasks: 50, CPUs: 1, EstimateS: 10}, 1, 0, now)
			l.jobs["j-2"] = j
			for range 25 {
				j.took(math.Log(10))
			}
			start := func(ran float64) *assignment {
				a := l.assign(j, j.take(), m, now)
				a.seen, a.since = workers.Running, now.Add(-time.Duration(ran*10*float64(time.Second)))
				return a
			}
			for _, r := range tc.before {
				l.ran(start(r), now)
			}
			clear(m.assigned)
			for _, r := range tc.running {
				start(r)
			}
			if tc.running == nil {
				j.tooks = nil // the quick ones would be over first
				start(9)
				start(9)
			}
			l.findSlow(now)
			if m.offer.Slow != tc.slow {
				t.Errorf("slow: %v, odds %.1f", m.offer.Slow, l.slowOdds(m, now))
			}
		})
	}
}

// Reports of a machine arrive, our answers do not: what they ask for never
// happens. It must not look healthy for ever.
func TestAnswersUnheeded(t *testing.T) {
	l, m, _, now := bench()
	for seq := uint64(2); seq < 2+mostUndelivered+1; seq++ {
		if calls := l.report(report(1, seq), now).Calls; len(calls) != 1 {
			t.Fatalf("report %d: %v", seq, ops(calls))
		}
	}
	if l.usable(m, now) {
		t.Error("a machine that does not hear is given work")
	}
	if calls, _ := l.watch.Tick(now, 1); len(calls) != 1 {
		t.Error("it is not called")
	}
	l.inspected(m, report(1, 20), nil, now)
	if !l.usable(m, now) {
		t.Error("it answers calls, but is given no work")
	}
	l.report(report(1, 21, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	l.report(report(1, 22, workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}), now)
	if m.undelivered != 0 || !l.usable(m, now) {
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
		l.report(r, now)
	}
	l.listed(t.Context(), []autoscaler.Listed{{ID: "m-1", State: autoscaler.Running}, {ID: "m-2", State: autoscaler.Running}}, now.Add(time.Millisecond), now)
	asked := now.Add(2 * time.Millisecond)
	r := report(1, 2)
	r.Machine = "m-2"
	l.report(r, asked.Add(time.Millisecond))
	l.listed(t.Context(), nil, asked, asked.Add(2*time.Millisecond))
	calls, _ := l.watch.Tick(asked.Add(3*time.Millisecond), 10)
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
		l.Workers = workers.NewClient(silent, time.Minute)
		l.Derived.OrdersInFlight = 4
		l.events = make(chan func(time.Time), 64)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 20 {
			lost := newMachine(fmt.Sprint("m-9", i), now)
			lost.phase, lost.session, lost.addr, lost.leaseUntil = up, 1, "10.1.0.9:9000", now.Add(time.Hour)
			l.notify(lost) // from an earlier leader's records: it has not reported to this one
		}
		l.orders(ctx, now)
		if l.ordersInFlight != 2 {
			t.Errorf("%d of 4 orders at a time to machines that may not answer", l.ordersInFlight)
		}
		m.leaseUntil = now.Add(time.Hour)
		l.notify(m)
		l.orders(ctx, now)
		if !m.orderBusy {
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
		l.Catalog = func() []jobs.MachineType { return types }
		asked := 0
		l.Cloud = autoscaler.NewCloud("cloud", roundTrip(func(*http.Request) (*http.Response, error) {
			asked++
			return nil, http.ErrHandlerTimeout
		}), time.Second, 100)
		l.Publish, l.events = func(map[string]jobs.Counts, []peer.JobChange) {}, make(chan func(time.Time), 1)
		for _, a := range j.tasks {
			l.conclude(a, retry)
			l.forget(a)
		}
		l.Valid = func() bool { return false }
		ctx, stop := context.WithCancel(t.Context())
		l.tick(ctx, now.Add(l.Derived.Lease))
		if m.phase != up {
			t.Error("a machine was given back")
		}
		// What had begun before is not sent any more either.
		l.release(ctx, now, m)
		l.requestRental(ctx, autoscaler.Rental{Name: "r-5-1", Count: 1})
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
	l.Catalog = func() []jobs.MachineType {
		return []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 8, FetchGBPS: 1, BootS: 10}}
	}
	l.restoreMachine(begunRecord{Machine: "m-9", Addr: "10.1.0.9:9000", Type: "c4", Zone: "a", Session: 1}, now)
	l.place(now)
	if l.replan {
		t.Fatal("a plan is wanted before anything has happened")
	}
	r := report(1, 7)
	r.Machine = "m-9"
	if l.report(r, now); !l.replan {
		t.Error("no plan when it takes work")
	}
	l.place(now)
	r.Seq++
	if l.report(r, now); l.replan {
		t.Error("a plan after a report without news")
	}
}

// A transaction that is rejected as it is says nothing of an outage: planning goes on.
func TestRejectedIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, _, now := bench()
		quiet(t)
		l.events = make(chan func(time.Time), 1)
		l.written(t.Context(), &batch{}, 0, nil, kvstore.ErrUnknown)
		if l.mayBegin(now) {
			t.Error("plans while nothing can be made durable")
		}
		l.log.open = false
		l.written(t.Context(), &batch{}, 0, nil, fmt.Errorf("%w: %w", kvstore.ErrRefused, kvstore.ErrRejected))
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
			j.spec.EstimateS, j.spec.Shape = 30, tc.shape
			l.report(report(1, 2), now)
			task := workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}
			l.report(report(1, 3, task), now)
			r := report(1, 4, task)
			r.NoticeS = &tc.inS
			now = now.Add(time.Duration(tc.ran * float64(time.Second)))
			l.viewTime = now
			l.report(r, now)
			if a := j.tasks[0]; a.stop != tc.moved {
				t.Errorf("stopped: %v", a.stop)
			}
			// Not heard of after the notice, it is taken, and given back at once.
			l.Catalog = func() []jobs.MachineType { return []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}} }
			l.returning = true // a request is on its way: ours waits for it
			l.manageFleet(t.Context(), m.noticeUntil.Add(time.Millisecond))
			if m.phase != returning {
				t.Error("not given back when its notice was over")
			}
		})
	}
}

// A job whose tasks are stopped again soon after they start has got nothing: it
// would wait for ever if each of them began its wait anew.
func TestStartsThatDoNotLast(t *testing.T) {
	l, _, j, now := bench()
	l.report(report(1, 2), now)
	task := workers.Task{Task: "j-1/0", Attempt: 101, State: workers.Running}
	late := now.Add(l.Derived.BeginBy)
	l.viewTime = late
	l.report(report(1, 3, task), late)
	a := j.tasks[0]
	if n := l.overdue(j, late.Add(time.Second)); n != 1 {
		t.Errorf("with a task that has just begun: %d go first", n)
	}
	a.overdue = true
	if n := l.overdue(j, late.Add(time.Second)); n != 0 {
		t.Errorf("with one ahead already: %d go first", n)
	}
	l.stop(a, 5)
	if n := l.overdue(j, late.Add(time.Second)); n != 1 {
		t.Errorf("when it has to stop again: %d go first", n)
	}
	a.stop = false
	if n := l.overdue(j, late.Add(l.Derived.Lasting+time.Second)); n != 0 {
		t.Errorf("with a task that has lasted: %d go first", n)
	}
}

// The answer to an order tells of a worker's next session before its old lease is over by
// the leader's clock: the last report was long under way. What begins in the new session
// is not taken for lost with the old one, or it would run twice. (Found by TestTroublesMeet,
// seed 1255.)
func TestNewSessionSeenByAnOrder(t *testing.T) {
	l, m, j, now := bench()
	old := j.tasks[0]
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	l.observe(m, report(2, 1), at(19))
	if old.outcome == open {
		t.Fatal("the old session's task goes on")
	}
	a := l.assign(j, 1, m, at(19.1))
	a.durable, a.sent = true, true
	l.observe(m, report(2, 2, workers.Task{Task: a.name(), Attempt: a.attempt, State: workers.Running}), at(19.2))
	l.expire(at(21)) // by which the old lease is over, by any clock
	if a.outcome != open {
		t.Error("lost with the old lease, while the new session runs on")
	}
	l.expire(at(40))
	if a.outcome == open {
		t.Error("no lease lasts for ever")
	}
}

// A look at all machines for leases that are over is due only when one can be. Whatever
// comes in between (reports, new machines, new sessions), each lease ends in the first
// tick after its time.
func TestLeasesEndInTime(t *testing.T) {
	l, _, _, start := bench()
	l.Publish = func(map[string]jobs.Counts, []peer.JobChange) {}
	rnd := rand.New(rand.NewPCG(7, 0))
	seq := uint64(100)
	const step = 100 * time.Millisecond
	for now := start; now.Sub(start) < 20*l.Derived.LeaseOver; now = now.Add(step) {
		l.viewTime = now
		if rnd.IntN(8) == 0 {
			seq++
			r := report(1, seq)
			r.Machine, r.Token = fmt.Sprintf("m-%06d", rnd.IntN(30)), l.token
			if m := l.machines.byID[r.Machine]; m != nil {
				r.Session = m.session + uint64(rnd.IntN(2))
			}
			l.report(r, now)
		}
		l.expire(now)
		for _, m := range l.machines.all {
			if m.phase == up && now.After(m.leaseUntil) {
				t.Fatalf("%v: the lease of %s was over %v ago", now.Sub(start), m.id, now.Sub(m.leaseUntil))
			}
		}
	}
}
