package leader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/workers"
)

// A heartbeat that was held up on the way must not turn the observed state back: here the
// task is being stopped, and an old heartbeat that does not show it yet would have
// it placed elsewhere while it is still saving.
func TestOldReportsChangeNothing(t *testing.T) {
	leader, machine, j, now := newTestLeader()
	if d := cmp.Diff([]string{"run j-1/0"}, describeCommands(leader.answerHeartbeat(newHeartbeat(1, 2), now).Commands)); d != "" {
		t.Fatal(d)
	}
	leader.answerHeartbeat(newHeartbeat(1, 4, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	leader.tasks.Stop(j.Assignments[0], 5)
	leader.answerHeartbeat(newHeartbeat(1, 5, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateSaving}), now)
	leader.answerHeartbeat(newHeartbeat(1, 3), now)
	if a := j.Assignments[0]; a == nil || a.Outcome != cluster.Open {
		t.Error("an old report ended a task that is still saving")
	}
	if machine.Worker.Seq != 5 || machine.Used.CPUs != 1 {
		t.Errorf("picture at %d, %v CPUs taken", machine.Worker.Seq, machine.Used.CPUs)
	}
	// A heartbeat of an earlier session says nothing at all.
	leader.answerHeartbeat(newHeartbeat(2, 1), now)
	if leader.answerHeartbeat(newHeartbeat(1, 9), now) != nil {
		t.Error("answered a session that is over")
	}
}

// A task's end is cleared once its completion is durable, and in answers only:
// a run in an answer that is still on its way could follow a clear sent directly.
func TestClearFollowsTheRecord(t *testing.T) {
	leader, m, _, now := newTestLeader()
	leader.answerHeartbeat(newHeartbeat(1, 2), now)
	done := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateEnded, Cause: workers.CauseDone}
	if calls := leader.answerHeartbeat(newHeartbeat(1, 3, done), now).Commands; len(calls) > 0 {
		t.Errorf("before the completion is durable: %v", describeCommands(calls))
	}
	for _, a := range m.Assignments {
		leader.tasks.Remove(a) // as after the write
	}
	if calls := leader.dispatcher.CommandsFor(m, false); len(calls) > 0 {
		t.Errorf("by order: %v", describeCommands(calls))
	}
	if d := cmp.Diff([]string{"clear j-1/0"}, describeCommands(leader.answerHeartbeat(newHeartbeat(1, 4, done), now).Commands)); d != "" {
		t.Error(d)
	}
}

// What nobody has assigned is stopped: another attempt of a job that is known, a job that
// is over, what is no job's task at all. A task of a job that nobody knows is left alone:
// its record may have been lost.
func TestUnassignedTasksAreStopped(t *testing.T) {
	l, _, _, now := newTestLeader()
	l.Cache.Apply("job/j-8", []byte(`{"stance":"done","tasks":1}`), 3)
	l.answerHeartbeat(newHeartbeat(1, 2), now)
	tasks := []workers.TaskStatus{
		{Name: "j-1/0", Attempt: 101, State: workers.StateRunning},
		{Name: "j-1/1", Attempt: 7, State: workers.StateRunning},
		{Name: "j-8/0", Attempt: 8, State: workers.StateRunning},
		{Name: "x-1/0", Attempt: 9, State: workers.StateRunning},
		{Name: "j-9/3", Attempt: 10, State: workers.StateRunning},
		{Name: "j-9/4", Attempt: 11, State: workers.StateEnded, Cause: workers.CauseDone},
	}
	if d := cmp.Diff([]string{"stop j-1/1", "stop j-8/0", "stop x-1/0"}, describeCommands(l.answerHeartbeat(newHeartbeat(1, 3, tasks...), now).Commands)); d != "" {
		t.Error(d)
	}
}

// Who does not hold the term, has an old view of users' wishes, or meets a
// worker that has seen a higher token, has no right to answer.
func TestNoRightToAnswer(t *testing.T) {
	l, _, _, now := newTestLeader()
	higher := newHeartbeat(1, 2)
	higher.FencingToken = 6
	if l.answerHeartbeat(higher, now) != nil {
		t.Error("answered under a lower token than the worker has seen")
	}
	if l.answerHeartbeat(newHeartbeat(1, 3), now.Add(l.Derived.Store.MaxStaleness+time.Second)) != nil {
		t.Error("answered with a picture in which cancellations may be missing")
	}
	l.IsLeader = func() bool { return false }
	if l.answerHeartbeat(newHeartbeat(1, 4), now) != nil {
		t.Error("answered without the term")
	}
}

// What a new leader hears first may be a copy of a heartbeat that was sent to an
// earlier one, at any time. It proves nothing: not that the machine is there, not
// that a task is not.
func TestReportsBeforeTheTerm(t *testing.T) {
	leader, machine, job, now := newTestLeader()
	leader.answerHeartbeat(newHeartbeat(1, 2), now)
	old := newHeartbeat(1, 9)
	old.FencingToken = 4
	until := leader.Derived.Detection.SuspectAfter + time.Second
	if a := leader.answerHeartbeat(old, now.Add(until)); a == nil || a.FencingToken != 5 || len(a.Commands) != 0 {
		t.Errorf("answered %+v, want the token and no commands", a)
	}
	lease := machine.Worker.LeaseUntil
	if leader.answerHeartbeat(old, now.Add(until+time.Second)) != nil || machine.Worker.LeaseUntil != lease {
		t.Error("a copy of it renewed the lease once more")
	}
	if machine.Worker.Seq == 9 || job.Assignments[0] == nil || leader.detector.Schedulable("m-1", now.Add(until)) {
		t.Error("an old report counted as news")
	}
	other := newHeartbeat(1, 3)
	other.Machine, other.FencingToken = "m-2", 4
	if leader.answerHeartbeat(other, now); leader.state.Machines.ByID["m-2"] != nil {
		t.Error("a machine was taken in by an old report of it")
	}
}

// An answer to a heartbeat from before the term renews the worker's lease. It stops what is
// cancelled there: were this leader to end before the next heartbeat, as in an outage that
// follows a change of leaders, such a task would outlast the time of its cancellation.
// (Found on the bench: ran_cancelled, by 0.5.0 with leaders that changed every ten seconds.)
func TestOldReportsOfCancelledTasks(t *testing.T) {
	l, machine, j, now := newTestLeader()
	live := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 1, CPUs: 1}, 1, 0, now)
	l.state.Jobs[live.ID] = live
	l.jobs.Cancel(j, 9)
	old := newHeartbeat(1, 9,
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
	if machine.Worker.Seq == 9 {
		t.Error("an old report counted as news")
	}
}

// A machine that was judged dead comes back while the cloud does not take it back.
// Were its heartbeats answered, its tasks would run on, even those of cancelled jobs.
func TestReturningMachinesAreNotAnswered(t *testing.T) {
	l, m, _, now := newTestLeader()
	l.answerHeartbeat(newHeartbeat(1, 2), now)
	lease := m.Worker.LeaseUntil
	m.Phase = cluster.Releasing
	if l.answerHeartbeat(newHeartbeat(1, 3), now.Add(time.Second)) != nil || m.Worker.LeaseUntil != lease {
		t.Error("its lease was renewed")
	}
}

// A copy of a heartbeat that was answered renews no lease, wakes no dead machine
// and sets no floor.
func TestCopiesOfReports(t *testing.T) {
	leader, machine, _, now := newTestLeader()
	leader.answerHeartbeat(newHeartbeat(1, 2), now)
	leader.answerHeartbeat(newHeartbeat(1, 3, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	lease := machine.Worker.LeaseUntil
	machine.Health.Dead = true
	for _, seq := range []uint64{1, 2, 3} {
		if leader.answerHeartbeat(newHeartbeat(1, seq), now.Add(5*time.Second)) != nil {
			t.Errorf("a copy of report %d was answered", seq)
		}
	}
	if machine.Worker.LeaseUntil != lease || !machine.Health.Dead || machine.Worker.HeartbeatAt != now {
		t.Error("a copy counted as a report")
	}
	// An answer to a command may overtake a heartbeat: that one is no copy.
	leader.tasks.Observe(machine, newHeartbeat(1, 9, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if leader.answerHeartbeat(newHeartbeat(1, 8), now.Add(5*time.Second)) == nil || machine.Worker.Seq != 9 {
		t.Error("a report that an answer overtook was not answered, or turned the picture back")
	}
}

// Heartbeats of a machine arrive, our answers do not: what they ask for never
// happens. It must not look healthy for ever.
func TestAnswersUnheeded(t *testing.T) {
	leader, machine, _, now := newTestLeader()
	for seq := uint64(2); seq < 2+dispatch.MaxUndelivered+1; seq++ {
		if calls := leader.answerHeartbeat(newHeartbeat(1, seq), now).Commands; len(calls) != 1 {
			t.Fatalf("report %d: %v", seq, describeCommands(calls))
		}
	}
	if leader.acceptsWork(machine, now) {
		t.Error("a machine that does not hear is given work")
	}
	if calls, _ := leader.detector.Tick(now, 1); len(calls) != 1 {
		t.Error("it is not called")
	}
	leader.probeReturned(machine, newHeartbeat(1, 20), nil, now)
	if !leader.acceptsWork(machine, now) {
		t.Error("it answers calls, but is given no work")
	}
	leader.answerHeartbeat(newHeartbeat(1, 21, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	leader.answerHeartbeat(newHeartbeat(1, 22, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if machine.Commands.UndeliveredAnswers != 0 || !leader.acceptsWork(machine, now) {
		t.Error("a machine that does what it is told is suspected")
	}
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
			leader, machine, j, now := newTestLeader()
			j.Spec.EstimatedRuntimeS, j.Spec.Shape = 30, tc.shape
			leader.answerHeartbeat(newHeartbeat(1, 2), now)
			task := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}
			leader.answerHeartbeat(newHeartbeat(1, 3, task), now)
			r := newHeartbeat(1, 4, task)
			r.SpotNoticeS = &tc.inS
			now = now.Add(time.Duration(tc.ran * float64(time.Second)))
			leader.jobs.Loaded(now, leader.jobs.SeenRevision())
			leader.answerHeartbeat(r, now)
			if a := j.Assignments[0]; a.Stop.Requested != tc.moved {
				t.Errorf("stopped: %v", a.Stop.Requested)
			}
			// Not heard of after the notice, it is taken, and given back at once.
			leader.catalog.Types = func() []jobs.MachineType { return []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}} }
			leader.scale(t.Context(), machine.Health.NoticeUntil.Add(time.Millisecond))
			if machine.Phase != cluster.Releasing {
				t.Error("not given back when its notice was over")
			}
		})
	}
}
