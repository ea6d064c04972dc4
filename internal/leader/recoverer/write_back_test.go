package recoverer

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/recovery"
)

// addPeerKnowledge adds what the cache of another controller says about a lost job.
func (s *scenario) addPeerKnowledge(id, state string) {
	s.knowledge.addCached(id, recovery.FromCache("node-1"), state, 1, &jobs.Record{Spec: batchSpec(id)})
}

// Records of jobs that must not run must be written before those of jobs that wait to run, and
// these before those of jobs that are done.
func TestWriteBackOrder(t *testing.T) {
	s := newScenario(t)
	s.addPeerKnowledge("j-000001", jobs.Done)
	s.addPeerKnowledge("j-000002", jobs.Queued)
	s.addPeerKnowledge("j-000003", jobs.Cancelled)
	s.addPeerKnowledge("j-000004", jobs.Queued)
	s.writeBack.queueLostJobs()
	if want := []string{"j-000003", "j-000002", "j-000004", "j-000001"}; !slices.Equal(s.writeBack.queue, want) {
		t.Errorf("order %v, want %v", s.writeBack.queue, want)
	}
}

// A batch that was not executed, or whose outcome is unknown, must return to the head of the queue
// in the same order, without jobs whose stored records say as much by now.
func TestFailedBatchIsQueuedAgain(t *testing.T) {
	tests := []struct {
		name   string
		failed []string
		found  map[string]kvstore.KeyValue
		err    error
		queue  []string
		resign bool
	}{
		{name: "outcome unknown", err: errors.New("timeout"), queue: []string{"j-000001", "j-000002"}},
		{
			name: "one record exists again", failed: []string{jobs.RecordKey("j-000001")},
			found: map[string]kvstore.KeyValue{"j-000001": {Key: jobs.RecordKey("j-000001"), Value: json.RawMessage(`{"stance":"queued","tasks":1,"spec":{}}`), Revision: 9}},
			queue: []string{"j-000002"},
		},
		{name: "term lost", failed: []string{election.HolderKey}, resign: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newScenario(t)
			s.addPeerKnowledge("j-000001", jobs.Queued)
			s.addPeerKnowledge("j-000002", jobs.Queued)
			s.writeBack.queueLostJobs()
			batch := s.writeBack.takeBatch(s.now)
			if len(batch) != 2 || len(s.writeBack.queue) != 0 {
				t.Fatalf("%d records in the batch, %v left in the queue", len(batch), s.writeBack.queue)
			}
			s.committer.inFlight = true
			s.writeBack.handleCommit(batch, 0, test.failed, test.found, test.err, s.now)
			if s.committer.inFlight || !slices.Equal(s.writeBack.queue, test.queue) {
				t.Errorf("in flight: %v, queue %v, want %v", s.committer.inFlight, s.writeBack.queue, test.queue)
			}
			if s.leader.called("resign") != test.resign {
				t.Errorf("calls to the leader: %v", s.leader.calls)
			}
			if waits := s.committer.notBefore.After(s.now); waits != (test.err != nil) {
				t.Errorf("next transaction delayed: %v", waits)
			}
		})
	}
}

// Written records must be counted. The leader must learn at once of a job that is to run, and a
// job whose outcome is uncertain must be held.
func TestRecordWritten(t *testing.T) {
	s := newScenario(t)
	s.addPeerKnowledge("j-000001", jobs.Queued)
	s.knowledge.lost.Merge("j-000002", recovery.Attribute(recovery.FromLog, recovery.Knowledge{MinTasks: 1}))
	s.writeBack.queueLostJobs()
	s.writeBack.handleCommit(s.writeBack.takeBatch(s.now), 12, nil, nil, nil, s.now)
	status := s.Status()
	if status.Written[recovery.Recovered] != 1 || status.Written[recovery.Uncertain] != 1 {
		t.Errorf("written: %v", status.Written)
	}
	if !s.leader.called("changed j-000001") || s.leader.called("changed j-000002") {
		t.Errorf("calls to the leader: %v", s.leader.calls)
	}
	if len(status.HeldJobs) != 1 || status.HeldJobs[0].Job != "j-000002" {
		t.Errorf("held jobs: %v", status.HeldJobs)
	}
}
