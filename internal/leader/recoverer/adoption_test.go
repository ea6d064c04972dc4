package recoverer

import (
	"testing"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// A reported task without an assignment must be adopted under the attempt number that its worker
// knows, and attempt numbers allocated later must be higher.
func TestAdoptTask(t *testing.T) {
	s := newScenario(t)
	job, machine := s.addJob(jobs.Batch), s.addMachine("m-1")
	report := &workers.Heartbeat{Machine: "m-1", AgentEpoch: 1, Tasks: []workers.TaskStatus{runningTask("j-000001", 1, 77)}}

	s.AdoptReported(machine, report, s.now)
	if len(job.Assignments) != 0 {
		t.Fatal("a task was adopted although its job was not under adoption")
	}
	s.AdoptTasksOf(job, s.now)
	if !s.BlocksPlacement(job, s.now) {
		t.Error("the job may be placed before its tasks are known")
	}
	for range 2 { // the second heartbeat reports nothing new
		s.AdoptReported(machine, report, s.now)
	}
	adopted := job.Assignments[1]
	if adopted == nil || adopted.Attempt != 77 || !adopted.Restored || machine.Assignments[77] != adopted || job.Pending.Count != 1 {
		t.Fatalf("adopted assignment %+v, %d tasks pending", adopted, job.Pending.Count)
	}
	if s.leader.lastAttempt != 77 || s.log.QueueLength() != 1 {
		t.Errorf("attempt numbers reserved up to %d, %d records queued for the log", s.leader.lastAttempt, s.log.QueueLength())
	}
	expired := s.now.Add(s.cfg.Derived.Workers.LeaseExpiry)
	if s.EndAdoptions(expired); s.BlocksPlacement(job, expired) || !s.leader.called("queue j-000001") {
		t.Error("the job still waits after every lease has expired")
	}
}

// A gang must be adopted once all tasks of one attempt are known. If some are never reported, the
// known ones must be adopted when the adoption ends, and then stopped.
func TestAdoptGang(t *testing.T) {
	tests := []struct {
		name            string
		attempts        []uint64 // attempt number of each reported task
		adoptedAtOnce   int
		adoptedInTheEnd int
		stoppedInTheEnd bool
		pendingInTheEnd int
	}{
		{"all tasks of one attempt", []uint64{9, 9}, 2, 2, false, 0},
		{"one of two tasks", []uint64{9}, 0, 1, true, 1},
		{"tasks of two attempts", []uint64{9, 8}, 0, 2, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScenario(t)
			job := s.addJob(jobs.Gang)
			s.AdoptTasksOf(job, s.now)
			for index, attempt := range test.attempts {
				id := []string{"m-1", "m-2"}[index]
				report := &workers.Heartbeat{Machine: id, AgentEpoch: 1, Tasks: []workers.TaskStatus{runningTask(job.ID, index, attempt)}}
				s.AdoptReported(s.addMachine(id), report, s.now)
			}
			if len(job.Assignments) != test.adoptedAtOnce {
				t.Errorf("%d tasks adopted at once", len(job.Assignments))
			}
			s.EndAdoptions(s.now.Add(s.cfg.Derived.Workers.LeaseExpiry))
			if len(job.Assignments) != test.adoptedInTheEnd || job.Pending.Count != test.pendingInTheEnd {
				t.Errorf("%d tasks adopted and %d pending in the end", len(job.Assignments), job.Pending.Count)
			}
			if s.leader.called("stop gang j-000001") != test.stoppedInTheEnd {
				t.Errorf("calls to the leader: %v", s.leader.calls)
			}
			for index, adopted := range job.Assignments {
				if adopted.GangAttempt != test.attempts[index] || adopted.Attempt <= adopted.GangAttempt {
					t.Errorf("task %d has attempt number %d and gang attempt %d", index, adopted.Attempt, adopted.GangAttempt)
				}
			}
		})
	}
}
