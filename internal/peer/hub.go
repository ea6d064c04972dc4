package peer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// Dial opens a connection to the controller that listens at addr.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Hub exchanges messages with all other controllers.
//
// The On fields are called from the goroutines of the connections, several at a time, and
// have to be set before Run. All methods may be called from any goroutine.
type Hub struct {
	node       string // name of this controller
	dial       Dial
	retryDelay time.Duration
	links      map[string]*peerLink // by name of the other controller

	// OnLeaderUpdate takes in what the leader broadcasts.
	OnLeaderUpdate func(from string, update LeaderUpdate)
	// OnHTTP takes over a connection on which somebody speaks HTTP, and closes it; nil refuses.
	OnHTTP func(net.Conn)
	// OnLeaseGrantRequest decides on a request for a lease grant.
	OnLeaseGrantRequest func(ctx context.Context, from string, request LeaseGrantRequest) LeaseGrantResponse
	// OnLostJobsRequest responds to a request for lost jobs; nil leaves it without a response.
	OnLostJobsRequest func(LostJobsRequest) LostJobsResponse
	// OnLossNotice takes in another controller's evidence of lost records; nil drops it.
	OnLossNotice func(from string, loss detection.Evidence)

	requestNumber       atomic.Uint64 // of the last request; a response carries the number of its request
	leaseGrantResponses pendingResponses[LeaseGrantResponse]
	lostJobResponses    pendingResponses[LostJobsResponse]
}

// NewHub makes the hub of the controller named node. A connection that has failed is tried
// again after retryDelay.
func NewHub(node string, peers []settings.Peer, dial Dial, retryDelay time.Duration) *Hub {
	h := &Hub{node: node, dial: dial, retryDelay: retryDelay, links: make(map[string]*peerLink, len(peers))}
	for _, p := range peers {
		h.links[p.Node] = newPeerLink(p.Addr)
	}
	return h
}

// Run connects to all other controllers and serves the connections that listener accepts,
// until the context ends. It closes the listener and returns when all connections are closed.
func (h *Hub) Run(ctx context.Context, listener net.Listener) {
	var connections sync.WaitGroup
	for _, link := range h.links {
		connections.Go(func() { h.maintainConnection(ctx, link) })
	}
	connections.Go(func() {
		<-ctx.Done()
		listener.Close()
	})
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			slog.Debug("peer not accepted", "reason", err)
			h.waitBeforeRetry(ctx)
			continue
		}
		connections.Go(func() { h.serveConnection(ctx, conn) })
	}
	connections.Wait()
}

// Broadcast sends the leader's update to all other controllers. One whose queue is full
// misses it; the next update holds all that matters.
func (h *Hub) Broadcast(update LeaderUpdate) {
	raw := encodeLeaderUpdate(h.node, update)
	for _, link := range h.links {
		link.enqueue(raw)
	}
}

// SendLossNotice sends evidence of lost records to the named controller. It is dropped if
// the controller is unknown or its queue is full; the next evidence may arrive.
func (h *Hub) SendLossNotice(node string, loss detection.Evidence) {
	if link := h.links[node]; link != nil {
		link.enqueue(encodeLossNotice(h.node, loss))
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
