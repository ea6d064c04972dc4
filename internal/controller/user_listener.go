package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"ospreyslip/internal/httpbody"
)

// headTimeout returns the time within which the head of a request must arrive, and for which a new connection
// may stay silent.
func (c *Controller) headTimeout() time.Duration { return c.derived.API.RequestTimeout * 2 }

// bodyTimeout returns the time within which the body of a request must arrive after its head.
func (c *Controller) bodyTimeout() time.Duration { return c.derived.API.RequestTimeout * 4 }

// serveUsers starts goroutines in the group that serve users and workers until the context ends.
func (c *Controller) serveUsers(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	limiter := newConnLimiter(c.derived.Host.ServedConns)
	server := &http.Server{
		Handler:           httpbody.WithDeadline(c.Handler(), c.bodyTimeout()),
		ConnState:         limiter.connStateChanged,
		ReadHeaderTimeout: c.headTimeout(),
		IdleTimeout:       c.derived.Host.IdleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	listener = firstRequestListener{openConnListener{yieldingListener{listener}}, c.headTimeout()}
	group.Go(func() error {
		err := server.Serve(netutil.LimitListener(listener, c.derived.Host.ServedConns))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.derived.API.RequestTimeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
}

// firstRequestListener accepts connections on which the time for the head of the first request begins with its
// first byte. By itself, [http.Server] has it begin when the connection is accepted, so that a client that
// waits before its first request has less time for it than for any later one.
type firstRequestListener struct {
	net.Listener
	headTimeout time.Duration
}

// Accept implements [net.Listener].
func (l firstRequestListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &firstRequestConn{Conn: conn, headTimeout: l.headTimeout}, nil
}

// firstRequestConn is a connection of a firstRequestListener.
type firstRequestConn struct {
	net.Conn
	headTimeout time.Duration
	begun       bool // the first byte has arrived; only the goroutine that reads uses it
}

// Read implements [net.Conn].
func (c *firstRequestConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.begun {
		c.begun = true
		if deadlineErr := c.SetReadDeadline(time.Now().Add(c.headTimeout)); err == nil {
			err = deadlineErr
		}
	}
	return n, err
}
