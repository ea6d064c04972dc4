package leader

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/transaction"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/workers"
)

// largestFleet is 1.5 times the number of machines of the largest supported fleet, some 4,000.
const largestFleet = 6000

// discardLogs discards log output until the test ends, because thousands of machines log a lot.
func discardLogs(tb testing.TB) {
	tb.Helper()
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	tb.Cleanup(func() { slog.SetDefault(old) })
}

// newFullFleet returns a leader with size machines, each filled by one running task, and the last
// heartbeat of each worker.
func newFullFleet(tb testing.TB, size int) (*Leader, []*workers.Heartbeat, time.Time) {
	tb.Helper()
	discardLogs(tb)
	leader, m, _, now := newTestLeader()
	types := []jobs.MachineType{{Name: "c4", CPUs: 4, RAMGB: 32, CacheGB: 50, FetchGBPS: 1, BootS: 30}}
	leader.MachineTypes = func() []jobs.MachineType { return types }
	leader.catalog.Types = leader.MachineTypes
	leader.tasks.EndAssignmentsOn(m, "test setup")
	leader.state.Machines.Remove(m)
	leader.detector.Forget(m.ID)
	leader.state.Jobs = map[string]*cluster.Job{}
	leader.readLog(nil)
	spec := &jobs.Spec{ID: "j-7", Class: "sums", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: size + 100, CPUs: 4, RAMGB: 8, EstimatedRuntimeS: 30, Spot: true, Image: "img"}
	j := cluster.NewJob(spec.ID, spec, 1, 0, now)
	leader.state.Jobs[j.ID] = j
	var heartbeats []*workers.Heartbeat
	for i := range size {
		heartbeat := &workers.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "10.1.0.1:9000", Type: "c4", Zone: string(rune('a' + i%3)), AgentEpoch: 1, Seq: 1, FencingToken: 5}
		leader.handleHeartbeat(heartbeat, now)
		a := leader.tasks.Assign(j, j.TakePendingTask(), leader.state.Machines.ByID[heartbeat.Machine], now)
		a.Log.Durable, a.Start.Sent = true, true
		heartbeat.Tasks = []workers.TaskStatus{{Name: a.TaskName(), Attempt: a.Attempt, State: workers.StateRunning}}
		heartbeat.Seq++
		leader.handleHeartbeat(heartbeat, now)
		heartbeats = append(heartbeats, heartbeat)
	}
	return leader, heartbeats, now
}

// repeatHeartbeat sends the leader a worker's next heartbeat with unchanged content.
func repeatHeartbeat(l *Leader, heartbeat *workers.Heartbeat, now time.Time) {
	heartbeat.Seq++
	if response := l.handleHeartbeat(heartbeat, now); response == nil || len(response.Commands) != 0 {
		panic("an unchanged heartbeat got no response, or one with commands")
	}
}

// writeLog writes everything that is queued in a leader's assignment log, and returns the segments
// that the key-value store holds afterwards.
func writeLog(l *Leader) []kvstore.KeyValue {
	segments := map[string]kvstore.KeyValue{}
	for rev := uint64(1); l.log.HasWork(); rev++ {
		l.log.Grow(1)
		batch := transaction.New()
		l.log.AddSegments(batch, 1)
		l.writer.HandleCommit(batch, rev)
		w := batch.Writes[0]
		segments[w.Set] = kvstore.KeyValue{Key: w.Set, Value: w.Value, Revision: rev}
	}
	return slices.Collect(maps.Values(segments))
}

// newSuccessor returns the leader of the next term. It has loaded the segments and the given jobs,
// but has received no heartbeat. All other jobs that the segments name are cancelled.
func newSuccessor(l *Leader, segments []kvstore.KeyValue, now time.Time, specs ...*jobs.Spec) *Leader {
	next := newLeader(l.Deps, election.Term{FencingToken: 6})
	next.jobs.MarkLoaded(now, next.jobs.SeenRevision())
	next.detector = liveness.New(liveness.Config{})
	for _, s := range specs {
		next.state.Jobs[s.ID] = cluster.NewJob(s.ID, s, 1, 0, now)
	}
	log := next.readLog(segments)
	cancelledRecords := map[string]kvstore.KeyValue{} // by job ID
	for id := range assignmentlog.ReferencedJobs(log) {
		if next.state.Jobs[id] == nil {
			cancelledRecords[id] = kvstore.KeyValue{Key: jobs.RecordKey(id), Value: json.RawMessage(`{"stance":"aborted","tasks":1}`), Revision: 1}
		}
	}
	newLoader(next).Restore(log, cancelledRecords, now)
	return next
}
