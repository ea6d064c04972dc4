package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/workers"
)

// lostFleetSize is the number of machines in TestAdoptionAtScale.
const lostFleetSize = 4000

// The assignment log of 4,000 machines is lost together with the leader. The next leader loads the
// jobs but no assignments, and adopts the tasks that the workers report. It stops no task and starts
// none meanwhile, and every task is accounted for once the leases have expired.
func TestAdoptionAtScale(t *testing.T) {
	l, heartbeats, now := newFullFleet(t, lostFleetSize)
	spec := *l.state.Jobs["j-7"].Spec
	next := newLeader(l.Deps, election.Term{FencingToken: 6, Since: now})
	next.jobs.MarkLoaded(now, next.jobs.SeenRevision())
	next.detector = liveness.New(liveness.Config{})
	next.readLog(nil)
	job := cluster.NewJob(spec.ID, &spec, 1, 0, now)
	next.state.Jobs[spec.ID] = job
	next.recovery.ReportLoss(detection.Evidence{Kind: detection.SegmentMissing, Key: assignmentlog.Prefix}, now)
	if !next.recovery.BlocksPlacement(job, now) {
		t.Fatal("tasks would be placed before the running ones are known")
	}
	began := time.Now()
	for _, heartbeat := range heartbeats {
		heartbeat.FencingToken = 6
		heartbeat.Seq++
		response := next.handleHeartbeat(heartbeat, now)
		if response == nil {
			t.Fatalf("the heartbeat of %s gets no response", heartbeat.Machine)
		}
		for _, c := range response.Commands {
			if c.Op != workers.OpClear {
				t.Fatalf("%s gets the command %s %s", heartbeat.Machine, c.Op, c.Task)
			}
		}
	}
	t.Logf("%d heartbeats with adoption: %v", len(heartbeats), time.Since(began).Round(time.Millisecond))
	if len(job.Assignments) != lostFleetSize || job.Pending.Count != spec.Tasks-lostFleetSize {
		t.Errorf("%d of %d tasks adopted, %d pending", len(job.Assignments), lostFleetSize, job.Pending.Count)
	}
	next.recovery.EndAdoptions(now.Add(next.Derived.Workers.LeaseExpiry))
	if next.recovery.Status().Adopting > 0 || job.Spec.Shape != jobs.Batch {
		t.Error("still adopting tasks after every lease has expired")
	}
}

// The segment that recorded the end of a task's first attempt is lost, so the log shows two attempts
// of one task. The task is pending again only after both have ended, and then only once.
func TestTwoAttemptsAfterSegmentLoss(t *testing.T) {
	for _, firstEnds := range []int{0, 1} {
		l, _, j, now := newTestLeader()
		next := newLeader(l.Deps, election.Term{FencingToken: 6, Since: now})
		spec := *j.Spec
		job := cluster.NewJob(j.ID, &spec, 1, 0, now)
		next.state.Jobs[j.ID] = job
		var segments []kvstore.KeyValue
		for i, machine := range []string{"m-1", "m-2"} {
			value, err := json.Marshal(assignmentlog.SegmentRecord{Number: uint64(i + 1), Started: []assignmentlog.MachineRecord{{
				Machine: machine, Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", AgentEpoch: 1,
				Tasks: []assignmentlog.TaskRecord{{Job: j.ID, Index: 0, Attempt: uint64(i + 1)}},
			}}})
			if err != nil {
				t.Fatal(err)
			}
			segments = append(segments, kvstore.KeyValue{Key: fmt.Sprint(assignmentlog.Prefix, i), Value: value, Revision: 1})
		}
		newLoader(next).Restore(next.readLog(segments), nil, now)
		if job.Pending.Count != 1 || len(job.Assignments) != 1 {
			t.Fatalf("%d tasks pending, %d placed", job.Pending.Count, len(job.Assignments))
		}
		attempts := []*cluster.Assignment{next.state.Machines.ByID["m-1"].Assignments[1], next.state.Machines.ByID["m-2"].Assignments[2]}
		for i, a := range []*cluster.Assignment{attempts[firstEnds], attempts[1-firstEnds]} {
			next.tasks.End(a, cluster.Retry)
			next.tasks.Remove(a)
			if want := 1 + i; job.Pending.Count != want {
				t.Errorf("after the end of %d of two attempts: %d tasks pending, want %d", i+1, job.Pending.Count, want)
			}
		}
		if len(job.Assignments) != 0 {
			t.Errorf("%d tasks still placed", len(job.Assignments))
		}
	}
}
