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

// ErrNotLeading means that this node does not lead, so that another has to be asked.
var ErrNotLeading = errors.New("this node does not lead")

// Handle is by what the rest of a controller reaches the leader, while this node has one. Its
// methods may be called by any goroutine, but for Lead.
type Handle struct {
	leader   atomic.Pointer[Leader]
	resigned time.Time // when the last leader gave up its term; owned by the goroutine that leads
}

// leasesBetweenResignations is for how many worker leases a leader that no worker reaches stays
// after another one of this node has resigned for that.
const leasesBetweenResignations = 4

// Lead does one term's work until the context ends, or the leader gives up its term. It returns
// when all goroutines of the term have ended that are its duties.
func (h *Handle) Lead(ctx context.Context, deps Deps, term election.Term) {
	l := newLeader(deps, term)
	ctx, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() {
		h.leader.CompareAndSwap(l, nil)
		stop()
		close(l.inbox.quit)
		duties.Wait()
		deps.Counts.clear()
	}()
	after, err := newLoader(l).Load(ctx)
	if err != nil {
		slog.Info("records not read, resigning", "term", term.FencingToken, "reason", err)
		return
	}
	duties.Go(func() { l.jobs.Follow(ctx, after) })
	duties.Go(func() { l.scaler.PollList(ctx) })
	// A leader that no worker reaches makes way for one that may be reached. It does so once in a
	// while only: if all machines are really gone, nobody can be.
	l.loop.mayResign = time.Since(h.resigned) > leasesBetweenResignations*deps.Derived.Workers.Lease && len(deps.Settings.Peers) > 0
	h.leader.Store(l)
	l.run(ctx)
	if l.loop.resigns {
		h.resigned = time.Now()
	}
}

// HandleHeartbeat hands a heartbeat over and returns the answer. Nil means that this node has no
// right, or no time, to answer.
func (h *Handle) HandleHeartbeat(ctx context.Context, heartbeat *workers.Heartbeat) *workers.HeartbeatResponse {
	l := h.leader.Load()
	if l == nil {
		return nil
	}
	request := heartbeatRequest{heartbeat, make(chan *workers.HeartbeatResponse, 1)}
	select {
	case l.inbox.heartbeats <- request:
	case <-l.inbox.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case response := <-request.reply:
		return response
	case <-l.inbox.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// SeenRevision is up to which revision the leader has seen all changes of job records; 0 if there is
// no leader here.
func (h *Handle) SeenRevision() uint64 {
	if l := h.leader.Load(); l != nil {
		return l.jobs.SeenRevision()
	}
	return 0
}

// ApplyPeerCancellations hands over all cancellations that users may have been told of by a moment
// and that are newer than what the leader has seen.
func (h *Handle) ApplyPeerCancellations(ctx context.Context, cancellations []jobs.Cancellation, by time.Time) {
	if l := h.leader.Load(); l != nil {
		l.post(ctx, func(time.Time) { l.jobs.ApplyPeerCancellations(cancellations, by) })
	}
}

// call has a question answered by the leader's event loop. It fails with ErrNotLeading, or as the
// context does.
func call[T any](ctx context.Context, handle *Handle, answer func(l *Leader, now time.Time, reply func(T))) (out T, err error) {
	l := handle.leader.Load()
	if l == nil {
		return out, ErrNotLeading
	}
	replies := make(chan T, 1)
	select {
	case l.inbox.events <- func(now time.Time) { answer(l, now, func(reply T) { replies <- reply }) }:
	case <-l.inbox.quit:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
	select {
	case out = <-replies:
		return out, nil
	case <-l.inbox.quit:
		return out, ErrNotLeading
	case <-ctx.Done():
		return out, ctx.Err()
	}
}
