package assignmentlog

import (
	"testing"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
)

// testConfig is the limits of the tests' logs.
var testConfig = Config{ChunkTasks: 64, MaxOps: 12, ValueBytes: 32 << 10}

// queueBegins queues the beginnings of all tasks of a new gang on one machine.
func queueBegins(t *testing.T, log *Log, tasks int) (queued []*cluster.Assignment) {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	job := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Tasks: tasks, CPUs: 1}, 1, 0, now)
	machine := cluster.NewMachine("m-1", now)
	for range tasks {
		index := job.TakePendingTask()
		a := &cluster.Assignment{Job: job, Index: index, Attempt: uint64(102 + index), GangAttempt: 101, Session: 1, Machine: machine}
		job.Assignments[index], machine.Assignments[a.Attempt] = a, a
		log.QueueBegin(a)
		queued = append(queued, a)
	}
	return queued
}

// compose puts a transaction of the log's segments together, as the leader's writer does.
func compose(log *Log) *transaction.Batch {
	batch := transaction.New()
	log.Grow(testConfig.MaxOps / 2)
	log.AddSegments(batch, testConfig.MaxOps)
	return batch
}

// A transaction writes no more segments than its news need: with each segment that it
// drafted, the log once seemed to wait for one more.
func TestPagesByNeed(t *testing.T) {
	log := New(testConfig)
	begins := queueBegins(t, log, 3)
	if b := compose(log); len(b.Writes) != 1 {
		t.Errorf("%d segments for %d beginnings", len(b.Writes), len(begins))
	}
}
