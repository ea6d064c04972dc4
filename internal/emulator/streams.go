package emulator

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// StreamPath is the path that fault rules see for messages between controllers.
const StreamPath = "stream"

// listener implements net.Listener for the stream connections of a host.
type listener struct {
	network *Network
	addr    string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen returns a listener for streams to a host at an address.
func (n *Network) Listen(host, addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	newListener := &listener{network: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.names[addr] = host
	n.streams[addr] = newListener
	return newListener
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.streams[l.addr] == l {
			delete(l.network.streams, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a stream from a host to an address. Fault rules see each write as one message. A
// message with any fault is dropped, because a network partition would hold it back forever.
func (n *Network) Dial(ctx context.Context, from, addr string) (net.Conn, error) {
	n.mu.Lock()
	target, targetHost := n.streams[addr], n.names[addr]
	n.mu.Unlock()
	if target == nil || n.faultOf(from, targetHost, StreamPath) != Deliver {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	localConn, remoteConn := net.Pipe()
	select {
	case target.conns <- &stream{Conn: remoteConn, network: n, from: targetHost, to: from}:
		return &stream{Conn: localConn, network: n, from: from, to: targetHost}, nil
	case <-target.done:
	case <-ctx.Done():
	}
	return nil, dialError(syscall.ECONNREFUSED)
}

// stream is one end of a connection. Fault rules see each write as one message.
type stream struct {
	net.Conn
	network  *Network
	from, to string
}

func (s *stream) Write(p []byte) (int, error) {
	if s.network.faultOf(s.from, s.to, StreamPath) != Deliver {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// dialError returns err as the error of a failed TCP dial.
func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }
