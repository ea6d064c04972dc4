package controller

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
)

// connLimiter are the connections of users and workers. Where they run short, the one
// that has been idle for longest makes way: mostly its other end is gone without a
// word, as in a zone that is cut off, and would keep the living out.
type connLimiter struct {
	limit int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // nil while a request is under way
	idle list.List                  // of net.Conn, idle for longest first
}

func newConnLimiter(most int) *connLimiter {
	return &connLimiter{limit: most, open: make(map[net.Conn]*list.Element)}
}

// connStateChanged is told by the server of every change of a connection.
func (c *connLimiter) connStateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.open[conn]
	if !known && s != http.StateNew {
		return // it has made way already
	}
	if e != nil {
		c.idle.Remove(e)
	}
	switch s {
	case http.StateNew, http.StateActive:
		c.open[conn] = nil
	case http.StateIdle:
		c.open[conn] = c.idle.PushBack(conn)
	default:
		delete(c.open, conn)
	}
	// One place is kept free, so that whoever comes next is accepted at once.
	if first := c.idle.Front(); first != nil && len(c.open) >= c.limit {
		longest := c.idle.Remove(first).(net.Conn)
		delete(c.open, longest)
		longest.Close()
	}
}

// yieldingListener accepts one connection a turn. Thousands of workers knock at once when a
// leader is found; accepted in one go, they would all stand in line for the
// processor before the renewal of the term.
type yieldingListener struct{ net.Listener }

func (t yieldingListener) Accept() (net.Conn, error) {
	runtime.Gosched()
	return t.Listener.Accept()
}
