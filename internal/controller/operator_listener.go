package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// connQueue is a listener whose connections are handed to it.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *connQueue) enqueue(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		c.Close()
	}
}

func (h *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *connQueue) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

func (h *connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// serveOperators serves the operators' connections until the context ends.
func (n *Controller) serveOperators(ctx context.Context) {
	srv := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: n.derived.UserWait, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(n.operatorConns); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return
	}
}
