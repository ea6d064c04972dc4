package recoverer

import (
	"testing"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// A task that a worker shows and no assignment accounts for becomes one, under the number by which
// its worker knows it. Numbers given out later are above it.
func TestAdoptTask(t *testing.T) {
	s := newScenario(t)
	job, machine := s.addJob(jobs.Batch), s.addMachine("m-1")
	report := &workers.Heartbeat{Machine: "m-1", AgentEpoch: 1, Tasks: []workers.TaskStatus{running("j-000001", 1, 77)}}

	s.AdoptReported(machine, report, s.now)
	if len(job.Assignments) != 0 {
		t.Fatal("a task was adopted though the log names all")
	}
	s.AdoptTasksOf(job, s.now)
	if !s.AwaitsWorkers(job, s.now) {
		t.Error("the job would be placed before its tasks are known")
	}
	for range 2 { // the second heartbeat shows nothing new
		s.AdoptReported(machine, report, s.now)
	}
	adopted := job.Assignments[1]
	if adopted == nil || adopted.Attempt != 77 || !adopted.Restored || machine.Assignments[77] != adopted || job.Pending.Count != 1 {
		t.Fatalf("adopted %+v, %d pending", adopted, job.Pending.Count)
	}
	if s.leader.attempts != 77 || s.log.QueueLength() != 1 {
		t.Errorf("attempts from %d, %d to be logged", s.leader.attempts, s.log.QueueLength())
	}
	expired := s.now.Add(s.cfg.Derived.Workers.LeaseExpiry)
	if s.EndAdoptions(expired); s.AwaitsWorkers(job, expired) || !s.leader.called("queue j-000001") {
		t.Error("the job waits although every lease has expired")
	}
}

// A gang is adopted when all tasks of one attempt are known. If some never are, those that
// are known are adopted at the end, and stopped.
func TestAdoptGang(t *testing.T) {
	tests := []struct {
		name            string
		attempts        []uint64 // of the tasks that are shown
		adoptedAtOnce   int
		adoptedInTheEnd int
		stoppedInTheEnd bool
		pendingInTheEnd int
	}{
		{"whole", []uint64{9, 9}, 2, 2, false, 0},
		{"one of two", []uint64{9}, 0, 1, true, 1},
		{"of two attempts", []uint64{9, 8}, 0, 2, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScenario(t)
			job := s.addJob(jobs.Gang)
			s.AdoptTasksOf(job, s.now)
			for index, attempt := range test.attempts {
				id := []string{"m-1", "m-2"}[index]
				report := &workers.Heartbeat{Machine: id, AgentEpoch: 1, Tasks: []workers.TaskStatus{running(job.ID, index, attempt)}}
				s.AdoptReported(s.addMachine(id), report, s.now)
			}
			if len(job.Assignments) != test.adoptedAtOnce {
				t.Errorf("%d adopted at once", len(job.Assignments))
			}
			s.EndAdoptions(s.now.Add(s.cfg.Derived.Workers.LeaseExpiry))
			if len(job.Assignments) != test.adoptedInTheEnd || job.Pending.Count != test.pendingInTheEnd {
				t.Errorf("%d adopted, %d pending in the end", len(job.Assignments), job.Pending.Count)
			}
			if s.leader.called("stop gang j-000001") != test.stoppedInTheEnd {
				t.Errorf("calls %v", s.leader.calls)
			}
			for index, adopted := range job.Assignments {
				if adopted.GangAttempt != test.attempts[index] || adopted.Attempt <= adopted.GangAttempt {
					t.Errorf("task %d has number %d, of attempt %d", index, adopted.Attempt, adopted.GangAttempt)
				}
			}
		})
	}
}
