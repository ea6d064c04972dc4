package controller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
)

// unseenCancellation is a scenario in which a controller confirms a cancellation that the leader
// does not see before an outage of the key-value store.
type unseenCancellation struct {
	name               string
	duringOutage       func(c *cluster, confirming string) // if set, restarts or crashes controllers in the outage
	tasksOutlastOutage bool                                // the tasks of the other jobs outlast the outage
	leaderConfirms     bool                                // the leader itself confirms, while its watch lags
	adaptController    func(*Controller)                   // if set, applied to all controllers
}

// TestCancellationUnseenByLeaderBeforeOutage guards against a leader that keeps the tasks of a
// cancelled job running. The store refuses the leader alone, another controller confirms a
// cancellation, and then the store is down for all for longer than the cancellation deadline, while
// workers keep sending heartbeats to the leader. That no controller reaches the store now does not
// prove that none confirmed a cancellation before: each has to report its own cancellations.
func TestCancellationUnseenByLeaderBeforeOutage(t *testing.T) {
	for _, tc := range []unseenCancellation{
		{name: "no restart", tasksOutlastOutage: true},
		{name: "lease grants of an earlier version", adaptController: func(n *Controller) {
			n.peers.OnLeaseGrantRequest = func(ctx context.Context, _ string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
				return peer.LeaseGrantResponse{Granted: n.elector.GrantPeerLease(ctx, request.FencingToken)}
			}
		}},
		{name: "the leader confirms", tasksOutlastOutage: true, leaderConfirms: true},
		{name: "the confirming controller restarts", duringOutage: func(c *cluster, confirming string) {
			c.crash(confirming)
			c.advance(300 * time.Millisecond)
			c.start(confirming)
		}},
		{name: "the confirming controller crashes", duringOutage: func(c *cluster, confirming string) { c.crash(confirming) }},
		{name: "the leader restarts", duringOutage: func(c *cluster, _ string) {
			old := c.leader()
			c.crash(old)
			c.advance(300 * time.Millisecond)
			c.start(old)
		}},
		{name: "all controllers restart", duringOutage: func(c *cluster, _ string) {
			c.crash(c.names...)
			c.advance(300 * time.Millisecond)
			for _, n := range c.names {
				c.start(n)
			}
		}},
	} {
		for _, wait := range []time.Duration{0, 8 * time.Second} { // between outage and tc.duringOutage
			t.Run(tc.name+" after "+wait.String(), func(t *testing.T) {
				runCluster(t, nil, func(c *cluster) { tc.run(t, c, wait) })
			})
		}
	}
}

// run cancels a job, starts the outage, and applies tc.duringOutage after wait.
func (tc *unseenCancellation) run(t *testing.T, c *cluster, wait time.Duration) {
	t.Helper()
	if c.adaptController = tc.adaptController; tc.adaptController != nil {
		for _, n := range c.names {
			c.crash(n)
			c.start(n)
		}
		c.advance(5 * time.Second)
	}
	c.runServiceAndBatch()
	c.submit("perch-0", batchJob("j-4", 4, 200))
	c.waitFor(20*time.Second, "j-4 running", func() bool { return c.tasksOnMachines("j-4", 4) == 4 })
	leader, token := c.leader(), string(c.world.Store.Value("term/token"))
	confirming := c.names[(slices.Index(c.names, leader)+1)%3]
	if tc.leaderConfirms {
		confirming = leader
		c.world.Store.SetWatchLag(1000)
	} else {
		c.world.Store.SetRefused(leader, true)
		c.advance(100 * time.Millisecond)
		if status, _ := c.request("POST", leader, "/v1/jobs/j-4/withdraw", nil); status != http.StatusServiceUnavailable {
			t.Fatalf("the store does not refuse the leader: withdraw returned %d", status)
		}
	}
	c.cancelJob(confirming, "j-4")
	c.advance(700 * time.Millisecond)
	c.world.Store.SetOutage(true)
	c.advance(wait)
	if n := c.tasksOnMachines("j-4", 4); tc.tasksOutlastOutage && wait > 0 && n != 0 {
		t.Errorf("%d tasks of the cancelled job were not stopped promptly", n)
	}
	if tc.duringOutage != nil {
		tc.duringOutage(c, confirming)
	}
	c.advance(41*time.Second - wait)
	if n := c.tasksOnMachines("j-1", 2); tc.tasksOutlastOutage && n != 2 {
		t.Errorf("%d of 2 replicas keep running in the outage", n)
	}
	c.advance(10 * time.Second)
	if now := string(c.world.Store.Value("term/token")); tc.duringOutage == nil && (now != token || c.leader() != leader) {
		t.Errorf("the leader changed: token %s, before %s", now, token)
	}
	c.world.Store.SetWatchLag(0)
	c.world.Store.SetRefused(leader, false)
	c.world.Store.SetOutage(false)
	for _, n := range c.names {
		if c.incarnations[n].ended() {
			c.start(n)
		}
	}
	c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	if n := c.tasksOnMachines("j-4", 4); n != 0 {
		t.Errorf("%d tasks of a cancelled job are running", n)
	}
}

// TestAcceptanceAndCancellationUnseenByLeader guards against starting a cancelled job. The job is
// accepted and cancelled while the leader's watch lags; when the watch then shows the acceptance
// but not yet the cancellation, the leader must not start the job.
func TestAcceptanceAndCancellationUnseenByLeader(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.runServiceAndBatch()
		leader := c.leader()
		other := c.names[(slices.Index(c.names, leader)+1)%3]
		c.world.Store.SetWatchLag(1000)
		c.submit(other, batchJob("j-4", 4, 200))
		c.cancelJob(other, "j-4")
		c.world.Store.SetOutage(true)
		c.advance(41 * time.Second)
		c.world.Store.SetOutage(false)
		c.world.Store.SetWatchLag(1) // the watch shows the acceptance, but not the cancellation
		starts := c.world.TaskStarts()
		for range 100 {
			c.advance(100 * time.Millisecond)
			if n := c.world.TaskStarts() - starts; n > 0 || c.tasksOnMachines("j-4", 4) > 0 {
				t.Fatalf("a cancelled job was started: %d starts", n)
			}
		}
		c.world.Store.SetWatchLag(0)
		if got := c.jobState("j-4"); got != jobs.Cancelled {
			t.Errorf("j-4 is %s", got)
		}
		if live := c.loggedAssignments(); slices.ContainsFunc(live, func(s string) bool { return strings.HasPrefix(s, "j-4/") }) {
			t.Errorf("in the assignment log: %v", live)
		}
	})
}

// TestCommandDelayedInOutage guards against a delayed command that starts a task of a cancelled
// job. The store goes down after the cancellation, so no higher fencing token can be obtained; the
// agent epoch must have ended when the command arrives after the cancellation deadline.
func TestCommandDelayedInOutage(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(3)
		c.runServiceAndBatch()
		var first atomic.Bool
		c.world.Network.Delay = 55 * time.Second
		end, delayed := c.injectFault(func(_, to, path string) emulator.Fault {
			if path == "/orders" && first.CompareAndSwap(false, true) {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		c.submit("perch-0", batchJob("j-4", 1, 200))
		c.waitFor(2*time.Second, "the command is in flight", func() bool { return delayed() > 0 })
		c.cancelJob("perch-1", "j-4")
		c.advance(100 * time.Millisecond)
		token := string(c.world.Store.Value("term/token"))
		c.world.Store.SetOutage(true)
		starts := c.world.TaskStarts()
		c.advance(60 * time.Second)
		if now := string(c.world.Store.Value("term/token")); now != token {
			t.Fatalf("the token was raised in the outage: %s, before %s", now, token)
		}
		if n := c.world.TaskStarts() - starts; n != 0 {
			t.Errorf("%d starts in the outage", n)
		}
		end()
		c.world.Store.SetOutage(false)
		c.waitForDone(2*time.Minute, "j-2")
		c.waitFor(30*time.Second, "service running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	})
}
