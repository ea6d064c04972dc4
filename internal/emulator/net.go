// Package emulator plays the outside world in one process, for tests: the state
// service, the cloud, workers and the network between them, as the protocol
// describes them. Time is whatever the test's bubble says it is.
package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Fault is what happens to a message.
type Fault int

// The faults.
const (
	Deliver          Fault = iota
	RefuseConnection       // the connection is refused
	DropRequest            // nothing arrives and nothing comes back
	DropResponse           // it is executed, but the answer never comes
	DeliverLate            // it is executed after Net.Lateness, when nobody waits any more
	DeliverTwice           // it is delivered, and executed once more after Net.Lateness
	DeliverSlowly          // it arrives, and its answer comes, after Net.Lateness
)

// Network carries requests between named hosts.
type Network struct {
	Lateness   time.Duration
	LatenessOf func(from, to, path string) time.Duration // for each message; nil means Lateness

	mu      sync.Mutex
	hosts   map[string]http.Handler
	names   map[string]string // address to host
	streams map[string]*listener
	rule    FaultRule
	more    []*FaultRule // troubles on top of it, the first to begin first
	tasks   sync.WaitGroup
	sockets *sockets // nil unless hosts are on this machine's loopback
}

// FaultRule decides a message's fate.
type FaultRule func(from, to, path string) Fault

// NewNetwork makes a network without hosts.
func NewNetwork() *Network {
	return &Network{hosts: map[string]http.Handler{}, names: map[string]string{}, streams: map[string]*listener{}, Lateness: time.Minute}
}

// Attach puts a host on an address; a nil handler takes it off.
func (n *Network) Attach(host, addr string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = host
	if n.sockets != nil {
		n.sockets.attach(addr, h)
	}
	if h == nil {
		delete(n.hosts, addr)
		return
	}
	n.hosts[addr] = h
}

// SetFaults sets the rule that decides each message's fate; nil delivers all.
func (n *Network) SetFaults(rule FaultRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// AddFaults adds a rule to those in force, until it is ended.
func (n *Network) AddFaults(rule FaultRule) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	one := &rule
	n.more = append(n.more, one)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.more = slices.DeleteFunc(n.more, func(r *FaultRule) bool { return r == one })
	}
}

func (n *Network) lateness(from, to, path string) time.Duration {
	if n.LatenessOf != nil {
		return n.LatenessOf(from, to, path)
	}
	return n.Lateness
}

// Transport returns the network as one host sees it.
func (n *Network) Transport(host string) http.RoundTripper {
	if n.sockets != nil {
		return n.sockets.transport
	}
	return &link{n, host}
}

// listener takes the stream connections of a host.
type listener struct {
	net   *Network
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen opens an address for streams.
func (n *Network) Listen(host, addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.names[addr] = host
	n.streams[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.streams[l.addr] == l {
			delete(l.net.streams, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Stream is the path under which fault rules see messages between nodes.
const Stream = "stream"

// Dial opens a stream from a host. Each write is one message to the fault rule:
// what is not delivered is dropped, as a cut would hold it for ever.
func (n *Network) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, to := n.streams[addr], n.names[addr]
	n.mu.Unlock()
	if l == nil || n.fate(from, to, Stream) != Deliver {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	here, there := net.Pipe()
	select {
	case l.conns <- &stream{there, n, to, from}:
		return &stream{here, n, from, to}, nil
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, dialError(syscall.ECONNREFUSED)
}

type stream struct {
	net.Conn
	net      *Network
	from, to string
}

func (s *stream) Write(p []byte) (int, error) {
	if s.net.fate(s.from, s.to, Stream) != Deliver {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func (n *Network) fate(from, to, path string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rule != nil {
		if f := n.rule(from, to, path); f != Deliver {
			return f
		}
	}
	for _, r := range n.more {
		if f := (*r)(from, to, path); f != Deliver {
			return f
		}
	}
	return Deliver
}

// Wait waits for messages that are still being executed.
func (n *Network) Wait() { n.tasks.Wait() }

type link struct {
	net  *Network
	from string
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
		req.Body.Close()
	}
	addr := req.URL.Host
	l.net.mu.Lock()
	h, to := l.net.hosts[addr], l.net.names[addr]
	l.net.mu.Unlock()
	fault := l.net.fate(l.from, to, req.URL.Path)
	late := l.net.lateness(l.from, to, req.URL.Path)
	ctx := req.Context()
	switch {
	case fault == DropRequest:
		<-ctx.Done()
		return nil, ctx.Err()
	case h == nil || fault == RefuseConnection:
		return nil, dialError(syscall.ECONNREFUSED)
	}
	// The other side goes on when the caller gives up.
	inner := req.Clone(context.WithoutCancel(ctx))
	inner.RequestURI = req.URL.RequestURI()
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RemoteAddr = l.from
	if fault == DeliverTwice {
		again := inner.Clone(inner.Context())
		again.RequestURI, again.RemoteAddr = inner.RequestURI, l.from
		again.Body = io.NopCloser(bytes.NewReader(body))
		l.net.tasks.Go(func() {
			time.Sleep(late)
			l.net.mu.Lock()
			h := l.net.hosts[addr] // whoever is there by then
			l.net.mu.Unlock()
			if h != nil {
				h.ServeHTTP(httptest.NewRecorder(), again)
			}
		})
	}
	answer := make(chan *http.Response, 1)
	l.net.tasks.Go(func() {
		if fault == DeliverLate || fault == DeliverSlowly {
			time.Sleep(late)
		}
		time.Sleep(time.Millisecond)
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, inner)
		time.Sleep(time.Millisecond)
		answer <- rec.Result()
	})
	if fault == DropResponse || fault == DeliverLate {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case resp := <-answer:
		if resp.StatusCode == 0 {
			return nil, errors.New("no answer")
		}
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
