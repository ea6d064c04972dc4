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

// unseenCancellation is a cancellation that a controller confirms while the leader does not see it.
type unseenCancellation struct {
	name   string
	lost   func(c *cluster, teller string) // in the outage
	lasts  bool                            // the other job's tasks last
	leader bool                            // the leader confirms, and its own watch lags
	adapt  func(*Controller)
}

// The state service refuses the leader alone, another node confirms a cancellation,
// and then the service is out for all for longer than a cancellation has, while the
// workers go on reporting to the leader. That all nodes reach nothing now says
// nothing of what one of them told its user before: it has to say so itself.
func TestCancelledUnseenBeforeOutage(t *testing.T) {
	for _, tc := range []unseenCancellation{
		{name: "all go on", lasts: true},
		{name: "promises of an earlier version", adapt: func(n *Controller) {
			n.peers.OnLeaseGrantRequest = func(ctx context.Context, _ string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
				return peer.LeaseGrantResponse{Granted: n.elector.GrantPeerLease(ctx, request.FencingToken)}
			}
		}},
		{name: "the leader confirmed", lasts: true, leader: true},
		{name: "who confirmed begins anew", lost: func(c *cluster, teller string) {
			c.crash(teller)
			c.advance(300 * time.Millisecond)
			c.start(teller)
		}},
		{name: "who confirmed ends", lost: func(c *cluster, teller string) { c.crash(teller) }},
		{name: "the leader begins anew", lost: func(c *cluster, _ string) {
			old := c.leader()
			c.crash(old)
			c.advance(300 * time.Millisecond)
			c.start(old)
		}},
		{name: "all begin anew", lost: func(c *cluster, _ string) {
			c.crash(c.names...)
			c.advance(300 * time.Millisecond)
			for _, n := range c.names {
				c.start(n)
			}
		}},
	} {
		for _, wait := range []time.Duration{0, 8 * time.Second} { // from the outage to the loss
			t.Run(tc.name+" after "+wait.String(), func(t *testing.T) {
				runCluster(t, nil, func(c *cluster) { tc.play(t, c, wait) })
			})
		}
	}
}

// play has the outage begin after the cancellation, and the loss so much later.
func (tc *unseenCancellation) play(t *testing.T, c *cluster, wait time.Duration) {
	t.Helper()
	if c.adaptController = tc.adapt; tc.adapt != nil {
		for _, n := range c.names {
			c.crash(n)
			c.start(n)
		}
		c.advance(5 * time.Second)
	}
	c.runServiceAndBatch()
	c.submit("perch-0", batchJob("j-4", 4, 200))
	c.within(20*time.Second, "all up", func() bool { return c.tasksOnMachines("j-4", 4) == 4 })
	leader, token := c.leader(), string(c.world.Store.Value("term/token"))
	teller := c.names[(slices.Index(c.names, leader)+1)%3]
	if tc.leader {
		teller = leader
		c.world.Store.SetWatchLag(1000)
	} else {
		c.world.Store.SetRefused(leader, true)
		c.advance(100 * time.Millisecond)
		if status, _ := c.request("POST", leader, "/v1/jobs/j-4/withdraw", nil); status != http.StatusServiceUnavailable {
			t.Fatalf("the leader is not refused: %d", status)
		}
	}
	c.cancelJob(teller, "j-4")
	c.advance(700 * time.Millisecond)
	c.world.Store.SetOutage(true)
	c.advance(wait)
	if n := c.tasksOnMachines("j-4", 4); tc.lasts && wait > 0 && n != 0 {
		t.Errorf("%d tasks are not stopped at once", n)
	}
	if tc.lost != nil {
		tc.lost(c, teller)
	}
	c.advance(41*time.Second - wait)
	if n := c.tasksOnMachines("j-1", 2); tc.lasts && n != 2 {
		t.Errorf("%d of 2 replicas go on in the outage", n)
	}
	c.advance(10 * time.Second)
	if now := string(c.world.Store.Value("term/token")); tc.lost == nil && (now != token || c.leader() != leader) {
		t.Errorf("the old leader was to go on: token %s, before %s", now, token)
	}
	c.world.Store.SetWatchLag(0)
	c.world.Store.SetRefused(leader, false)
	c.world.Store.SetOutage(false)
	for _, n := range c.names {
		if c.processes[n].ended() {
			c.start(n)
		}
	}
	c.within(30*time.Second, "whole again", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	if n := c.tasksOnMachines("j-4", 4); n != 0 {
		t.Errorf("%d tasks of a cancelled job", n)
	}
}

// A job is accepted and cancelled while the leader sees neither. When the changes
// come in parts, the first of them must not begin it.
func TestAcceptedAndCancelledUnseen(t *testing.T) {
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
		c.world.Store.SetWatchLag(1) // what was accepted is shown, that it was cancelled is not
		starts := c.world.TaskStarts()
		for range 100 {
			c.advance(100 * time.Millisecond)
			if n := c.world.TaskStarts() - starts; n > 0 || c.tasksOnMachines("j-4", 4) > 0 {
				t.Fatalf("a cancelled job was begun: %d starts", n)
			}
		}
		c.world.Store.SetWatchLag(0)
		if got := c.jobState("j-4"); got != jobs.Cancelled {
			t.Errorf("j-4 is %s", got)
		}
		if live := c.loggedAssignments(); slices.ContainsFunc(live, func(s string) bool { return strings.HasPrefix(s, "j-4/") }) {
			t.Errorf("in the book: %v", live)
		}
	})
}

// An order to begin a task is held up, its job is cancelled, and then no higher token is
// to be had, as the state service is out. The order must not find its session still
// there when it arrives after the time of the cancellation.
func TestOrderHeldInOutage(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.world.SetCapacity(3)
		c.runServiceAndBatch()
		var first atomic.Bool
		c.world.Network.Lateness = 55 * time.Second
		end, held := c.injectFault(func(_, to, path string) emulator.Fault {
			if path == "/orders" && first.CompareAndSwap(false, true) {
				return emulator.DeliverLate
			}
			return emulator.Deliver
		})
		c.submit("perch-0", batchJob("j-4", 1, 200))
		c.within(2*time.Second, "the order is on its way", func() bool { return held() > 0 })
		c.cancelJob("perch-1", "j-4")
		c.advance(100 * time.Millisecond)
		token := string(c.world.Store.Value("term/token"))
		c.world.Store.SetOutage(true)
		starts := c.world.TaskStarts()
		c.advance(60 * time.Second)
		if now := string(c.world.Store.Value("term/token")); now != token {
			t.Fatalf("a higher token was to be had: %s, before %s", now, token)
		}
		if n := c.world.TaskStarts() - starts; n != 0 {
			t.Errorf("%d starts in the outage", n)
		}
		end()
		c.world.Store.SetOutage(false)
		c.withinDone(2*time.Minute, "j-2")
		c.within(30*time.Second, "services up", func() bool { return c.tasksOnMachines("j-1", 2) == 2 })
	})
}
