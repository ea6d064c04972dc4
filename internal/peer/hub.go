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
// The goroutines of the connections call the functions in the On fields concurrently. Those fields
// must be set before Run. All methods are safe for concurrent use.
type Hub struct {
	name       string // name of this controller
	dial       Dial
	retryDelay time.Duration
	links      map[string]*peerLink // by name of the other controller

	// OnLeaderUpdate receives the updates that the leader broadcasts.
	OnLeaderUpdate func(from string, update LeaderUpdate)
	// OnHTTP takes over an HTTP connection and has to close it; if nil, HTTP is refused.
	OnHTTP func(net.Conn)
	// OnLeaseGrantRequest decides on a request for a lease grant.
	OnLeaseGrantRequest func(ctx context.Context, from string, request LeaseGrantRequest) LeaseGrantResponse
	// OnLostJobsRequest responds to a request for lost jobs; if nil, there is no response.
	OnLostJobsRequest func(LostJobsRequest) LostJobsResponse
	// OnLossNotice receives another controller's evidence of lost records; if nil, it is dropped.
	OnLossNotice func(from string, loss detection.Evidence)

	requestNumber       atomic.Uint64 // of the last request; a response carries the number of its request
	leaseGrantResponses pendingResponses[LeaseGrantResponse]
	lostJobResponses    pendingResponses[LostJobsResponse]
}

// NewHub returns the hub of the controller with the given name. It retries a failed connection after
// retryDelay.
func NewHub(name string, peers []settings.Peer, dial Dial, retryDelay time.Duration) *Hub {
	h := &Hub{name: name, dial: dial, retryDelay: retryDelay, links: make(map[string]*peerLink, len(peers))}
	for _, p := range peers {
		h.links[p.ControllerName] = newPeerLink(p.Addr)
	}
	return h
}

// Run connects to all other controllers and serves the connections that listener accepts, until ctx
// is done. It closes the listener, and returns when all connections are closed.
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
			slog.Debug("failed to accept a peer connection", "reason", err)
			h.waitBeforeRetry(ctx)
			continue
		}
		connections.Go(func() { h.serveConnection(ctx, conn) })
	}
	connections.Wait()
}

// Broadcast sends the leader's update to all other controllers. A controller whose queue is full
// misses the update; the next one contains everything that matters.
func (h *Hub) Broadcast(update LeaderUpdate) {
	raw := encodeLeaderUpdate(h.name, update)
	for _, link := range h.links {
		link.enqueue(raw)
	}
}

// SendLossNotice sends evidence of lost records to the named controller. The notice is dropped if the
// controller is unknown or its queue is full; a later one may arrive.
func (h *Hub) SendLossNotice(name string, loss detection.Evidence) {
	if link := h.links[name]; link != nil {
		link.enqueue(encodeLossNotice(h.name, loss))
	}
}

// Peers returns the names of all other controllers, sorted.
func (h *Hub) Peers() []string {
	names := make([]string, 0, len(h.links))
	for name := range h.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
