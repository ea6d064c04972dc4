package peer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// Dial opens a connection to another controller.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Hub speaks to all other controllers.
type Hub struct {
	node       string
	dial       Dial
	retryDelay time.Duration
	links      map[string]*peerLink

	// OnLeaderUpdate takes in the leader's counts.
	OnLeaderUpdate func(from string, p LeaderUpdate)
	// OnHTTP takes over a connection on which somebody speaks HTTP; nil refuses.
	OnHTTP func(net.Conn)
	// OnPromiseRequest decides on an ask: whether this node keeps from taking the term, and
	// what it has told users since the asker's picture of the jobs.
	OnPromiseRequest func(ctx context.Context, from string, token, seen uint64) PromiseResponse

	// OnLostJobsRequest answers the leader's question for jobs of which this node knows more than the
	// state service.
	OnLostJobsRequest func(LostJobsRequest) LostJobsResponse

	// OnLossNotice takes in what another controller says of lost records.
	OnLossNotice func(from string, l detection.Loss)

	mu              sync.Mutex
	requestNumber   uint64
	pendingPromises map[uint64]chan PromiseResponse
	pendingLostJobs map[uint64]chan LostJobsResponse
}

// NewHub makes a hub. A connection that has failed is tried again after retry.
func NewHub(self string, peers []settings.Peer, dial Dial, retry time.Duration) *Hub {
	h := &Hub{node: self, dial: dial, retryDelay: retry, links: map[string]*peerLink{}, pendingPromises: map[uint64]chan PromiseResponse{}, pendingLostJobs: map[uint64]chan LostJobsResponse{}}
	for _, p := range peers {
		h.links[p.Node] = &peerLink{addr: p.Addr, outbox: make(chan []byte, 4)}
	}
	return h
}

// Run keeps the connections until the context ends.
func (h *Hub) Run(ctx context.Context, ln net.Listener) {
	var conns sync.WaitGroup
	for _, l := range h.links {
		conns.Go(func() { h.maintainConnection(ctx, l) })
	}
	conns.Go(func() {
		<-ctx.Done()
		ln.Close()
	})
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			slog.Debug("peer not accepted", "reason", err)
			h.waitBeforeRetry(ctx)
			continue
		}
		conns.Go(func() { h.serveConnection(ctx, c) })
	}
	conns.Wait()
}

// Broadcast sends the counts to all others. One that does not keep up misses
// some; each message holds all that matters.
func (h *Hub) Broadcast(p LeaderUpdate) {
	raw := encodeLeaderUpdate(h.node, p)
	for _, l := range h.links {
		select {
		case l.outbox <- raw:
		default:
		}
	}
}

// SendLossNotice tells another controller what shows that records are lost. Should that not
// arrive, the next evidence may.
func (h *Hub) SendLossNotice(node string, l detection.Loss) {
	if link := h.links[node]; link != nil {
		select {
		case link.outbox <- encodeLossNotice(h.node, l):
		default:
		}
	}
}

// Peers returns the names of all other controllers, in order.
func (h *Hub) Peers() []string {
	names := make([]string, 0, len(h.links))
	for name := range h.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
