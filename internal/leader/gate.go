package leader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Gate leads reports to the leader that is on duty, if there is one.
type Gate struct {
	leader   atomic.Pointer[Leader]
	resigned time.Time // owned by the goroutine that leads
}

// HandleHeartbeat hands a report over and returns the answer; nil means that this node
// has no right, or no time, to answer.
func (g *Gate) HandleHeartbeat(ctx context.Context, r *workers.Heartbeat) *workers.HeartbeatResponse {
	l := g.leader.Load()
	if l == nil {
		return nil
	}
	req := heartbeatRequest{r, make(chan *workers.HeartbeatResponse, 1)}
	select {
	case l.inbox.heartbeats <- req:
	case <-l.inbox.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case a := <-req.reply:
		return a
	case <-l.inbox.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// SeenRevision returns up to which revision the picture of the jobs on duty has all changes;
// 0 if there is none.
func (g *Gate) SeenRevision() uint64 {
	if l := g.leader.Load(); l != nil {
		return l.jobs.SeenRevision()
	}
	return 0
}

// ApplyPeerCancellations hands over all cancellations that users may have been told of by a
// moment and that are newer than what was seen.
func (g *Gate) ApplyPeerCancellations(ctx context.Context, all []jobs.Cancellation, by time.Time) {
	if l := g.leader.Load(); l != nil {
		l.post(ctx, func(time.Time) { l.jobs.ApplyPeerCancellations(all, by) })
	}
}

// Lead does one term's work until the context ends.
func (g *Gate) Lead(ctx context.Context, d Deps, t election.Term) {
	l := newLeader(d, t)
	ctx, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() {
		g.leader.CompareAndSwap(l, nil)
		stop()
		close(l.inbox.quit)
		duties.Wait()
		d.Counts.clear()
	}()
	after, err := l.loader().Load(ctx)
	if err != nil {
		slog.Info("records not read, resigning", "term", t.FencingToken, "reason", err)
		return
	}
	duties.Go(func() { l.jobs.Follow(ctx, after) })
	duties.Go(func() { l.scaler.PollList(ctx) })
	// A leader that no worker reaches makes way for one that may be reached. It
	// does so once in a while only: if all machines are really gone, nobody can.
	l.loop.mayResign = time.Since(g.resigned) > 4*d.Derived.Workers.Lease && len(d.Settings.Peers) > 0
	g.leader.Store(l)
	l.run(ctx)
	if l.loop.resigns {
		g.resigned = time.Now()
	}
}
