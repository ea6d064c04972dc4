package recoverer

import (
	"fmt"
	"testing"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Tasks of jobs that nobody knows are left alone, and a few of the jobs' records read at a time.
func TestOrphanedTasks(t *testing.T) {
	s := newScenario(t)
	machine := s.addMachine("m-1")
	for n := range maxOrphanReads + 2 {
		task := running(fmt.Sprintf("j-%06d", n), 0, uint64(n))
		for range 2 { // the next heartbeat has it once more
			if !s.LeaveAlone(machine, &task) {
				t.Errorf("%s would be stopped", task.Name)
			}
		}
	}
	if s.orphans.readsInFlight != maxOrphanReads || len(s.orphans.byJob) != maxOrphanReads+2 {
		t.Errorf("%d reads for %d jobs", s.orphans.readsInFlight, len(s.orphans.byJob))
	}
	machine.Worker.HeartbeatAt = s.now
	machine.Worker.Tasks = []workers.TaskStatus{running("j-000001", 0, 1)}
	if !s.MayHaveUnknownTasks(machine) {
		t.Error("the machine would be released")
	}
	if idle := s.addMachine("m-2"); s.MayHaveUnknownTasks(idle) {
		t.Error("a machine without tasks is kept after every lease of before the term has expired")
	}
}

// What is no orphan is stopped or cleared as ever.
func TestNoOrphanedTasks(t *testing.T) {
	s := newScenario(t)
	s.addJob(jobs.Batch)
	for _, task := range []workers.TaskStatus{{Name: "not a task"}, {Name: "no-job/0"}, running("j-000001", 0, 3)} {
		if s.LeaveAlone(s.addMachine("m-"+task.Name), &task) {
			t.Errorf("%s is left alone", task.Name)
		}
	}
}
