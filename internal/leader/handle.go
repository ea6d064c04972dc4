package leader

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// ErrNotLeading means that this controller is not the leader. The caller has to ask another one.
var ErrNotLeading = errors.New("this node does not lead")

// Handle gives the rest of a controller access to its leader while it leads. All methods but Lead
// may be called from any goroutine.
type Handle struct {
	leader         atomic.Pointer[Leader]
	lastResignedAt time.Time // when the last leader here resigned; owned by the goroutine that calls Lead
}

// leasesBetweenResignations is the number of worker leases that must pass after a leader of this
// controller has resigned before another one may resign because no worker reaches it.
const leasesBetweenResignations = 4

// Lead runs one term until ctx ends or the leader resigns. It returns after the goroutines that
// follow the job records and poll the cloud have ended.
func (h *Handle) Lead(ctx context.Context, deps Deps, term election.Term) {
	l := newLeader(deps, term)
	ctx, stop := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer func() {
		h.leader.CompareAndSwap(l, nil)
		stop()
		close(l.inbox.done)
		goroutines.Wait()
		deps.Counts.clear()
	}()
	loadedRevision, err := newLoader(l).Load(ctx)
	if err != nil {
		slog.Info("cannot load records, resigning", "term", term.FencingToken, "reason", err)
		return
	}
	goroutines.Go(func() { l.jobs.Follow(ctx, loadedRevision) })
	goroutines.Go(func() { l.scaler.PollList(ctx) })
	// A leader that no worker reaches resigns, because workers may reach another controller. It
	// does so only from time to time: if all machines are gone, no controller can be reached.
	l.loop.mayResign = time.Since(h.lastResignedAt) > leasesBetweenResignations*deps.Derived.Workers.Lease && len(deps.Settings.Peers) > 0
	h.leader.Store(l)
	l.run(ctx)
	if l.loop.resigning {
		h.lastResignedAt = time.Now()
	}
}

// HandleHeartbeat passes a heartbeat to the leader and returns the response. It returns nil if
// there is no leader here, if the leader must not respond, or if ctx ends first.
func (h *Handle) HandleHeartbeat(ctx context.Context, heartbeat *workers.Heartbeat) *workers.HeartbeatResponse {
	l := h.leader.Load()
	if l == nil {
		return nil
	}
	request := heartbeatRequest{heartbeat, make(chan *workers.HeartbeatResponse, 1)}
	select {
	case l.inbox.heartbeats <- request:
	case <-l.inbox.done:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case response := <-request.reply:
		return response
	case <-l.inbox.done:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// SeenRevision returns the revision up to which the leader has seen all changes to job records, or
// 0 if there is no leader here.
func (h *Handle) SeenRevision() uint64 {
	if l := h.leader.Load(); l != nil {
		return l.jobs.SeenRevision()
	}
	return 0
}

// ApplyPeerCancellations passes to the leader the cancellations that controllers have reported to
// users. They must include every cancellation that users may have been told of by the given time
// and that is newer than what the leader has seen.
func (h *Handle) ApplyPeerCancellations(ctx context.Context, cancellations []jobs.Cancellation, by time.Time) {
	if l := h.leader.Load(); l != nil {
		l.post(ctx, func(time.Time) { l.jobs.ApplyPeerCancellations(cancellations, by) })
	}
}

// callEventLoop runs answer on the leader's event loop and returns the value that answer passes to
// reply. It returns ErrNotLeading if there is no leader here or its event loop ends, and ctx.Err()
// if ctx ends first.
func callEventLoop[T any](ctx context.Context, handle *Handle, query func(l *Leader, now time.Time, reply func(T))) (out T, err error) {
	l := handle.leader.Load()
	if l == nil {
		return out, ErrNotLeading
	}
	replies := make(chan T, 1)
	select {
	case l.inbox.events <- func(now time.Time) { query(l, now, func(reply T) { replies <- reply }) }:
	case <-l.inbox.done:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
	select {
	case out = <-replies:
		return out, nil
	case <-l.inbox.done:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
}
