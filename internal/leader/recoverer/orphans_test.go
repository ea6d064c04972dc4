package recoverer

import (
	"fmt"
	"testing"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/workers"
)

// Tasks of unknown jobs must be neither stopped nor cleared, and no more than maxOrphanReads of the
// jobs' records must be read at a time.
func TestOrphanedTasks(t *testing.T) {
	s := newScenario(t)
	machine := s.addMachine("m-1")
	for n := range maxOrphanReads + 2 {
		task := runningTask(fmt.Sprintf("j-%06d", n), 0, uint64(n))
		for range 2 { // the next heartbeat reports the task again
			if !s.MustKeepOrphan(machine, &task) {
				t.Errorf("%s may be stopped", task.Name)
			}
		}
	}
	if s.orphans.readsInFlight != maxOrphanReads || len(s.orphans.byJob) != maxOrphanReads+2 {
		t.Errorf("%d reads in flight for %d jobs", s.orphans.readsInFlight, len(s.orphans.byJob))
	}
	machine.Worker.HeartbeatAt = s.now
	machine.Worker.Tasks = []workers.TaskStatus{runningTask("j-000001", 0, 1)}
	if !s.MayHaveUnknownTasks(machine) {
		t.Error("a machine with orphaned tasks may be released")
	}
	if idle := s.addMachine("m-2"); s.MayHaveUnknownTasks(idle) {
		t.Error("a machine without tasks is kept after every lease from before the term has expired")
	}
}

// A task that is not orphaned must be stopped or cleared as usual.
func TestOtherTasksAreNotKept(t *testing.T) {
	s := newScenario(t)
	s.addJob(jobs.Batch)
	for _, task := range []workers.TaskStatus{{Name: "not a task"}, {Name: "no-job/0"}, runningTask("j-000001", 0, 3)} {
		if s.MustKeepOrphan(s.addMachine("m-"+task.Name), &task) {
			t.Errorf("%s is neither stopped nor cleared", task.Name)
		}
	}
}

// TestTasksOfFoundOrphanAreExpected guards against a second start of a task that runs: when the record of
// a job is found because a worker reports its tasks, the leader must know of these tasks as it takes in
// the record, or it would place them elsewhere.
func TestTasksOfFoundOrphanAreExpected(t *testing.T) {
	const id = "j-000001"
	s := newScenario(t)
	task := runningTask(id, 0, 1)
	s.MustKeepOrphan(s.addMachine("m-1"), &task)
	expected := false
	s.leader.onJobChanged = func(id string) { expected = s.MayHaveUnloggedTasks(id) }
	s.orphans.recordFound(id, kvstore.KeyValue{Key: jobs.RecordKey(id), Value: []byte("{}"), Revision: 7}, s.now)
	if !expected {
		t.Error("the job is taken in as one without tasks")
	}
	if len(s.orphans.byJob) > 0 {
		t.Error("the job still counts as orphaned")
	}
}
