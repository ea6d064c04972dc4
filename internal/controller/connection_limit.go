package controller

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
)

// connLimiter keeps the connections of users and workers below a limit. When they run short,
// the one that has been idle for longest is closed: mostly its other end has gone without
// closing it, as in a zone that is cut off, and would keep others out.
type connLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // its place in idle; nil while a request is under way
	idle list.List                  // of net.Conn, idle for longest first
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, open: make(map[net.Conn]*list.Element)}
}

// connStateChanged is the server's http.Server.ConnState.
func (l *connLimiter) connStateChanged(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, known := l.open[conn]
	if !known && state != http.StateNew {
		return // it was closed to make room
	}
	if place != nil {
		l.idle.Remove(place)
	}
	switch state {
	case http.StateNew, http.StateActive:
		l.open[conn] = nil
	case http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
	default:
		delete(l.open, conn)
	}
	// One place is kept free, so that whoever comes next is accepted at once.
	if first := l.idle.Front(); first != nil && len(l.open) >= l.limit {
		longestIdle := l.idle.Remove(first).(net.Conn)
		delete(l.open, longestIdle)
		longestIdle.Close()
	}
}

// yieldingListener lets other goroutines run before each connection that it accepts.
// Thousands of workers connect at once when a leader is found; accepted in one go, they would
// all be served before the renewal of the leadership lease.
type yieldingListener struct{ net.Listener }

func (l yieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	return l.Listener.Accept()
}
