package leader

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/jobs/jobcache"
	"ospreyslip/internal/kvstore"
	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// noPeers is a deployment of one controller.
type noPeers struct{}

func (noPeers) Peers() []string { return nil }

func (noPeers) RequestLostJobs(context.Context, string, peer.LostJobsRequest) (peer.LostJobsResponse, error) {
	return peer.LostJobsResponse{}, peer.ErrNoResponse
}

// newTestLeader returns a leader whose term has fencing token 5. Machine m-1 has reported, and the
// first of two tasks of job j-1 is durably assigned to it. No goroutine of the leader runs, and its
// cloud and key-value store do not respond.
func newTestLeader() (*Leader, *cluster.Machine, *cluster.Job, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set := &settings.Settings{Operator: settings.DefaultOperator(), Deployment: settings.Deployment{
		Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40},
		Store:   settings.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
		Cloud:   settings.Cloud{RPS: 6, ListLagS: 4}, Limits: settings.HostLimits{MemoryMB: 100, MaxSockets: 100},
	}}
	leader := newLeader(Deps{
		Settings: set, Derived: set.Derive(), Counts: NewCounts(), IsLeader: func() bool { return true },
		PeerLeasesRequestedAt: func() time.Time { return time.Time{} }, MachineTypes: func() []jobs.MachineType { return nil },
		Cloud: cloud.NewClient("cloud:1", silentNetwork, time.Minute, 10),
		Cache: jobcache.New(nil, jobcache.Options{MinReadInterval: time.Second, IdleReadInterval: time.Second, SuspectFor: time.Second, CancellationsKept: 8}), Peers: noPeers{}, Store: kvstore.New("state:1", emulator.NewNetwork().Transport("perch-0"), time.Second, kvstore.RateLimits{}),
	}, election.Term{FencingToken: 5})
	leader.jobs.MarkLoaded(now, leader.jobs.SeenRevision())
	*leader.tasks = *tasks.NewManager(leader.tasks.Deps, 100)
	*leader.detector = *liveness.New(liveness.Config{SuspectAfter: time.Second, LeaseExpiry: time.Second, HoldTimeout: time.Second, VerdictInterval: time.Second})
	j := cluster.NewJob("j-1", &jobs.Spec{ID: "j-1", Team: "red", Shape: jobs.Batch, Priority: jobs.Standard, Tasks: 2, CPUs: 1}, 1, 0, now)
	leader.state.Jobs["j-1"] = j
	leader.handleHeartbeat(newHeartbeat(1, 1), now)
	m := leader.state.Machines.ByID["m-1"]
	leader.tasks.Assign(j, j.TakePendingTask(), m, now)
	for _, a := range m.Assignments {
		a.Log.Durable = true
	}
	return leader, m, j, now
}

// readLog reloads the assignment log from stored segments and drops what is queued for it.
func (l *Leader) readLog(stored []kvstore.KeyValue) []assignmentlog.StoredSegment {
	return l.log.Load(logConfig(l.Derived), stored)
}

// restoreMachine makes the leader restore a machine from a segment of the assignment log.
func restoreMachine(t *testing.T, l *Leader, record assignmentlog.MachineRecord, now time.Time) {
	t.Helper()
	value, err := json.Marshal(assignmentlog.SegmentRecord{Number: 1, Started: []assignmentlog.MachineRecord{record}})
	if err != nil {
		t.Fatal(err)
	}
	stored := []kvstore.KeyValue{{Key: assignmentlog.Prefix + "0", Value: value, Revision: 1}}
	newLoader(l).Restore(l.readLog(stored), nil, now)
}

// newHeartbeat returns a heartbeat of machine m-1 with the given agent epoch and fencing token 5.
func newHeartbeat(agentEpoch, seq uint64, tasks ...workers.TaskStatus) *workers.Heartbeat {
	return &workers.Heartbeat{Machine: "m-1", Addr: "10.1.0.1:9000", Type: "c4", Zone: "a", AgentEpoch: agentEpoch, Seq: seq, FencingToken: 5, Tasks: tasks}
}

// describeCommands returns the operation and the task name of each command.
func describeCommands(commands []workers.Command) (out []string) {
	for _, c := range commands {
		out = append(out, c.Op+" "+c.Task)
	}
	return out
}

// roundTripFunc implements http.RoundTripper by a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// silentNetwork is a transport on which no request gets a response.
var silentNetwork = roundTripFunc(func(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
})
