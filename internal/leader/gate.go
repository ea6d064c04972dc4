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
	on       atomic.Pointer[Leader]
	resigned time.Time // owned by the goroutine that leads
}

// Report hands a report over and returns the answer; nil means that this node
// has no right, or no time, to answer.
func (g *Gate) Report(ctx context.Context, r *workers.Heartbeat) *workers.HeartbeatResponse {
	l := g.on.Load()
	if l == nil {
		return nil
	}
	req := reportIn{r, make(chan *workers.HeartbeatResponse, 1)}
	select {
	case l.reports <- req:
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case a := <-req.reply:
		return a
	case <-l.quit:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// Seen returns up to which revision the picture of the jobs on duty has all changes;
// 0 if there is none.
func (g *Gate) Seen() uint64 {
	if l := g.on.Load(); l != nil {
		return l.seen.Load()
	}
	return 0
}

// Cancelled hands over all cancellations that users may have been told of by a
// moment and that are newer than what was seen.
func (g *Gate) Cancelled(ctx context.Context, all []jobs.Cancellation, by time.Time) {
	if l := g.on.Load(); l != nil {
		l.post(ctx, func(time.Time) { l.cancelledUnseen(all, by) })
	}
}

type reportIn struct {
	report *workers.Heartbeat
	reply  chan *workers.HeartbeatResponse
}

// Lead does one term's work until the context ends.
func (g *Gate) Lead(ctx context.Context, d Deps, t election.Term) {
	l := newLeader(d, t)
	ctx, stop := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer func() {
		g.on.CompareAndSwap(l, nil)
		stop()
		close(l.quit)
		duties.Wait()
		d.Counts.clear()
	}()
	after, err := l.load(ctx)
	if err != nil {
		slog.Info("records not read, resigning", "term", t.Token, "reason", err)
		return
	}
	duties.Go(func() { l.follow(ctx, after) })
	duties.Go(func() { l.listing(ctx) })
	// A leader that no worker reaches makes way for one that may be reached. It
	// does so once in a while only: if all machines are really gone, nobody can.
	l.mayResign = time.Since(g.resigned) > 4*d.Derived.Workers.Lease && len(d.Settings.Peers) > 0
	g.on.Store(l)
	l.run(ctx)
	if l.resign {
		g.resigned = time.Now()
	}
}
