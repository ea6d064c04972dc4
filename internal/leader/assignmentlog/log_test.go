package assignmentlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
)

// testConfig holds the limits of the logs in the tests.
var testConfig = Config{ChunkTasks: 64, MaxOps: 12, ValueBytes: 32 << 10}

// queueStarts queues the starts of all tasks of a new gang on one machine.
func queueStarts(t *testing.T, log *Log, tasks int) (queued []*cluster.Assignment) {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	job := cluster.NewJob("j-2", &jobs.Spec{ID: "j-2", Team: "red", Shape: jobs.Gang, Tasks: tasks, CPUs: 1}, 1, 0, now)
	machine := cluster.NewMachine("m-1", now)
	for range tasks {
		index := job.TakePendingTask()
		a := &cluster.Assignment{Job: job, Index: index, Attempt: uint64(102 + index), GangAttempt: 101, AgentEpoch: 1, Machine: machine}
		job.Assignments[index], machine.Assignments[a.Attempt] = a, a
		log.QueueStart(a)
		queued = append(queued, a)
	}
	return queued
}

// compose builds a transaction with the log's segments in the same way as the leader's writer.
func compose(log *Log) *transaction.Batch {
	batch := transaction.New()
	log.Grow(testConfig.MaxOps / 2)
	log.AddSegments(batch, testConfig.MaxOps)
	return batch
}

// A transaction writes no more segments than its entries need. The log used to request one more
// segment with each segment that it drafted.
func TestWritesNoMoreSegmentsThanNeeded(t *testing.T) {
	log := New(testConfig)
	starts := queueStarts(t, log, 3)
	if b := compose(log); len(b.Writes) != 1 {
		t.Errorf("%d segments written for %d starts, want 1", len(b.Writes), len(starts))
	}
}

func TestLoadOrdersSegmentsAndFillsKeyGaps(t *testing.T) {
	log, order, keys := New(testConfig), []string{}, map[string]bool{}
	for _, segment := range log.Load(testConfig, []kvstore.KeyValue{
		{Key: "book/0", Value: []byte(`{"number":12}`)}, {Key: "book/3", Value: []byte(`{"number":10}`)}, {Key: "book/1", Value: []byte(`{"number":11}`)},
	}) {
		order = append(order, segment.Key)
	}
	if d := cmp.Diff([]string{"book/3", "book/1", "book/0"}, order); d != "" {
		t.Errorf("segments are not in the order of their numbers (-want +got):\n%s", d)
	}
	for _, segment := range log.Segments() {
		keys[segment.Key] = true
	}
	for i := range minSegments {
		if !keys[fmt.Sprint(Prefix, i)] {
			t.Errorf("none of %d segments has key number %d", len(keys), i)
		}
	}
}

func TestFailedTransactionIsRequeued(t *testing.T) {
	log := New(testConfig)
	starts := queueStarts(t, log, 3)
	failed := compose(log)
	failed.Failed()
	if log.QueueLength() != len(starts) || log.TakeEvents() != nil {
		t.Errorf("%d entries queued after the failure, want %d", log.QueueLength(), len(starts))
	}
	retry := compose(log)
	if d := cmp.Diff(failed.Writes, retry.Writes); d != "" {
		t.Errorf("retry writes differ from the failed ones (-want +got):\n%s", d)
	}
	retry.Committed(7)
	if events := log.TakeEvents(); len(events) != len(starts) || events[0] != (Event{StartDurable, starts[0]}) || log.HasWork() {
		t.Errorf("events %+v, has work: %v", events, log.HasWork())
	}
}
