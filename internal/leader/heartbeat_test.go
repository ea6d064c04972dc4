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

// A delayed heartbeat must not revert the observed state. Here a task is being stopped, and an older
// heartbeat does not list the task yet. If it were applied, the task would be placed elsewhere while
// it is still saving its checkpoint.
func TestDelayedHeartbeatsChangeNothing(t *testing.T) {
	leader, machine, j, now := newTestLeader()
	if d := cmp.Diff([]string{"run j-1/0"}, describeCommands(leader.handleHeartbeat(newHeartbeat(1, 2), now).Commands)); d != "" {
		t.Fatal(d)
	}
	leader.handleHeartbeat(newHeartbeat(1, 4, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	leader.tasks.Stop(j.Assignments[0], 5)
	leader.handleHeartbeat(newHeartbeat(1, 5, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateSaving}), now)
	leader.handleHeartbeat(newHeartbeat(1, 3), now)
	if a := j.Assignments[0]; a == nil || a.Outcome != cluster.Open {
		t.Error("an old heartbeat ended a task that is still saving")
	}
	if machine.Worker.Seq != 5 || machine.Used.CPUs != 1 {
		t.Errorf("observed state of heartbeat %d, %v CPUs used", machine.Worker.Seq, machine.Used.CPUs)
	}
	// A heartbeat of an earlier agent epoch proves nothing.
	leader.handleHeartbeat(newHeartbeat(2, 1), now)
	if leader.handleHeartbeat(newHeartbeat(1, 9), now) != nil {
		t.Error("answered a heartbeat of an earlier agent epoch")
	}
}

// An ended task is cleared only after its completion is durable, and only in heartbeat responses. A
// clear that is sent directly could be followed by a run from a response that is still in flight.
func TestClearAfterDurableCompletion(t *testing.T) {
	leader, m, _, now := newTestLeader()
	leader.handleHeartbeat(newHeartbeat(1, 2), now)
	done := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateEnded, Cause: workers.CauseDone}
	if commands := leader.handleHeartbeat(newHeartbeat(1, 3, done), now).Commands; len(commands) > 0 {
		t.Errorf("commands before the completion is durable: %v", describeCommands(commands))
	}
	for _, a := range m.Assignments {
		leader.tasks.Remove(a) // as after the commit
	}
	if commands := leader.dispatcher.CommandsFor(m, false); len(commands) > 0 {
		t.Errorf("commands outside of a heartbeat response: %v", describeCommands(commands))
	}
	if d := cmp.Diff([]string{"clear j-1/0"}, describeCommands(leader.handleHeartbeat(newHeartbeat(1, 4, done), now).Commands)); d != "" {
		t.Error(d)
	}
}

// Orphaned tasks are stopped: another attempt of a known job's task, a task of a finished job,
// and a task whose name does not name a job. A task of an unknown job is left alone, because the
// job's record may have been lost.
func TestOrphanedTasksAreStopped(t *testing.T) {
	l, _, _, now := newTestLeader()
	l.Cache.Apply("job/j-8", []byte(`{"stance":"done","tasks":1}`), 3)
	l.handleHeartbeat(newHeartbeat(1, 2), now)
	tasks := []workers.TaskStatus{
		{Name: "j-1/0", Attempt: 101, State: workers.StateRunning},
		{Name: "j-1/1", Attempt: 7, State: workers.StateRunning},
		{Name: "j-8/0", Attempt: 8, State: workers.StateRunning},
		{Name: "x-1/0", Attempt: 9, State: workers.StateRunning},
		{Name: "j-9/3", Attempt: 10, State: workers.StateRunning},
		{Name: "j-9/4", Attempt: 11, State: workers.StateEnded, Cause: workers.CauseDone},
	}
	if d := cmp.Diff([]string{"stop j-1/1", "stop j-8/0", "stop x-1/0"}, describeCommands(l.handleHeartbeat(newHeartbeat(1, 3, tasks...), now).Commands)); d != "" {
		t.Error(d)
	}
}

// A controller must not answer a heartbeat if it does not hold the term, if its view of the job
// records is stale, or if the worker has seen a higher fencing token.
func TestHeartbeatsWithoutResponse(t *testing.T) {
	l, _, _, now := newTestLeader()
	higherTokenHeartbeat := newHeartbeat(1, 2)
	higherTokenHeartbeat.FencingToken = 6
	if l.handleHeartbeat(higherTokenHeartbeat, now) != nil {
		t.Error("answered with a lower token than the worker has seen")
	}
	if l.handleHeartbeat(newHeartbeat(1, 3), now.Add(l.Derived.Store.MaxStaleness+time.Second)) != nil {
		t.Error("answered with a stale view in which cancellations may be missing")
	}
	l.IsLeader = func() bool { return false }
	if l.handleHeartbeat(newHeartbeat(1, 4), now) != nil {
		t.Error("answered without holding the term")
	}
}

// The first heartbeat that a new leader receives may be a copy, of any age, of one that was sent to
// an earlier leader. It proves neither that the machine exists nor that a task is not on it.
func TestHeartbeatsOfEarlierTerms(t *testing.T) {
	leader, machine, job, now := newTestLeader()
	leader.handleHeartbeat(newHeartbeat(1, 2), now)
	oldHeartbeat := newHeartbeat(1, 9)
	oldHeartbeat.FencingToken = 4
	suspectDelay := leader.Derived.Detection.SuspectAfter + time.Second
	if response := leader.handleHeartbeat(oldHeartbeat, now.Add(suspectDelay)); response == nil || response.FencingToken != 5 || len(response.Commands) != 0 {
		t.Errorf("response %+v, want the token and no commands", response)
	}
	lease := machine.Worker.LeaseUntil
	if leader.handleHeartbeat(oldHeartbeat, now.Add(suspectDelay+time.Second)) != nil || machine.Worker.LeaseUntil != lease {
		t.Error("a copy of the heartbeat renewed the lease again")
	}
	if machine.Worker.Seq == 9 || job.Assignments[0] == nil || leader.detector.Schedulable("m-1", now.Add(suspectDelay)) {
		t.Error("a heartbeat of an earlier term was applied")
	}
	otherMachineHeartbeat := newHeartbeat(1, 3)
	otherMachineHeartbeat.Machine, otherMachineHeartbeat.FencingToken = "m-2", 4
	if leader.handleHeartbeat(otherMachineHeartbeat, now); leader.state.Machines.ByID["m-2"] != nil {
		t.Error("a heartbeat of an earlier term added a machine")
	}
}

// The response to a heartbeat of an earlier term renews the worker's lease, so it has to stop tasks
// of cancelled jobs. Otherwise such a task outlasts its cancel deadline if this leader fails before
// the next heartbeat, as in an outage after a failover. Version 0.5.0 had this fault (ran_cancelled)
// when the leader changed every ten seconds.
func TestEarlierTermHeartbeatStopsCancelledTasks(t *testing.T) {
	l, machine, j, now := newTestLeader()
	unfinishedJob := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 1, CPUs: 1}, 1, 0, now)
	l.state.Jobs[unfinishedJob.ID] = unfinishedJob
	l.jobs.Cancel(j, 9)
	oldHeartbeat := newHeartbeat(1, 9,
		workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning},
		workers.TaskStatus{Name: "j-1/1", Attempt: 102, State: workers.StateEnded, Cause: workers.CauseDone},
		workers.TaskStatus{Name: "j-2/0", Attempt: 103, State: workers.StateRunning},
		workers.TaskStatus{Name: "j-3/0", Attempt: 104, State: workers.StateRunning})
	oldHeartbeat.FencingToken = 4
	response := l.handleHeartbeat(oldHeartbeat, now.Add(time.Second))
	if response == nil || response.FencingToken != 5 || len(response.Commands) != 1 {
		t.Fatalf("response %+v, want one stop command", response)
	}
	if c := response.Commands[0]; c.Op != workers.OpStop || c.Task != "j-1/0" || c.Attempt != 101 || *c.GraceS != 0 {
		t.Errorf("command %+v, want j-1/0 to stop at once", c)
	}
	if machine.Worker.Seq == 9 {
		t.Error("a heartbeat of an earlier term was applied")
	}
}

// A machine that was declared dead reports again before the cloud has released it. If its heartbeats
// were answered, its tasks would keep running, even those of cancelled jobs.
func TestReleasingMachinesGetNoResponse(t *testing.T) {
	l, m, _, now := newTestLeader()
	l.handleHeartbeat(newHeartbeat(1, 2), now)
	lease := m.Worker.LeaseUntil
	m.Phase = cluster.Releasing
	if l.handleHeartbeat(newHeartbeat(1, 3), now.Add(time.Second)) != nil || m.Worker.LeaseUntil != lease {
		t.Error("the lease of a machine that is being released was renewed")
	}
}

// A copy of an answered heartbeat renews no lease, does not bring a dead machine back, and sets no
// watermark.
func TestDuplicateHeartbeatsChangeNothing(t *testing.T) {
	leader, machine, _, now := newTestLeader()
	leader.handleHeartbeat(newHeartbeat(1, 2), now)
	leader.handleHeartbeat(newHeartbeat(1, 3, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	lease := machine.Worker.LeaseUntil
	machine.Health.Dead = true
	for _, seq := range []uint64{1, 2, 3} {
		if leader.handleHeartbeat(newHeartbeat(1, seq), now.Add(5*time.Second)) != nil {
			t.Errorf("a copy of heartbeat %d was answered", seq)
		}
	}
	if machine.Worker.LeaseUntil != lease || !machine.Health.Dead || machine.Worker.HeartbeatAt != now {
		t.Error("a copy of a heartbeat was applied")
	}
	// A command's response may overtake a heartbeat. That heartbeat is not a copy.
	leader.tasks.Observe(machine, newHeartbeat(1, 9, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if leader.handleHeartbeat(newHeartbeat(1, 8), now.Add(5*time.Second)) == nil || machine.Worker.Seq != 9 {
		t.Error("an overtaken heartbeat was not answered, or reverted the observed state")
	}
}

// The heartbeats of a machine arrive, but the responses to them are lost, so that its worker never
// executes a command. Such a machine must not look healthy forever.
func TestMachinesWithLostResponsesAreProbed(t *testing.T) {
	leader, machine, _, now := newTestLeader()
	for seq := uint64(2); seq < 2+dispatch.MaxUndeliveredResponses+1; seq++ {
		if commands := leader.handleHeartbeat(newHeartbeat(1, seq), now).Commands; len(commands) != 1 {
			t.Fatalf("heartbeat %d: %v", seq, describeCommands(commands))
		}
	}
	if leader.acceptsWork(machine, now) {
		t.Error("a machine that receives no responses accepts work")
	}
	if probes, _ := leader.detector.Tick(now, 1); len(probes) != 1 {
		t.Error("the machine is not probed")
	}
	leader.handleProbeResult(machine, newHeartbeat(1, 20), nil, now)
	if !leader.acceptsWork(machine, now) {
		t.Error("a machine that answers probes accepts no work")
	}
	leader.handleHeartbeat(newHeartbeat(1, 21, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	leader.handleHeartbeat(newHeartbeat(1, 22, workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}), now)
	if machine.Commands.UndeliveredResponses != 0 || !leader.acceptsWork(machine, now) {
		t.Error("a machine that executes its commands is suspect")
	}
}

// A spot machine with a termination notice keeps the tasks that may complete in time. Other tasks
// are started elsewhere at once; otherwise their loss would be noticed only after the notice period.
func TestSpotNoticeMovesTasksThatCannotComplete(t *testing.T) {
	for _, tc := range []struct {
		name  string
		shape string
		ran   float64 // of 30 s, in seconds
		inS   float64
		moved bool
	}{
		{"just started", jobs.Batch, 1, 10, true},
		{"nearly complete", jobs.Batch, 29, 20, false},
		{"just started, long notice", jobs.Batch, 1, 60, false},
		{"a service", jobs.Service, 100, 10, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader, machine, j, now := newTestLeader()
			j.Spec.EstimatedRuntimeS, j.Spec.Shape = 30, tc.shape
			leader.handleHeartbeat(newHeartbeat(1, 2), now)
			task := workers.TaskStatus{Name: "j-1/0", Attempt: 101, State: workers.StateRunning}
			leader.handleHeartbeat(newHeartbeat(1, 3, task), now)
			heartbeat := newHeartbeat(1, 4, task)
			heartbeat.SpotNoticeS = &tc.inS
			now = now.Add(time.Duration(tc.ran * float64(time.Second)))
			leader.jobs.MarkLoaded(now, leader.jobs.SeenRevision())
			leader.handleHeartbeat(heartbeat, now)
			if a := j.Assignments[0]; a.Stop.Requested != tc.moved {
				t.Errorf("stop requested: %v", a.Stop.Requested)
			}
			// A machine that is silent after the notice period is gone and is released at once.
			leader.catalog.Types = func() []jobs.MachineType { return []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}} }
			leader.scale(t.Context(), machine.Health.ReclaimAt.Add(time.Millisecond))
			if machine.Phase != cluster.Releasing {
				t.Error("not released after the notice period")
			}
		})
	}
}
