// Package peer is what passes between controllers: FlatBuffers messages, each
// behind its size, over one connection in each direction.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
)

// maxMessage bounds what one message may make this node hold in memory.
const maxMessage = 1 << 20

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

type peerLink struct {
	addr   string
	outbox chan []byte
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

func (h *Hub) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(h.retryDelay):
	}
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

// RequestPromises asks every other controller. Its answer is that of all together.
func (h *Hub) RequestPromises(ctx context.Context, token, seen uint64) PromiseResponse {
	replies := make(chan PromiseResponse, len(h.links))
	for _, l := range h.links {
		h.mu.Lock()
		h.requestNumber++
		number := h.requestNumber
		h.pendingPromises[number] = replies
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			delete(h.pendingPromises, number)
			h.mu.Unlock()
		}()
		select {
		case l.outbox <- encodePromiseRequest(h.node, promiseRequest{number, token, seen}):
		default:
			return PromiseResponse{} // a queue that is stuck will bring no answer in time
		}
	}
	all := PromiseResponse{Granted: true, CancellationsComplete: true}
	for range h.links {
		select {
		case p := <-replies:
			if !p.Granted {
				return PromiseResponse{}
			}
			all.CancellationsComplete = all.CancellationsComplete && p.CancellationsComplete
			all.Cancellations = append(all.Cancellations, p.Cancellations...)
		case <-ctx.Done():
			return PromiseResponse{}
		}
	}
	return all
}

// maintainConnection holds the connection on which this node speaks.
func (h *Hub) maintainConnection(ctx context.Context, l *peerLink) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, 4*h.retryDelay)
		c, err := h.dial(try, l.addr)
		cancel()
		if err != nil {
			h.discardQueued(l)
			h.waitBeforeRetry(ctx)
			continue
		}
		h.sendMessages(ctx, c, l)
	}
}

// discardQueued drops what was meant for a connection that is gone: it is out of date
// by the time there is another.
func (h *Hub) discardQueued(l *peerLink) {
	for {
		select {
		case <-l.outbox:
		default:
			return
		}
	}
}

func (h *Hub) sendMessages(ctx context.Context, c net.Conn, l *peerLink) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	defer cancel()
	go func() {
		defer cancel()
		err := h.readMessages(bufio.NewReader(c), h.deliverResponse)
		slog.Debug("peer connection ended", "peer", l.addr, "reason", err)
	}()
	for {
		select {
		case <-ctx.Done():
			h.discardQueued(l)
			return
		case raw := <-l.outbox:
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retryDelay))
			if _, err := c.Write(raw); err != nil {
				h.discardQueued(l)
				return
			}
		}
	}
}

// peekedConn is a connection whose first bytes have been read ahead.
type peekedConn struct {
	net.Conn
	buffered *bufio.Reader
}

func (c *peekedConn) Read(p []byte) (int, error) { return c.buffered.Read(p) }

// serveConnection answers on a connection on which another node speaks, or hands it over
// if it speaks HTTP: as a size, "GET " and "POST" are far beyond any message.
func (h *Hub) serveConnection(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	first, err := r.Peek(4)
	if err == nil && (string(first) == "GET " || string(first) == "POST") && h.OnHTTP != nil {
		h.OnHTTP(&peekedConn{c, r})
		return
	}
	defer c.Close()
	err = h.readMessages(r, func(m message) error {
		if _, known := h.links[m.from]; !known {
			return fmt.Errorf("unknown node %q", m.from)
		}
		switch {
		case m.leaderUpdate != nil:
			h.OnLeaderUpdate(m.from, *m.leaderUpdate)
		case m.promiseRequest != nil:
			given := h.OnPromiseRequest(ctx, m.from, m.promiseRequest.fencingToken, m.promiseRequest.seenRevision)
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retryDelay))
			_, err := c.Write(encodePromiseResponse(h.node, promiseResponse{m.promiseRequest.number, given}))
			return err
		case m.lossNotice != nil && h.OnLossNotice != nil:
			h.OnLossNotice(m.from, *m.lossNotice)
		case m.lostJobsRequest != nil && h.OnLostJobsRequest != nil:
			page := h.OnLostJobsRequest(m.lostJobsRequest.LostJobsRequest)
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retryDelay))
			_, err := c.Write(encodeLostJobsResponse(h.node, lostJobsResponse{m.lostJobsRequest.number, page}))
			return err
		}
		return nil
	})
	slog.Debug("peer connection ended", "reason", err)
}

// readMessages takes in messages until the connection ends, and returns why it did.
func (h *Hub) readMessages(r *bufio.Reader, take func(message) error) error {
	var size [4]byte
	for {
		if _, err := io.ReadFull(r, size[:]); err != nil {
			return err
		}
		n := binary.LittleEndian.Uint32(size[:])
		if n > maxMessage {
			return fmt.Errorf("message of %d bytes", n)
		}
		raw := make([]byte, n)
		if _, err := io.ReadFull(r, raw); err != nil {
			return err
		}
		m, err := decode(raw)
		if err != nil {
			return err
		}
		if err := take(m); err != nil {
			return err
		}
	}
}
