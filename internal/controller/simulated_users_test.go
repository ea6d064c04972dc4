package controller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
)

// simulatedUsers submit jobs and then query, cancel and resubmit them until they are told that the
// job is done or cancelled. Each job has one request in flight at a time. The methods may be called
// by several goroutines.
type simulatedUsers struct {
	cluster   *cluster
	ctx       context.Context
	cancel    context.CancelFunc
	following sync.WaitGroup

	mu            sync.Mutex
	lastTaskEnded map[string]chan struct{} // by job ID; closed when the job's last task has ended
	finalStates   map[string]string        // by job ID, the states that users were told
}

func newSimulatedUsers(c *cluster) *simulatedUsers {
	users := &simulatedUsers{cluster: c, lastTaskEnded: map[string]chan struct{}{}, finalStates: map[string]string{}}
	users.ctx, users.cancel = context.WithCancel(c.ctx)
	c.world.JobCompleted = func(id string) {
		users.mu.Lock()
		defer users.mu.Unlock()
		if ended := users.lastTaskEnded[id]; ended != nil {
			close(ended)
			users.lastTaskEnded[id] = nil
		}
	}
	return users
}

// userBehavior is what a user does about a job besides submitting it once and querying its state.
type userBehavior struct {
	cancelAfter time.Duration // 0: never
	cancelAtEnd bool          // cancels the job at the moment when its last task ends
	resubmits   bool          // submits the job repeatedly
}

func randomBehavior(random *rand.Rand) userBehavior {
	behavior := userBehavior{resubmits: random.IntN(3) == 0}
	if random.IntN(4) == 0 {
		behavior.cancelAfter = time.Duration(5+random.IntN(60)) * time.Second
	}
	return behavior
}

// submitAndFollow has a user submit a job and follow it in a goroutine, for which stop waits.
func (u *simulatedUsers) submitAndFollow(random *rand.Rand, spec *jobs.Spec, behavior userBehavior) {
	u.cluster.world.UploadSpec(spec)
	ended := make(chan struct{})
	u.mu.Lock()
	u.lastTaskEnded[spec.ID] = ended
	u.mu.Unlock()
	user := &jobUser{simulatedUsers: u, random: random, spec: spec, behavior: behavior}
	u.following.Go(func() { user.follow(ended) })
}

// stop ends the users' goroutines and waits for them.
func (u *simulatedUsers) stop() {
	u.cancel()
	u.following.Wait()
}

// toldFinished reports whether a user was told that the job is done or cancelled.
func (u *simulatedUsers) toldFinished(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.finalStates[id] != ""
}

// jobUser is the user of one job.
type jobUser struct {
	*simulatedUsers
	random   *rand.Rand
	spec     *jobs.Spec
	behavior userBehavior
}

// follow submits the job and sends requests about it until it is done or cancelled.
func (u *jobUser) follow(ended <-chan struct{}) {
	if status, _ := u.requestUntilAnswered("POST", "/v1/jobs", wireSpec(u.spec)); status != http.StatusCreated && status != http.StatusOK {
		return
	}
	var cancelDue <-chan time.Time
	if u.behavior.cancelAfter > 0 {
		cancelDue = time.After(u.behavior.cancelAfter)
	}
	for {
		shouldCancel := false
		select {
		case <-u.ctx.Done():
			return
		case <-cancelDue:
			cancelDue, shouldCancel = nil, true
		case <-ended:
			ended, shouldCancel = nil, u.behavior.cancelAtEnd
		case <-time.After(4*time.Second + time.Duration(u.random.IntN(2000))*time.Millisecond):
		}
		status, view := u.cancelOrQuery(shouldCancel)
		state, _ := view["stance"].(string)
		if status == http.StatusOK && (state == jobs.Done || state == jobs.Cancelled) {
			u.noteFinished(state)
			return
		}
	}
}

// cancelOrQuery cancels the job if shouldCancel is true, and otherwise resubmits or queries it.
func (u *jobUser) cancelOrQuery(shouldCancel bool) (status int, view map[string]any) {
	switch {
	case shouldCancel:
		return u.requestUntilAnswered("POST", "/v1/jobs/"+u.spec.ID+"/withdraw", nil)
	case u.behavior.resubmits && u.random.IntN(3) == 0:
		return u.cluster.request("POST", u.randomController(), "/v1/jobs", wireSpec(u.spec))
	default:
		return u.cluster.request("GET", u.randomController(), "/v1/jobs/"+u.spec.ID, nil)
	}
}

// noteFinished records the job's final state. A user that resubmits then submits the job once more.
func (u *jobUser) noteFinished(state string) {
	u.mu.Lock()
	u.finalStates[u.spec.ID] = state
	u.mu.Unlock()
	if u.behavior.resubmits && u.ctx.Err() == nil && sleep(u.ctx, 10*time.Second) {
		u.cluster.request("POST", u.randomController(), "/v1/jobs", wireSpec(u.spec))
	}
}

// requestUntilAnswered retries a request until it is accepted or refused for good, for a minute. It
// returns status 0 if the users are stopped meanwhile.
func (u *jobUser) requestUntilAnswered(method, path string, body any) (status int, view map[string]any) {
	for start := time.Now(); ; {
		status, view := u.cluster.request(method, u.randomController(), path, body)
		answered := status == http.StatusOK || status == http.StatusCreated || status == http.StatusUnprocessableEntity
		if answered || time.Since(start) > time.Minute {
			return status, view
		}
		if !sleep(u.ctx, time.Second+time.Duration(u.random.IntN(1000))*time.Millisecond) {
			return 0, nil
		}
	}
}

func (u *jobUser) randomController() string {
	return u.cluster.names[u.random.IntN(len(u.cluster.names))]
}
