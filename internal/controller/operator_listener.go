package controller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ospreyslip/internal/httpbody"
)

// connQueue is a net.Listener for connections that another listener has accepted.
type connQueue struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// enqueue blocks until Accept returns the connection. It closes conn if the queue is closed.
func (q *connQueue) enqueue(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		conn.Close()
	}
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return nil
}

func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// serveOperators serves connections from operators until the context ends.
func (c *Controller) serveOperators(ctx context.Context) {
	server := &http.Server{
		Handler:           httpbody.WithDeadline(c.operatorHandler(), c.bodyTimeout()),
		ReadHeaderTimeout: c.derived.API.RequestTimeout,
		IdleTimeout:       time.Minute,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	_ = server.Serve(c.listen.operators) // returns only after server.Close
}

// operatorHandler returns the HTTP handler for operators, who connect to the cluster listener.
func (c *Controller) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), c.derived.API.RequestTimeout)
		defer cancel()
		writeJSON(w, http.StatusOK, c.status(ctx))
	})
	c.registerRecoveryHandlers(mux)
	registry := prometheus.NewRegistry()
	registry.MustRegister(&metricsCollector{c})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
