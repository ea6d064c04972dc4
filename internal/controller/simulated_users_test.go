package controller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
)

// simulatedUsers submit jobs, ask about them, cancel some and repeat themselves, one request
// at a time for each job, until they are told that it is over.
type simulatedUsers struct {
	cluster       *cluster
	ctx           context.Context
	cancel        context.CancelFunc
	following     sync.WaitGroup
	mu            sync.Mutex
	lastTaskEnded map[string]chan struct{} // closed when a job's last task has ended
	finalStates   map[string]string
	submitted     int
}

func newSimulatedUsers(c *cluster) *simulatedUsers {
	u := &simulatedUsers{cluster: c, lastTaskEnded: map[string]chan struct{}{}, finalStates: map[string]string{}}
	u.ctx, u.cancel = context.WithCancel(c.ctx)
	c.world.Ended = func(id string) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if end := u.lastTaskEnded[id]; end != nil {
			close(end)
			u.lastTaskEnded[id] = nil
		}
	}
	return u
}

// What a user does about a job besides asking.
type userBehavior struct {
	cancelAfter time.Duration // 0: never
	cancelAtEnd bool          // cancels at the moment at which the last task ends
	resubmits   bool          // submits it again and again
}

func (u *simulatedUsers) submitAndFollow(r *rand.Rand, s *jobs.Spec, h userBehavior) {
	u.cluster.world.Upload(s)
	end := make(chan struct{})
	u.mu.Lock()
	u.lastTaskEnded[s.ID] = end
	u.submitted++
	u.mu.Unlock()
	u.following.Go(func() { u.follow(r, s, h, end) })
}

func (u *simulatedUsers) follow(r *rand.Rand, s *jobs.Spec, h userBehavior, end chan struct{}) {
	node := func() string { return u.cluster.names[r.IntN(len(u.cluster.names))] }
	sleep := func(d time.Duration) bool {
		select {
		case <-u.ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	// A request is repeated until it is answered, for a minute.
	until := func(method, path string, body any) (int, map[string]any) {
		for start := time.Now(); ; {
			status, view := u.cluster.request(method, node(), path, body)
			if status == http.StatusOK || status == http.StatusCreated || status == http.StatusUnprocessableEntity || time.Since(start) > time.Minute {
				return status, view
			}
			if !sleep(time.Second + time.Duration(r.IntN(1000))*time.Millisecond) {
				return 0, nil
			}
		}
	}
	if status, _ := until("POST", "/v1/jobs", wireSpec(s)); status != http.StatusCreated && status != http.StatusOK {
		return
	}
	var withdraw <-chan time.Time
	if h.cancelAfter > 0 {
		withdraw = time.After(h.cancelAfter)
	}
	for {
		called := false
		select {
		case <-u.ctx.Done():
			return
		case <-withdraw:
			withdraw, called = nil, true
		case <-end:
			end, called = nil, h.cancelAtEnd
		case <-time.After(4*time.Second + time.Duration(r.IntN(2000))*time.Millisecond):
		}
		status, view := 0, map[string]any(nil)
		switch {
		case called:
			status, view = until("POST", "/v1/jobs/"+s.ID+"/withdraw", nil)
		case h.resubmits && r.IntN(3) == 0:
			status, view = u.cluster.request("POST", node(), "/v1/jobs", wireSpec(s))
		default:
			status, view = u.cluster.request("GET", node(), "/v1/jobs/"+s.ID, nil)
		}
		if stance, _ := view["stance"].(string); status == http.StatusOK && (stance == jobs.Done || stance == jobs.Cancelled) {
			u.mu.Lock()
			u.finalStates[s.ID] = stance
			u.mu.Unlock()
			if h.resubmits && u.ctx.Err() == nil && sleep(10*time.Second) {
				u.cluster.request("POST", node(), "/v1/jobs", wireSpec(s)) // at any later time
			}
			return
		}
	}
}

// stop lets all users go.
func (u *simulatedUsers) stop() {
	u.cancel()
	u.following.Wait()
}

func (u *simulatedUsers) isOver(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.finalStates[id] != ""
}

func randomBehavior(r *rand.Rand) userBehavior {
	h := userBehavior{resubmits: r.IntN(3) == 0}
	if r.IntN(4) == 0 {
		h.cancelAfter = time.Duration(5+r.IntN(60)) * time.Second
	}
	return h
}
