package leader

import (
	"context"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// How many heartbeats and outcomes wait for the event loop before their senders do.
const (
	heartbeatQueue = 16
	eventQueue     = 64
)

// inbox is what other goroutines hand to the event loop.
type inbox struct {
	heartbeats chan heartbeatRequest
	events     chan func(now time.Time) // outcomes of I/O and questions, called by the event loop
	quit       chan struct{}            // closed when the event loop has ended
}

func newInbox() inbox {
	return inbox{
		heartbeats: make(chan heartbeatRequest, heartbeatQueue),
		events:     make(chan func(time.Time), eventQueue),
		quit:       make(chan struct{}),
	}
}

// heartbeatRequest is a heartbeat that waits for its answer; nil if there is none to give.
type heartbeatRequest struct {
	heartbeat *workers.Heartbeat
	reply     chan *workers.HeartbeatResponse
}

// loopState is what the event loop itself remembers.
type loopState struct {
	tickGroup       int       // of the ticks in a control interval
	nextLeaseExpiry time.Time // no worker's lease ends before
	broadcastAt     time.Time // when other controllers were last told what has changed
	probesInFlight  int
	mayResign       bool // because no machine is heard of
	resigns         bool // the term is given up
}

// run is the event loop. It ends with the context, or when the leader resigns.
func (l *Leader) run(ctx context.Context) {
	ticker := time.NewTicker(l.Derived.Leader.ControlInterval / cluster.TickGroups)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-l.inbox.events:
			apply(time.Now())
		case request := <-l.inbox.heartbeats:
			request.reply <- l.answerHeartbeat(request.heartbeat, time.Now())
		case <-ticker.C:
			l.tick(ctx, time.Now())
		}
		l.drainInbox()
		if ctx.Err() != nil || l.loop.resigns {
			return
		}
		l.act(ctx, time.Now())
	}
}

// drainInbox takes in what else has come, before the leader decides once for all of it.
func (l *Leader) drainInbox() {
	for {
		select {
		case apply := <-l.inbox.events:
			apply(time.Now())
		case request := <-l.inbox.heartbeats:
			request.reply <- l.answerHeartbeat(request.heartbeat, time.Now())
		default:
			return
		}
	}
}

// act carries out what follows from all that was taken in: a plan, the next transaction, and
// commands that cannot wait.
func (l *Leader) act(ctx context.Context, now time.Time) {
	if l.planner.IsDue(now) && l.mayBegin(now) {
		l.plan(now)
	}
	l.writer.WriteNext(ctx, now)
	l.dispatcher.Send(ctx, now)
}

// mayBegin tells whether new work can be made durable. While it cannot, a plan would stop tasks
// to make room that nothing can be placed in.
func (l *Leader) mayBegin(now time.Time) bool {
	return !l.writer.StoreUnavailable() && now.Sub(l.PeerLeasesRequestedAt()) > l.Derived.Election.LeaseDuration
}

// post has an outcome applied by the event loop, unless the context or the loop ends before.
func (l *Leader) post(ctx context.Context, apply func(now time.Time)) {
	select {
	case l.inbox.events <- apply:
	case <-ctx.Done():
	case <-l.inbox.quit:
	}
}

// postAfter does so after a while.
func (l *Leader) postAfter(ctx context.Context, delay time.Duration, apply func()) {
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		l.post(ctx, func(time.Time) { apply() })
	}()
}
