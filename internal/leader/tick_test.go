package leader

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ospreyslip/internal/cloud"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/workers"
)

// The leader marks a machine that the estimator finds to be a straggler, so that no more tasks are
// placed on it.
func TestStragglersAreMarked(t *testing.T) {
	for _, slow := range []bool{false, true} {
		l, m, j, now := newTestLeader()
		for range 25 {
			j.RecordRunTime(math.Log(10))
		}
		a := j.Assignments[0]
		if a.ObservedState, a.RunningSince = workers.StateRunning, now.Add(-time.Second); slow {
			a.RunningSince = now.Add(-time.Hour)
		}
		l.drainStragglers(now)
		if m.Offer.Straggler != slow {
			t.Errorf("straggler: %v, log odds %.1f", m.Offer.Straggler, l.runTimes.StragglerLogOdds(m))
		}
	}
}

// A machine that the cloud no longer lists is probably gone and is probed at once, unless it has
// reported since the list was requested or was never listed.
func TestUnlistedMachinesAreProbed(t *testing.T) {
	leader, _, _, now := newTestLeader()
	for _, id := range []string{"m-2", "m-3"} {
		heartbeat := newHeartbeat(1, 1)
		heartbeat.Machine = id
		leader.handleHeartbeat(heartbeat, now)
	}
	leader.scaler.ApplyList(t.Context(), []cloud.ListedMachine{{ID: "m-1", State: cloud.StateRunning}, {ID: "m-2", State: cloud.StateRunning}}, now.Add(time.Millisecond), now)
	listRequestedAt := now.Add(2 * time.Millisecond)
	heartbeat := newHeartbeat(1, 2)
	heartbeat.Machine = "m-2"
	leader.handleHeartbeat(heartbeat, listRequestedAt.Add(time.Millisecond))
	leader.scaler.ApplyList(t.Context(), nil, listRequestedAt, listRequestedAt.Add(2*time.Millisecond))
	probes, _ := leader.detector.Tick(listRequestedAt.Add(3*time.Millisecond), 10)
	if d := cmp.Diff([]string{"m-1"}, probes); d != "" {
		t.Error(d)
	}
}

// A leader that was paused for longer than its term must not act on its state when it resumes. All
// machines look long idle to it, while the next leader has tasks on them. Such a leader once
// released a hundred of them.
func TestPausedLeaderReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, machine, j, now := newTestLeader()
		types := []jobs.MachineType{{Name: "c4", CPUs: 4, BootS: 10}}
		leader.catalog.Types = func() []jobs.MachineType { return types }
		requests := 0
		leader.Cloud = cloud.NewClient("cloud", roundTripFunc(func(*http.Request) (*http.Response, error) {
			requests++
			return nil, http.ErrHandlerTimeout
		}), time.Second, 100)
		leader.Broadcast, leader.inbox.events = func(map[string]jobs.TaskCounts, []peer.JobChange) {}, make(chan func(time.Time), 1)
		for _, a := range j.Assignments {
			leader.tasks.End(a, cluster.Retry)
			leader.tasks.Remove(a)
		}
		leader.IsLeader = func() bool { return false }
		leader.scaler = newScaler(leader)
		ctx, stop := context.WithCancel(t.Context())
		leader.tick(ctx, now.Add(leader.Derived.Workers.Lease))
		if machine.Phase != cluster.Up {
			t.Error("a machine was released")
		}
		// A release that was already under way is not sent to the cloud either, because leadership
		// is checked before each request.
		leader.scaler.Release(ctx, machine)
		synctest.Wait()
		if requests > 0 {
			t.Errorf("%d requests to the cloud", requests)
		}
		stop()
	})
}

// The response to a command reports a worker's next agent epoch before the old lease has expired by
// the leader's clock, because the last heartbeat was delayed. A task that starts in the new epoch
// must not be taken for lost when the old lease expires, or it would run twice. (Seed 1255 of
// internal/controller/fault_combinations_test.go.)
func TestNewAgentEpochInCommandResponse(t *testing.T) {
	leader, m, j, now := newTestLeader()
	oldAssignment := j.Assignments[0]
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	leader.tasks.Observe(m, newHeartbeat(2, 1), at(19))
	if oldAssignment.Outcome == cluster.Open {
		t.Fatal("the task of the old agent epoch is still open")
	}
	a := leader.tasks.Assign(j, 1, m, at(19.1))
	a.Log.Durable, a.Start.Sent = true, true
	leader.tasks.Observe(m, newHeartbeat(2, 2, workers.TaskStatus{Name: a.TaskName(), Attempt: a.Attempt, State: workers.StateRunning}), at(19.2))
	leader.expireLeases(at(21)) // the old lease has expired by any clock
	if a.Outcome != cluster.Open {
		t.Error("a task of the new agent epoch was ended with the old lease")
	}
	leader.expireLeases(at(40))
	if a.Outcome == cluster.Open {
		t.Error("the task is still open after the new lease has expired")
	}
}

// All machines are scanned for expired leases only when a lease can have expired. Whatever happens
// in between (heartbeats, new machines, new agent epochs), each lease ends in the first tick after
// its expiry.
func TestLeasesExpireOnTime(t *testing.T) {
	leader, _, _, start := newTestLeader()
	leader.Broadcast = func(map[string]jobs.TaskCounts, []peer.JobChange) {}
	rnd := rand.New(rand.NewPCG(7, 0))
	seq := uint64(100)
	const step = 100 * time.Millisecond
	for now := start; now.Sub(start) < 20*leader.Derived.Workers.LeaseExpiry; now = now.Add(step) {
		leader.jobs.MarkLoaded(now, leader.jobs.SeenRevision())
		if rnd.IntN(8) == 0 {
			seq++
			heartbeat := newHeartbeat(1, seq)
			heartbeat.Machine, heartbeat.FencingToken = fmt.Sprintf("m-%06d", rnd.IntN(30)), leader.fencing.Current
			if m := leader.state.Machines.ByID[heartbeat.Machine]; m != nil {
				heartbeat.AgentEpoch = m.Worker.AgentEpoch + uint64(rnd.IntN(2))
			}
			leader.handleHeartbeat(heartbeat, now)
		}
		leader.expireLeases(now)
		for _, m := range leader.state.Machines.All {
			if m.Phase == cluster.Up && now.After(m.Worker.LeaseUntil) {
				t.Fatalf("%v: the lease of %s expired %v ago", now.Sub(start), m.ID, now.Sub(m.Worker.LeaseUntil))
			}
		}
	}
}
