package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// queueSize is the number of messages queued for a connection. More would be out of date by
	// the time they are sent.
	queueSize = 4
	// timeoutRetryDelays is the timeout for connecting and for sending a message, as a multiple of the
	// retry delay.
	timeoutRetryDelays = 4
)

// peerLink is the connection that this controller opens to another one.
type peerLink struct {
	addr  string
	queue chan []byte // encoded messages to send
}

func newPeerLink(addr string) *peerLink {
	return &peerLink{addr: addr, queue: make(chan []byte, queueSize)}
}

// enqueue queues an encoded message. It drops the message and returns false if the queue is full.
func (l *peerLink) enqueue(raw []byte) bool {
	select {
	case l.queue <- raw:
		return true
	default:
		return false
	}
}

// discardQueued drops the messages queued for a connection that has failed. They would be out of date
// by the time there is another connection.
func (l *peerLink) discardQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// maintainConnection keeps a connection to another controller open until ctx is done.
func (h *Hub) maintainConnection(ctx context.Context, link *peerLink) {
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, h.timeout())
		conn, err := h.dial(dialCtx, link.addr)
		cancel()
		if err != nil {
			link.discardQueued()
			h.waitBeforeRetry(ctx)
			continue
		}
		h.sendQueued(ctx, conn, link)
	}
}

func (h *Hub) timeout() time.Duration { return timeoutRetryDelays * h.retryDelay }

// waitBeforeRetry waits for the retry delay, or until ctx is done.
func (h *Hub) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(h.retryDelay):
	}
}

// sendQueued sends queued messages and delivers the responses until the connection breaks or ctx is
// done. It closes the connection.
func (h *Hub) sendQueued(ctx context.Context, conn net.Conn, link *peerLink) {
	var reader sync.WaitGroup
	defer reader.Wait() // runs last, as closing the connection ends the reader
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	defer cancel()
	reader.Go(func() {
		defer cancel()
		err := h.readMessages(bufio.NewReader(conn), h.deliverResponse)
		slog.Debug("outgoing peer connection closed", "peer", link.addr, "reason", err)
	})
	for {
		select {
		case <-ctx.Done():
			link.discardQueued()
			return
		case raw := <-link.queue:
			if err := h.writeMessage(conn, raw); err != nil {
				link.discardQueued()
				return
			}
		}
	}
}

// bufferedConn is a connection whose first bytes are already in a buffer.
type bufferedConn struct {
	net.Conn
	buffered *bufio.Reader
}

func (c *bufferedConn) Read(p []byte) (int, error) { return c.buffered.Read(p) }

// serveConnection handles the messages on a connection that another controller opened, or passes an
// HTTP connection to OnHTTP. The two cannot be confused: read as a message size, "GET " and "POST"
// far exceed maxMessageBytes.
func (h *Hub) serveConnection(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	prefix, err := reader.Peek(4)
	if err == nil && (string(prefix) == "GET " || string(prefix) == "POST") && h.OnHTTP != nil {
		h.OnHTTP(&bufferedConn{conn, reader})
		return
	}
	defer conn.Close()
	err = h.readMessages(reader, func(m message) error { return h.handleMessage(ctx, conn, m) })
	slog.Debug("incoming peer connection closed", "reason", err)
}

// handleMessage passes a message from another controller to its handler, and sends the response if it
// is a request. An error closes the connection.
func (h *Hub) handleMessage(ctx context.Context, conn net.Conn, received message) error {
	if _, known := h.links[received.from]; !known {
		return &UnknownPeerError{received.from}
	}
	switch {
	case received.leaderUpdate != nil:
		h.OnLeaderUpdate(received.from, *received.leaderUpdate)
	case received.leaseGrantRequest != nil:
		response := h.OnLeaseGrantRequest(ctx, received.from, received.leaseGrantRequest.LeaseGrantRequest)
		return h.writeMessage(conn, encodeLeaseGrantResponse(h.name, leaseGrantResponse{received.leaseGrantRequest.number, response}))
	case received.lossNotice != nil && h.OnLossNotice != nil:
		h.OnLossNotice(received.from, *received.lossNotice)
	case received.lostJobsRequest != nil && h.OnLostJobsRequest != nil:
		response := h.OnLostJobsRequest(received.lostJobsRequest.LostJobsRequest)
		return h.writeMessage(conn, encodeLostJobsResponse(h.name, lostJobsResponse{received.lostJobsRequest.number, response}))
	}
	return nil
}

func (h *Hub) writeMessage(conn net.Conn, raw []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(h.timeout()))
	_, err := conn.Write(raw)
	return err
}

// readMessages passes each message to handle until reading or handle fails, and returns that error.
func (h *Hub) readMessages(reader *bufio.Reader, handle func(message) error) error {
	var prefix [4]byte
	for {
		if _, err := io.ReadFull(reader, prefix[:]); err != nil {
			return err
		}
		size := binary.LittleEndian.Uint32(prefix[:])
		if size > maxMessageBytes {
			return &messageSizeError{size}
		}
		raw := make([]byte, size)
		if _, err := io.ReadFull(reader, raw); err != nil {
			return err
		}
		m, err := decode(raw)
		if err != nil {
			return err
		}
		if err := handle(m); err != nil {
			return err
		}
	}
}
