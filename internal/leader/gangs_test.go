package leader

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// withGang is a leader with two machines and a gang of three: two tasks on the
// first machine, one on the second.
func withGang() (l *Leader, j *job, now time.Time) {
	l, m, old, now := bench()
	for _, a := range m.assigned {
		l.conclude(a, retry)
		l.forget(a)
	}
	delete(l.jobs, old.id)
	l.log = assignmentLog{}
	l.readLog(nil)
	other := report(1, 1)
	other.Machine = "m-2"
	l.report(other, now)
	j = newJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Priority: jobs.Standard, Tasks: 3, CPUs: 1, EstimateS: 30, CheckpntS: 10, SaveS: 3, OneZone: true}, 1, 0, now)
	l.jobs[j.id] = j
	for i, id := range []string{"m-1", "m-1", "m-2"} {
		if a := l.assign(j, j.take(), l.machines.byID[id], now); a.n != i {
			panic("tasks are not given out in order")
		}
	}
	return l, j, now
}

// write makes the beginnings of some tasks durable.
func (l *Leader) write(j *job, tasks ...int) {
	d := &segmentBuilder{}
	for _, n := range tasks {
		d.kept = append(d.kept, j.tasks[n])
	}
	l.log.begins = nil
	l.segmentWritten(l.log.segments[len(l.log.segments)-1-len(tasks)], d, 1)
}

var seq uint64 = 10

// says lets a machine report the gang's tasks, in the order of their numbers.
func (l *Leader) says(machine string, j *job, now time.Time, tasks ...workers.Task) []string {
	seq++
	r := report(1, seq, tasks...)
	r.Machine = machine
	answer := l.report(r, now)
	if answer == nil {
		return []string{"no answer"}
	}
	got := ops(answer.Calls)
	slices.Sort(got)
	return got
}

func (j *job) task(n int, state, cause string) workers.Task {
	return workers.Task{Task: workers.TaskName(j.id, n), Attempt: j.tasks[n].gang, State: state, Cause: cause}
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
	if a, b := j.tasks[0], j.tasks[1]; a.attempt == b.attempt || a.gang != b.gang || a.gang == a.attempt {
		t.Errorf("attempts %d and %d of gang %d and %d", a.attempt, b.attempt, a.gang, b.gang)
	}
	l.says("m-1", j, now, j.task(0, workers.Gathering, ""), j.task(1, workers.Fetching, ""))
	if a, b := j.tasks[0], j.tasks[1]; a.seen != workers.Gathering || b.seen != workers.Fetching {
		t.Errorf("seen %q and %q", a.seen, b.seen)
	}
	// A mate that no one has put there, as by a copy of an order, has no part in it.
	if d := cmp.Diff([]string{"stop j-2/0"}, l.says("m-2", j, now, j.task(0, workers.Gathering, ""), j.task(2, workers.Gathering, ""))); d != "" {
		t.Error(d)
	}
	// One of the two ends: the other is still there.
	l.says("m-1", j, now, j.task(0, workers.Ended, workers.CauseNoRoom), j.task(1, workers.Fetching, ""))
	if j.tasks[0].outcome != retry || j.tasks[1].outcome != open {
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
	l.says("m-1", j, now, j.task(0, workers.Running, ""), j.task(1, workers.Running, ""))
	l.says("m-2", j, now, j.task(2, workers.Running, ""))
	l.lost(l.machines.byID["m-2"], "its lease is over")
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, j.task(0, workers.Running, ""), j.task(1, workers.Running, ""))); d != "" {
		t.Error(d)
	}
	l.forget(j.tasks[2])
	l.queue(j)
	l.place(now)
	if len(j.tasks) != 2 {
		t.Error("a task was begun while the others may still run")
	}
	first := j.tasks[0].gang
	l.says("m-1", j, now, j.task(0, workers.Ended, workers.CauseMatesGone), j.task(1, workers.Ended, workers.CauseMatesGone))
	l.forget(j.tasks[0])
	l.place(now)
	if len(j.tasks) != 1 {
		t.Error("begun before the last end was durable")
	}
	l.forget(j.tasks[1])
	if a := l.assign(j, j.take(), l.machines.byID["m-1"], now); a.gang == first || j.waiting != 2 {
		t.Errorf("the next attempt is %d, the last was %d; %d wait", a.gang, first, j.waiting)
	}
}

// A machine that does not answer is given up while a gang gathers: its mates would
// hold their room until the workers give up waiting.
func TestGangGathersNoMore(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, j.task(0, workers.Gathering, ""), j.task(1, workers.Gathering, ""))
	l.returning = true // a request to the cloud is on its way: ours waits for it
	l.judged(t.Context(), l.machines.byID["m-2"], liveness.ProbeFailed, now)
	if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, j.task(0, workers.Gathering, ""), j.task(1, workers.Gathering, ""))); d != "" {
		t.Error(d)
	}
}

// If one is done, all are: also when the end of another, by the loss of its mates,
// came first, and whatever becomes of the rest.
func TestGangDone(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, j.task(0, workers.Running, ""), j.task(1, workers.Running, ""))
	l.says("m-2", j, now, j.task(2, workers.Running, ""))
	l.says("m-1", j, now, j.task(0, workers.Ended, workers.CauseMatesGone), j.task(1, workers.Running, ""))
	if j.doneCount != 0 || j.final {
		t.Fatal("done by a loss")
	}
	done := j.task(2, workers.Ended, workers.CauseDone)
	if d := cmp.Diff([]string(nil), l.says("m-2", j, now, done)); d != "" {
		t.Errorf("before the job's end is durable: %s", d)
	}
	if j.doneCount != 3 || !j.final || len(l.finished) != 1 {
		t.Errorf("%d done, final %v, %d to be written", j.doneCount, j.final, len(l.finished))
	}
	b := l.compose()
	if a := j.tasks[2]; !a.closing || len(b.revisions) < 2 {
		t.Error("the end of the task is not in the transaction that says that the job is done")
	}
}

// A gang that is stopped to save runs on in its reports until all have saved: its
// machine hears all the same.
func TestGangSaves(t *testing.T) {
	l, j, now := withGang()
	l.write(j, 0, 1, 2)
	l.says("m-1", j, now, j.task(0, workers.Running, ""), j.task(1, workers.Running, ""))
	l.says("m-2", j, now, j.task(2, workers.Running, ""))
	l.stopWithGang(j.tasks[1], 3)
	for range mostUndelivered + 2 {
		if d := cmp.Diff([]string{"stop j-2/0", "stop j-2/1"}, l.says("m-1", j, now, j.task(0, workers.Running, ""), j.task(1, workers.Running, ""))); d != "" {
			t.Fatal(d)
		}
	}
	if !l.usable(l.machines.byID["m-1"], now) {
		t.Error("a machine whose tasks save is taken for one that does not hear")
	}
	if a := j.tasks[2]; !a.stop || a.grace != 3 || !l.machines.byID["m-2"].notifyPending {
		t.Error("a mate on another machine is not told at once, with time to save")
	}
}
