package leader

import (
	"context"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/workers"
)

// Capacities of the event loop's channels. A sender blocks while its channel is full.
const (
	heartbeatQueueSize = 16
	eventQueueSize     = 64
)

// inbox carries heartbeats and events from other goroutines to the event loop.
type inbox struct {
	heartbeats chan heartbeatRequest
	events     chan func(now time.Time) // I/O results and queries; the event loop calls each function
	done       chan struct{}            // closed after the event loop has ended
}

func newInbox() inbox {
	return inbox{
		heartbeats: make(chan heartbeatRequest, heartbeatQueueSize),
		events:     make(chan func(time.Time), eventQueueSize),
		done:       make(chan struct{}),
	}
}

// heartbeatRequest is a heartbeat whose sender waits for a response. The response is nil if the
// leader must not respond.
type heartbeatRequest struct {
	heartbeat *workers.Heartbeat
	reply     chan *workers.HeartbeatResponse
}

// loopState is the event loop's own state.
type loopState struct {
	tickGroup       int       // the machine group that the latest tick checked
	nextLeaseExpiry time.Time // no worker's lease expires before this time
	broadcastAt     time.Time // time of the latest update to the other controllers
	probesInFlight  int
	mayResign       bool // whether the leader may resign if it receives no heartbeats
	resigning       bool // the leader gives up the term
}

// run executes the event loop until ctx ends or the leader resigns.
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
			request.reply <- l.handleHeartbeat(request.heartbeat, time.Now())
		case <-ticker.C:
			l.tick(ctx, time.Now())
		}
		l.drainInbox()
		if ctx.Err() != nil || l.loop.resigning {
			return
		}
		l.planWriteAndSend(ctx, time.Now())
	}
}

// drainInbox handles everything that is already queued, so that the leader plans once for all of
// it.
func (l *Leader) drainInbox() {
	for {
		select {
		case apply := <-l.inbox.events:
			apply(time.Now())
		case request := <-l.inbox.heartbeats:
			request.reply <- l.handleHeartbeat(request.heartbeat, time.Now())
		default:
			return
		}
	}
}

// planWriteAndSend makes a plan if one is due, starts the next transaction and sends the commands
// that cannot wait for a heartbeat.
func (l *Leader) planWriteAndSend(ctx context.Context, now time.Time) {
	if l.planner.IsDue(now) && l.canPersistWork(now) {
		l.plan(now)
	}
	l.writer.WriteNext(ctx, now)
	l.dispatcher.Send(ctx, now)
}

// canPersistWork reports whether new work can be made durable. While it cannot, a plan would preempt
// tasks to free capacity in which nothing can be placed.
func (l *Leader) canPersistWork(now time.Time) bool {
	return !l.writer.StoreUnavailable() && now.Sub(l.PeerLeasesRequestedAt()) > l.Derived.Election.LeaseDuration
}

// post queues apply for the event loop. It blocks while the queue is full, and drops apply if ctx
// or the event loop ends first.
func (l *Leader) post(ctx context.Context, apply func(now time.Time)) {
	select {
	case l.inbox.events <- apply:
	case <-ctx.Done():
	case <-l.inbox.done:
	}
}

// postAfter returns at once and posts apply after delay, unless ctx ends first.
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
