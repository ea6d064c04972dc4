package leader

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/dispatch"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// withGang is a leader with two machines and a gang of three: two tasks on the
// first machine, one on the second.
func withGang() (l *Leader, j *cluster.Job, now time.Time) {
	l, m, old, now := bench()
	for _, a := range m.Assignments {
		l.tasks.End(a, cluster.Retry)
		l.tasks.Remove(a)
	}
	delete(l.state.Jobs, old.ID)
	l.readLog(nil)
	other := report(1, 1)
	other.Machine = "m-2"
	l.answerHeartbeat(other, now)
	j = cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: 3, CPUs: 1, EstimatedRuntimeS: 30, CheckpointIntervalS: 10, CheckpointSaveS: 3, OneZone: true}, 1, 0, now)
	l.state.Jobs[j.ID] = j
	for i, id := range []string{"m-1", "m-1", "m-2"} {
		if a := l.tasks.Assign(j, j.TakePendingTask(), l.state.Machines.ByID[id], now); a.Index != i {
			panic("tasks are not given out in order")
		}
	}
	return l, j, now
}

// write makes the beginnings of some tasks durable.
func (l *Leader) write(j *cluster.Job, tasks ...int) {
	l.readLog(nil) // drops what is queued
	segment := l.log.Segments()[len(l.log.Segments())-1-len(tasks)]
	segment.Revision = 1
	for _, n := range tasks {
		a := j.Assignments[n]
		segment.Begun[a.Attempt] = a
		a.Log.Segment, a.Log.Durable = segment, true
		l.tasks.BeginDurable(a)
	}
}

var seq uint64 = 10

// says lets a machine report the gang's tasks, in the order of their numbers.
func (l *Leader) says(machine string, j *cluster.Job, now time.Time, tasks ...workers.TaskStatus) []string {
	seq++
	r := report(1, seq, tasks...)
	r.Machine = machine
	answer := l.answerHeartbeat(r, now)
	if answer == nil {
		return []string{"no answer"}
	}
	got := ops(answer.Commands)
	slices.Sort(got)
	return got
}

func gangTask(j *cluster.Job, n int, state, cause string) workers.TaskStatus {
	return workers.TaskStatus{Name: workers.TaskName(j.ID, n), Attempt: j.Assignments[n].GangAttempt, State: state, Cause: cause}
}

// No task of a gang is sent before all beginnings are durable. All have the same
// number, so that two on one machine are told apart by their names.
func TestGangGoesTogether(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 2)
	if d := cmp.Diff([]string(nil), l.says("m-1", j, now)); d != "" {
		t.Errorf("before all were written: %s", d)
	}
	l.write(j, 1)
	if d := cmp.Diff([]string{"run j-2/0", "run j-2/1"}, l.says("m-1", j, now)); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]string{"run j-2/2"}, l.says("m-2", j, now)); d != "" {
		t.Error(d)
	}
	if a, b := j.Assignments[0], j.Assignments[1]; a.Attempt == b.Attempt || a.GangAttempt != b.GangAttempt || a.GangAttempt == a.Attempt {
		t.Errorf("attempts %d and %d of gang %d and %d", a.Attempt, b.Attempt, a.GangAttempt, b.GangAttempt)
	}
	l.says("m-1", j, now, gangTask(j, 0, workers.StateGathering, ""), gangTask(j, 1, workers.StateFetching, ""))
	if a, b := j.Assignments[0], j.Assignments[1]; a.ObservedState != workers.StateGathering || b.ObservedState != workers.StateFetching {
		t.Errorf("seen %q and %q", a.ObservedState, b.ObservedState)
	}
	// A mate that no one has put there, as by a copy of an order, has no part in it.
	if d := cmp.Diff([]string{"stop j-2/0"}, l.says("m-2", j, now, gangTask(j, 0, workers.StateGathering, ""), gangTask(j, 2, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
	// One of the two ends: the other is still there.
	l.says("m-1", j, now, gangTask(j, 0, workers.StateEnded, workers.CauseNoRoom), gangTask(j, 1, workers.StateFetching, ""))
	if j.Assignments[0].Outcome != cluster.Retry || j.Assignments[1].Outcome != cluster.Open {
		t.Error("an end was taken for that of another task")
	}
}

// When one is lost, the others are told to stop at once, and nothing begins before
// the last of them is off and its end durable.
func TestGangEndsTogether(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now)
	l.says("m-2", j, now)
	l.says("m-1", j, now, gangTask(j, 0, workers.StateRunning, ""), gangTask(j, 1, workers.StateRunning, ""))
	l.says("m-2", j, now, gangTask(j, 2, workers.StateRunning, ""))
	l.tasks.EndAllOn(l.state.Machines.ByID["m-2"], "its lease is over")
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, gangTask(j, 0, workers.StateRunning, ""), gangTask(j, 1, workers.StateRunning, ""))); d != "" {
		t.Error(d)
	}
	l.tasks.Remove(j.Assignments[2])
	l.planner.Enqueue(j)
	l.plan(now)
	if len(j.Assignments) != 2 {
		t.Error("a task was begun while the others may still run")
	}
	first := j.Assignments[0].GangAttempt
	l.says("m-1", j, now, gangTask(j, 0, workers.StateEnded, workers.CauseMatesGone), gangTask(j, 1, workers.StateEnded, workers.CauseMatesGone))
	l.tasks.Remove(j.Assignments[0])
	l.plan(now)
	if len(j.Assignments) != 1 {
		t.Error("begun before the last end was durable")
	}
	l.tasks.Remove(j.Assignments[1])
	if a := l.tasks.Assign(j, j.TakePendingTask(), l.state.Machines.ByID["m-1"], now); a.GangAttempt == first || j.Pending.Count != 2 {
		t.Errorf("the next attempt is %d, the last was %d; %d wait", a.GangAttempt, first, j.Pending.Count)
	}
}

// A machine that does not answer is given up while a gang gathers: its mates would
// hold their room until the workers give up waiting.
func TestGangGathersNoMore(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, gangTask(j, 0, workers.StateGathering, ""), gangTask(j, 1, workers.StateGathering, ""))
	l.declareDead(t.Context(), l.state.Machines.ByID["m-2"], liveness.ProbeFailed, now)
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, gangTask(j, 0, workers.StateGathering, ""), gangTask(j, 1, workers.StateGathering, ""))); d != "" {
		t.Error(d)
	}
}

// If one is done, all are: also when the end of another, by the loss of its mates,
// came first, and whatever becomes of the rest.
func TestGangDone(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, gangTask(j, 0, workers.StateRunning, ""), gangTask(j, 1, workers.StateRunning, ""))
	l.says("m-2", j, now, gangTask(j, 2, workers.StateRunning, ""))
	l.says("m-1", j, now, gangTask(j, 0, workers.StateEnded, workers.CauseMatesGone), gangTask(j, 1, workers.StateRunning, ""))
	if j.Completions.Count != 0 || j.End.Complete {
		t.Fatal("done by a loss")
	}
	done := gangTask(j, 2, workers.StateEnded, workers.CauseDone)
	if d := cmp.Diff([]string(nil), l.says("m-2", j, now, done)); d != "" {
		t.Errorf("before the job's end is durable: %s", d)
	}
	if j.Completions.Count != 3 || !j.End.Complete || l.jobs.CompletedCount() != 1 {
		t.Errorf("%d done, final %v, %d to be written", j.Completions.Count, j.End.Complete, l.jobs.CompletedCount())
	}
	b := l.writer.Compose()
	if a := j.Assignments[2]; !a.Log.EndInFlight || len(b.Writes) < 2 {
		t.Error("the end of the task is not in the transaction that says that the job is done")
	}
}

// A gang that is stopped to save runs on in its reports until all have saved: its
// machine hears all the same.
func TestGangSaves(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, gangTask(j, 0, workers.StateRunning, ""), gangTask(j, 1, workers.StateRunning, ""))
	l.says("m-2", j, now, gangTask(j, 2, workers.StateRunning, ""))
	l.tasks.Stop(j.Assignments[1], 3)
	for range dispatch.MaxUndelivered + 2 {
		if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, gangTask(j, 0, workers.StateRunning, ""), gangTask(j, 1, workers.StateRunning, ""))); d != "" {
			t.Fatal(d)
		}
	}
	if !l.acceptsWork(l.state.Machines.ByID["m-1"], now) {
		t.Error("a machine whose tasks save is taken for one that does not hear")
	}
	if a := j.Assignments[2]; !a.Stop.Requested || a.Stop.GraceS != 3 || !l.state.Machines.ByID["m-2"].Commands.NotifyPending {
		t.Error("a mate on another machine is not told at once, with time to save")
	}
}
