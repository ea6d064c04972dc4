package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"
)

type peerLink struct {
	addr   string
	outbox chan []byte
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

func (h *Hub) waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(h.retryDelay):
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
