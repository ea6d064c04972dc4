package controller

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
)

// connLimiter keeps the number of connections from users and workers below a limit. When the
// limit is reached, it closes the connection that has been idle the longest. The client of that
// connection has usually gone without closing it, for example in a network partition, and the
// connection would keep other clients out.
type connLimiter struct {
	limit int

	mu        sync.Mutex
	openConns map[net.Conn]*list.Element // element in idleConns; nil while a request is in progress
	idleConns list.List                  // of net.Conn, longest idle first
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, openConns: make(map[net.Conn]*list.Element)}
}

// connStateChanged is the http.Server.ConnState callback.
func (l *connLimiter) connStateChanged(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, known := l.openConns[conn]
	if !known && state != http.StateNew {
		return // the limiter has closed this connection already
	}
	if element != nil {
		l.idleConns.Remove(element)
	}
	switch state {
	case http.StateNew, http.StateActive:
		l.openConns[conn] = nil
	case http.StateIdle:
		l.openConns[conn] = l.idleConns.PushBack(conn)
	default:
		delete(l.openConns, conn)
	}
	// Stay one below the limit so that the next client is accepted without waiting.
	if first := l.idleConns.Front(); first != nil && len(l.openConns) >= l.limit {
		longestIdle := l.idleConns.Remove(first).(net.Conn)
		delete(l.openConns, longestIdle)
		longestIdle.Close()
	}
}

// yieldingListener yields the processor before it accepts each connection. Thousands of workers
// connect at once when a leader is elected. Without the yield, all of them would be served before
// the leader renews its lease.
type yieldingListener struct{ net.Listener }

func (l yieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	return l.Listener.Accept()
}
