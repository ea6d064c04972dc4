package leader

import (
	"encoding/json"
	"testing"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/loader"
)

// TestDoneJobDoesNotStopRenewals guards against a machine that loses its tasks because one of a done job is
// still in the assignment log when the leader changes. A command in doubt may start tasks of a cancelled
// job, so that the machine's lease is not renewed; for a done job there is no such danger.
func TestDoneJobDoesNotStopRenewals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record string
		renews bool
	}{
		{"done", `{"stance":"done","tasks":1}`, true},
		{"cancelled", `{"stance":"aborted","tasks":1}`, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, _, job, now := newTestLeader()
			segments := writeLog(l)
			next := newLeader(l.Deps, election.Term{FencingToken: 6})
			next.jobs.MarkLoaded(now, next.jobs.SeenRevision())
			record := kvstore.KeyValue{Key: jobs.RecordKey(job.ID), Value: json.RawMessage(tc.record), Revision: 1}
			newLoader(next).Restore(next.readLog(segments), loader.FinishedRecords{job.ID: record}, now)
			machine := next.state.Machines.ByID["m-1"]
			if len(machine.Assignments) != 1 || !next.state.Jobs[job.ID].IsFinished() {
				t.Fatalf("%d assignments restored", len(machine.Assignments))
			}
			machine.Commands.InDoubtSince = now // a later command, for another job
			heartbeat := newHeartbeat(1, 7)
			heartbeat.FencingToken = 6
			if renewed := next.handleHeartbeat(heartbeat, now) != nil; renewed != tc.renews {
				t.Errorf("the lease is renewed: %v, want %v", renewed, tc.renews)
			}
		})
	}
}
