package leader

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// newLeaderWithGang returns a leader with two machines and a gang of three tasks. Two tasks are
// assigned to the first machine and one to the second; no assignment is durable yet.
func newLeaderWithGang() (leader *Leader, job *cluster.Job, now time.Time) {
	leader, m, removedJob, now := newTestLeader()
	for _, a := range m.Assignments {
		leader.tasks.End(a, cluster.Retry)
		leader.tasks.Remove(a)
	}
	delete(leader.state.Jobs, removedJob.ID)
	leader.readLog(nil)
	otherMachineHeartbeat := newHeartbeat(1, 1)
	otherMachineHeartbeat.Machine = "m-2"
	leader.handleHeartbeat(otherMachineHeartbeat, now)
	job = cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: 3, CPUs: 1, EstimatedRuntimeS: 30, CheckpointIntervalS: 10, CheckpointSaveS: 3, OneZone: true}, 1, 0, now)
	leader.state.Jobs[job.ID] = job
	for i, id := range []string{"m-1", "m-1", "m-2"} {
		if a := leader.tasks.Assign(job, job.TakePendingTask(), leader.state.Machines.ByID[id], now); a.Index != i {
			panic("tasks are not assigned in order")
		}
	}
	return leader, job, now
}

// makeAssignmentsDurable makes the assignments of some tasks of a job durable, as if written to a
// segment of their own, and drops everything else that is queued for the log.
func makeAssignmentsDurable(l *Leader, j *cluster.Job, tasks ...int) {
	l.readLog(nil) // drops what is queued
	for _, n := range tasks {
		l.log.QueueStart(j.Assignments[n])
	}
	batch := transaction.New()
	l.log.AddSegments(batch, 1)
	l.writer.HandleCommit(batch, 1)
}

// lastHeartbeatSeq numbers the heartbeats of commandsAfterHeartbeat.
var lastHeartbeatSeq uint64 = 10

// commandsAfterHeartbeat sends the leader a machine's next heartbeat with the given tasks, and
// returns sorted descriptions of the commands in the response.
func commandsAfterHeartbeat(l *Leader, machine string, now time.Time, tasks ...workers.TaskStatus) []string {
	lastHeartbeatSeq++
	heartbeat := newHeartbeat(1, lastHeartbeatSeq, tasks...)
	heartbeat.Machine = machine
	response := l.handleHeartbeat(heartbeat, now)
	if response == nil {
		return []string{"no response"}
	}
	got := describeCommands(response.Commands)
	slices.Sort(got)
	return got
}

// gangTaskStatus returns the status of a gang's task as its worker reports it.
func gangTaskStatus(j *cluster.Job, n int, state, cause string) workers.TaskStatus {
	return workers.TaskStatus{Name: workers.TaskName(j.ID, n), Attempt: j.Assignments[n].GangAttempt, State: state, Cause: cause}
}

// No task of a gang is started before the assignments of all its tasks are durable. All tasks share
// one gang attempt number, so two tasks on one machine are distinguished by name.
func TestGangStartsTogether(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeAssignmentsDurable(leader, job, 0, 2)
	if d := cmp.Diff([]string(nil), commandsAfterHeartbeat(leader, "m-1", now)); d != "" {
		t.Errorf("before all assignments are durable: %s", d)
	}
	makeAssignmentsDurable(leader, job, 1)
	if d := cmp.Diff([]string{"run j-2/0", "run j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now)); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"run j-2/2"}, commandsAfterHeartbeat(leader, "m-2", now)); d != "" {
		t.Error(d)
	}
	if a, b := job.Assignments[0], job.Assignments[1]; a.Attempt == b.Attempt || a.GangAttempt != b.GangAttempt || a.GangAttempt == a.Attempt {
		t.Errorf("attempts %d and %d of gang attempts %d and %d", a.Attempt, b.Attempt, a.GangAttempt, b.GangAttempt)
	}
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateGathering, ""), gangTaskStatus(job, 1, workers.StateFetching, ""))
	if a, b := job.Assignments[0], job.Assignments[1]; a.ObservedState != workers.StateGathering || b.ObservedState != workers.StateFetching {
		t.Errorf("observed states %q and %q", a.ObservedState, b.ObservedState)
	}
	// A task that is not assigned to the machine, for example one started by a copy of a command, is
	// stopped.
	if d := cmp.Diff([]string{"stop j-2/0"}, commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 0, workers.StateGathering, ""), gangTaskStatus(job, 2, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
	// The end of one of the two tasks does not end the other.
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseNoRoom), gangTaskStatus(job, 1, workers.StateFetching, ""))
	if job.Assignments[0].Outcome != cluster.Retry || job.Assignments[1].Outcome != cluster.Open {
		t.Error("the end of one task was applied to another task")
	}
}

// When one task of a gang is lost, the others are stopped at once. No task is started again before
// the last one has ended and its end is durable.
func TestGangEndsTogether(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeAssignmentsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now)
	commandsAfterHeartbeat(leader, "m-2", now)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	leader.tasks.EndAssignmentsOn(leader.state.Machines.ByID["m-2"], "lease expired")
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))); d != "" {
		t.Error(d)
	}
	leader.tasks.Remove(job.Assignments[2])
	leader.planner.Enqueue(job)
	leader.plan(now)
	if len(job.Assignments) != 2 {
		t.Error("a task was assigned while others of the gang may still run")
	}
	firstGangAttempt := job.Assignments[0].GangAttempt
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseGangMemberGone), gangTaskStatus(job, 1, workers.StateEnded, workers.CauseGangMemberGone))
	leader.tasks.Remove(job.Assignments[0])
	leader.plan(now)
	if len(job.Assignments) != 1 {
		t.Error("a task was assigned before the last end was durable")
	}
	leader.tasks.Remove(job.Assignments[1])
	if a := leader.tasks.Assign(job, job.TakePendingTask(), leader.state.Machines.ByID["m-1"], now); a.GangAttempt == firstGangAttempt || job.Pending.Count != 2 {
		t.Errorf("the next gang attempt is %d, the last was %d; %d tasks are pending", a.GangAttempt, firstGangAttempt, job.Pending.Count)
	}
}

// When a machine is declared dead while a gang gathers, the other tasks are stopped. They would
// otherwise hold their capacity until the workers give up waiting.
func TestGatheringGangStopsWhenMachineDies(t *testing.T) {
	l, j, now := newLeaderWithGang()
	makeAssignmentsDurable(l, j, 0, 1, 2)
	commandsAfterHeartbeat(l, "m-1", now, gangTaskStatus(j, 0, workers.StateGathering, ""), gangTaskStatus(j, 1, workers.StateGathering, ""))
	l.declareDead(t.Context(), l.state.Machines.ByID["m-2"], liveness.ProbeFailed, now)
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(l, "m-1", now, gangTaskStatus(j, 0, workers.StateGathering, ""), gangTaskStatus(j, 1, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
}

// When one task of a gang is done, all are, whatever becomes of the rest. That holds even if another
// task was reported as ended by the loss of a gang member before.
func TestGangCompletesTogether(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeAssignmentsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseGangMemberGone), gangTaskStatus(job, 1, workers.StateRunning, ""))
	if job.Completions.Count != 0 || job.End.Complete {
		t.Fatal("the loss of a gang member completed the job")
	}
	done := gangTaskStatus(job, 2, workers.StateEnded, workers.CauseDone)
	if d := cmp.Diff([]string(nil), commandsAfterHeartbeat(leader, "m-2", now, done)); d != "" {
		t.Errorf("commands before the job's end is durable: %s", d)
	}
	if job.Completions.Count != 3 || !job.End.Complete || leader.jobs.CompletedCount() != 1 {
		t.Errorf("%d tasks done, job complete %v, %d completed jobs to be written", job.Completions.Count, job.End.Complete, leader.jobs.CompletedCount())
	}
	b := leader.writer.Compose()
	if a := job.Assignments[2]; !a.Log.EndInFlight || len(b.Writes) < 2 {
		t.Error("the task's end is not in the transaction that completes the job")
	}
}

// The tasks of a gang that is stopped with time to save a checkpoint are reported as running until
// all have saved. Their machine must not be taken for one that does not receive its commands.
func TestGangSavesBeforeItEnds(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeAssignmentsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	leader.tasks.Stop(job.Assignments[1], 3)
	for range dispatch.MaxUndeliveredResponses + 2 {
		if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))); d != "" {
			t.Fatal(d)
		}
	}
	if !leader.acceptsWork(leader.state.Machines.ByID["m-1"], now) {
		t.Error("a machine whose tasks are saving accepts no work")
	}
	if a := job.Assignments[2]; !a.Stop.Requested || a.Stop.GraceS != 3 || !leader.state.Machines.ByID["m-2"].Commands.NotifyPending {
		t.Error("the task on the other machine is not stopped at once with time to save")
	}
}
