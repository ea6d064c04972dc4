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

// newLeaderWithGang makes a leader with two machines and a gang of three: two tasks are assigned
// to the first machine, one to the second, and nothing is durable yet.
func newLeaderWithGang() (leader *Leader, job *cluster.Job, now time.Time) {
	leader, m, old, now := newTestLeader()
	for _, a := range m.Assignments {
		leader.tasks.End(a, cluster.Retry)
		leader.tasks.Remove(a)
	}
	delete(leader.state.Jobs, old.ID)
	leader.readLog(nil)
	other := newHeartbeat(1, 1)
	other.Machine = "m-2"
	leader.answerHeartbeat(other, now)
	job = cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: 3, CPUs: 1, EstimatedRuntimeS: 30, CheckpointIntervalS: 10, CheckpointSaveS: 3, OneZone: true}, 1, 0, now)
	leader.state.Jobs[job.ID] = job
	for i, id := range []string{"m-1", "m-1", "m-2"} {
		if a := leader.tasks.Assign(job, job.TakePendingTask(), leader.state.Machines.ByID[id], now); a.Index != i {
			panic("tasks are not given out in order")
		}
	}
	return leader, job, now
}

// makeBeginsDurable makes the assignments of some tasks of a job durable, as if they had been
// written to a segment of their own, and drops whatever else is queued for the log.
func makeBeginsDurable(l *Leader, j *cluster.Job, tasks ...int) {
	l.readLog(nil) // drops what is queued
	for _, n := range tasks {
		l.log.QueueBegin(j.Assignments[n])
	}
	batch := transaction.New()
	l.log.AddSegments(batch, 1)
	l.writer.Committed(batch, 1)
}

// lastHeartbeatSeq numbers the heartbeats of commandsAfterHeartbeat.
var lastHeartbeatSeq uint64 = 10

// commandsAfterHeartbeat sends the leader the next heartbeat of a machine, with the tasks that its
// worker shows, and describes the commands in the answer, sorted.
func commandsAfterHeartbeat(l *Leader, machine string, now time.Time, tasks ...workers.TaskStatus) []string {
	lastHeartbeatSeq++
	r := newHeartbeat(1, lastHeartbeatSeq, tasks...)
	r.Machine = machine
	answer := l.answerHeartbeat(r, now)
	if answer == nil {
		return []string{"no answer"}
	}
	got := describeCommands(answer.Commands)
	slices.Sort(got)
	return got
}

// gangTaskStatus is a task of a gang as its worker shows it.
func gangTaskStatus(j *cluster.Job, n int, state, cause string) workers.TaskStatus {
	return workers.TaskStatus{Name: workers.TaskName(j.ID, n), Attempt: j.Assignments[n].GangAttempt, State: state, Cause: cause}
}

// No task of a gang is sent before all beginnings are durable. All have the same
// number, so that two on one machine are told apart by their names.
func TestGangGoesTogether(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeBeginsDurable(leader, job, 0, 2)
	if d := cmp.Diff([]string(nil), commandsAfterHeartbeat(leader, "m-1", now)); d != "" {
		t.Errorf("before all were written: %s", d)
	}
	makeBeginsDurable(leader, job, 1)
	if d := cmp.Diff([]string{"run j-2/0", "run j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now)); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"run j-2/2"}, commandsAfterHeartbeat(leader, "m-2", now)); d != "" {
		t.Error(d)
	}
	if a, b := job.Assignments[0], job.Assignments[1]; a.Attempt == b.Attempt || a.GangAttempt != b.GangAttempt || a.GangAttempt == a.Attempt {
		t.Errorf("attempts %d and %d of gang %d and %d", a.Attempt, b.Attempt, a.GangAttempt, b.GangAttempt)
	}
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateGathering, ""), gangTaskStatus(job, 1, workers.StateFetching, ""))
	if a, b := job.Assignments[0], job.Assignments[1]; a.ObservedState != workers.StateGathering || b.ObservedState != workers.StateFetching {
		t.Errorf("seen %q and %q", a.ObservedState, b.ObservedState)
	}
	// A mate that no one has put there, as by a copy of a command, has no part in it.
	if d := cmp.Diff([]string{"stop j-2/0"}, commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 0, workers.StateGathering, ""), gangTaskStatus(job, 2, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
	// One of the two ends: the other is still there.
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseNoRoom), gangTaskStatus(job, 1, workers.StateFetching, ""))
	if job.Assignments[0].Outcome != cluster.Retry || job.Assignments[1].Outcome != cluster.Open {
		t.Error("an end was taken for that of another task")
	}
}

// When one is lost, the others are told to stop at once, and nothing begins before
// the last of them is off and its end durable.
func TestGangEndsTogether(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeBeginsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now)
	commandsAfterHeartbeat(leader, "m-2", now)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	leader.tasks.EndAllOn(leader.state.Machines.ByID["m-2"], "its lease is over")
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))); d != "" {
		t.Error(d)
	}
	leader.tasks.Remove(job.Assignments[2])
	leader.planner.Enqueue(job)
	leader.plan(now)
	if len(job.Assignments) != 2 {
		t.Error("a task was begun while the others may still run")
	}
	first := job.Assignments[0].GangAttempt
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseMatesGone), gangTaskStatus(job, 1, workers.StateEnded, workers.CauseMatesGone))
	leader.tasks.Remove(job.Assignments[0])
	leader.plan(now)
	if len(job.Assignments) != 1 {
		t.Error("begun before the last end was durable")
	}
	leader.tasks.Remove(job.Assignments[1])
	if a := leader.tasks.Assign(job, job.TakePendingTask(), leader.state.Machines.ByID["m-1"], now); a.GangAttempt == first || job.Pending.Count != 2 {
		t.Errorf("the next attempt is %d, the last was %d; %d wait", a.GangAttempt, first, job.Pending.Count)
	}
}

// A machine that does not answer is given up while a gang gathers: its mates would
// hold their room until the workers give up waiting.
func TestGangGathersNoMore(t *testing.T) {
	l, j, now := newLeaderWithGang()
	makeBeginsDurable(l, j, 0, 1, 2)
	commandsAfterHeartbeat(l, "m-1", now, gangTaskStatus(j, 0, workers.StateGathering, ""), gangTaskStatus(j, 1, workers.StateGathering, ""))
	l.declareDead(t.Context(), l.state.Machines.ByID["m-2"], liveness.ProbeFailed, now)
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(l, "m-1", now, gangTaskStatus(j, 0, workers.StateGathering, ""), gangTaskStatus(j, 1, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
}

// If one is done, all are: also when the end of another, by the loss of its mates,
// came first, and whatever becomes of the rest.
func TestGangDone(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeBeginsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateEnded, workers.CauseMatesGone), gangTaskStatus(job, 1, workers.StateRunning, ""))
	if job.Completions.Count != 0 || job.End.Complete {
		t.Fatal("done by a loss")
	}
	done := gangTaskStatus(job, 2, workers.StateEnded, workers.CauseDone)
	if d := cmp.Diff([]string(nil), commandsAfterHeartbeat(leader, "m-2", now, done)); d != "" {
		t.Errorf("before the job's end is durable: %s", d)
	}
	if job.Completions.Count != 3 || !job.End.Complete || leader.jobs.CompletedCount() != 1 {
		t.Errorf("%d done, final %v, %d to be written", job.Completions.Count, job.End.Complete, leader.jobs.CompletedCount())
	}
	b := leader.writer.Compose()
	if a := job.Assignments[2]; !a.Log.EndInFlight || len(b.Writes) < 2 {
		t.Error("the end of the task is not in the transaction that says that the job is done")
	}
}

// A gang that is stopped to save runs on in its heartbeats until all have saved: its
// machine hears all the same.
func TestGangSaves(t *testing.T) {
	leader, job, now := newLeaderWithGang()
	makeBeginsDurable(leader, job, 0, 1, 2)
	commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))
	commandsAfterHeartbeat(leader, "m-2", now, gangTaskStatus(job, 2, workers.StateRunning, ""))
	leader.tasks.Stop(job.Assignments[1], 3)
	for range dispatch.MaxUndelivered + 2 {
		if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, commandsAfterHeartbeat(leader, "m-1", now, gangTaskStatus(job, 0, workers.StateRunning, ""), gangTaskStatus(job, 1, workers.StateRunning, ""))); d != "" {
			t.Fatal(d)
		}
	}
	if !leader.acceptsWork(leader.state.Machines.ByID["m-1"], now) {
		t.Error("a machine whose tasks save is taken for one that does not hear")
	}
	if a := job.Assignments[2]; !a.Stop.Requested || a.Stop.GraceS != 3 || !leader.state.Machines.ByID["m-2"].Commands.NotifyPending {
		t.Error("a mate on another machine is not told at once, with time to save")
	}
}
