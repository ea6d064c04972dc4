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
	self  string
	dial  Dial
	retry time.Duration
	links map[string]*link

	// Progress takes in the leader's counts.
	Progress func(from string, p Progress)
	// HTTP takes over a connection on which somebody speaks HTTP; nil refuses.
	HTTP func(net.Conn)
	// Promise decides on an ask: whether this node keeps from taking the term, and
	// what it has told users since the asker's picture of the jobs.
	Promise func(ctx context.Context, from string, token, seen uint64) Promise

	// Lost answers the leader's question for jobs of which this node knows more than the
	// state service.
	Lost func(LostJobsRequest) LostJobsResponse

	// Noticed takes in what another controller says of lost records.
	Noticed func(from string, l detection.Loss)

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan Promise
	pages   map[uint64]chan LostJobsResponse
}

type link struct {
	addr string
	out  chan []byte
}

// NewHub makes a hub. A connection that has failed is tried again after retry.
func NewHub(self string, peers []settings.Peer, dial Dial, retry time.Duration) *Hub {
	h := &Hub{self: self, dial: dial, retry: retry, links: map[string]*link{}, waiting: map[uint64]chan Promise{}, pages: map[uint64]chan LostJobsResponse{}}
	for _, p := range peers {
		h.links[p.Node] = &link{addr: p.Addr, out: make(chan []byte, 4)}
	}
	return h
}

// Run keeps the connections until the context ends.
func (h *Hub) Run(ctx context.Context, ln net.Listener) {
	var conns sync.WaitGroup
	for _, l := range h.links {
		conns.Go(func() { h.keep(ctx, l) })
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
			h.pause(ctx)
			continue
		}
		conns.Go(func() { h.serve(ctx, c) })
	}
	conns.Wait()
}

func (h *Hub) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(h.retry):
	}
}

// Publish sends the counts to all others. One that does not keep up misses
// some; each message holds all that matters.
func (h *Hub) Publish(p Progress) {
	raw := encodeProgress(h.self, p)
	for _, l := range h.links {
		select {
		case l.out <- raw:
		default:
		}
	}
}

// AllPromise asks every other controller. Its answer is that of all together.
func (h *Hub) AllPromise(ctx context.Context, token, seen uint64) Promise {
	replies := make(chan Promise, len(h.links))
	for _, l := range h.links {
		h.mu.Lock()
		h.number++
		number := h.number
		h.waiting[number] = replies
		h.mu.Unlock()
		defer func() {
			h.mu.Lock()
			delete(h.waiting, number)
			h.mu.Unlock()
		}()
		select {
		case l.out <- encodeAsk(h.self, ask{number, token, seen}):
		default:
			return Promise{} // a queue that is stuck will bring no answer in time
		}
	}
	all := Promise{Given: true, Complete: true}
	for range h.links {
		select {
		case p := <-replies:
			if !p.Given {
				return Promise{}
			}
			all.Complete = all.Complete && p.Complete
			all.Cancellations = append(all.Cancellations, p.Cancellations...)
		case <-ctx.Done():
			return Promise{}
		}
	}
	return all
}

// keep holds the connection on which this node speaks.
func (h *Hub) keep(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, 4*h.retry)
		c, err := h.dial(try, l.addr)
		cancel()
		if err != nil {
			h.drain(l)
			h.pause(ctx)
			continue
		}
		h.speak(ctx, c, l)
	}
}

// drain drops what was meant for a connection that is gone: it is out of date
// by the time there is another.
func (h *Hub) drain(l *link) {
	for {
		select {
		case <-l.out:
		default:
			return
		}
	}
}

func (h *Hub) speak(ctx context.Context, c net.Conn, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	defer cancel()
	go func() {
		defer cancel()
		err := h.read(bufio.NewReader(c), h.answered)
		slog.Debug("peer connection ended", "peer", l.addr, "reason", err)
	}()
	for {
		select {
		case <-ctx.Done():
			h.drain(l)
			return
		case raw := <-l.out:
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retry))
			if _, err := c.Write(raw); err != nil {
				h.drain(l)
				return
			}
		}
	}
}

// asHTTP is a connection whose first bytes have been read ahead.
type asHTTP struct {
	net.Conn
	r *bufio.Reader
}

func (c *asHTTP) Read(p []byte) (int, error) { return c.r.Read(p) }

// serve answers on a connection on which another node speaks, or hands it over
// if it speaks HTTP: as a size, "GET " and "POST" are far beyond any message.
func (h *Hub) serve(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	first, err := r.Peek(4)
	if err == nil && (string(first) == "GET " || string(first) == "POST") && h.HTTP != nil {
		h.HTTP(&asHTTP{c, r})
		return
	}
	defer c.Close()
	err = h.read(r, func(m message) error {
		if _, known := h.links[m.from]; !known {
			return fmt.Errorf("unknown node %q", m.from)
		}
		switch {
		case m.progress != nil:
			h.Progress(m.from, *m.progress)
		case m.ask != nil:
			given := h.Promise(ctx, m.from, m.ask.token, m.ask.seen)
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retry))
			_, err := c.Write(encodePromise(h.self, promise{m.ask.number, given}))
			return err
		case m.loss != nil && h.Noticed != nil:
			h.Noticed(m.from, *m.loss)
		case m.lostAsk != nil && h.Lost != nil:
			page := h.Lost(m.lostAsk.LostJobsRequest)
			_ = c.SetWriteDeadline(time.Now().Add(4 * h.retry))
			_, err := c.Write(encodeLostPage(h.self, lostPage{m.lostAsk.number, page}))
			return err
		}
		return nil
	})
	slog.Debug("peer connection ended", "reason", err)
}

// read takes in messages until the connection ends, and returns why it did.
func (h *Hub) read(r *bufio.Reader, take func(message) error) error {
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
