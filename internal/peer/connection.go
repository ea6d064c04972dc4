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
	// outboxSize is how many messages wait for a connection. More would be out of date by
	// the time they are sent.
	outboxSize = 4
	// timeoutRetries is how many retry delays an attempt to connect, or to send a message,
	// may last.
	timeoutRetries = 4
)

// peerLink is the connection that this controller opens to another one.
type peerLink struct {
	addr   string
	outbox chan []byte // encoded messages to be sent
}

func newPeerLink(addr string) *peerLink {
	return &peerLink{addr: addr, outbox: make(chan []byte, outboxSize)}
}

// enqueue queues an encoded message. It returns false, and drops it, if the queue is full.
func (l *peerLink) enqueue(raw []byte) bool {
	select {
	case l.outbox <- raw:
		return true
	default:
		return false
	}
}

// discardQueued drops what was meant for a connection that is gone: it is out of date by the
// time there is another.
func (l *peerLink) discardQueued() {
	for {
		select {
		case <-l.outbox:
		default:
			return
		}
	}
}

// maintainConnection keeps a connection to another controller open until the context ends.
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

func (h *Hub) timeout() time.Duration { return timeoutRetries * h.retryDelay }

// waitBeforeRetry waits for the retry delay, or until the context ends.
func (h *Hub) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(h.retryDelay):
	}
}

// sendQueued sends what is queued and takes in the responses, until the connection breaks or
// the context ends. It closes the connection.
func (h *Hub) sendQueued(ctx context.Context, conn net.Conn, link *peerLink) {
	var reader sync.WaitGroup
	defer reader.Wait() // last of all: closing the connection ends it
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	defer cancel()
	reader.Go(func() {
		defer cancel()
		err := h.readMessages(bufio.NewReader(conn), h.deliverResponse)
		slog.Debug("peer connection ended", "peer", link.addr, "reason", err)
	})
	for {
		select {
		case <-ctx.Done():
			link.discardQueued()
			return
		case raw := <-link.outbox:
			if err := h.writeMessage(conn, raw); err != nil {
				link.discardQueued()
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

// serveConnection handles the messages on a connection that another controller opened, or
// hands the connection over if it speaks HTTP: read as a size, "GET " and "POST" are far
// beyond any message.
func (h *Hub) serveConnection(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	method, err := reader.Peek(4)
	if err == nil && (string(method) == "GET " || string(method) == "POST") && h.OnHTTP != nil {
		h.OnHTTP(&peekedConn{conn, reader})
		return
	}
	defer conn.Close()
	err = h.readMessages(reader, func(m message) error { return h.handleMessage(ctx, conn, m) })
	slog.Debug("peer connection ended", "reason", err)
}

// handleMessage passes a message of another controller to its handler, and sends the
// response to a request. An error ends the connection.
func (h *Hub) handleMessage(ctx context.Context, conn net.Conn, received message) error {
	if _, known := h.links[received.from]; !known {
		return &UnknownPeerError{received.from}
	}
	switch {
	case received.leaderUpdate != nil:
		h.OnLeaderUpdate(received.from, *received.leaderUpdate)
	case received.leaseGrantRequest != nil:
		response := h.OnLeaseGrantRequest(ctx, received.from, received.leaseGrantRequest.LeaseGrantRequest)
		return h.writeMessage(conn, encodeLeaseGrantResponse(h.node, leaseGrantResponse{received.leaseGrantRequest.number, response}))
	case received.lossNotice != nil && h.OnLossNotice != nil:
		h.OnLossNotice(received.from, *received.lossNotice)
	case received.lostJobsRequest != nil && h.OnLostJobsRequest != nil:
		response := h.OnLostJobsRequest(received.lostJobsRequest.LostJobsRequest)
		return h.writeMessage(conn, encodeLostJobsResponse(h.node, lostJobsResponse{received.lostJobsRequest.number, response}))
	}
	return nil
}

func (h *Hub) writeMessage(conn net.Conn, raw []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(h.timeout()))
	_, err := conn.Write(raw)
	return err
}

// readMessages passes all messages to handle until the connection ends or handle fails, and
// returns why it did.
func (h *Hub) readMessages(reader *bufio.Reader, handle func(message) error) error {
	var size [4]byte
	for {
		if _, err := io.ReadFull(reader, size[:]); err != nil {
			return err
		}
		bytes := binary.LittleEndian.Uint32(size[:])
		if bytes > maxMessage {
			return &messageSizeError{bytes}
		}
		raw := make([]byte, bytes)
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
