package controller

import "net"

// openConnListener accepts only connections that their client has not closed yet. On a busy processor,
// connections wait so long to be accepted that workers and users give up and connect again. If the
// abandoned connections were served, the ones after them would wait as long, and be abandoned, too.
type openConnListener struct{ net.Listener }

// Accept implements [net.Listener].
func (l openConnListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !closedByPeer(conn) {
			return conn, err
		}
		conn.Close()
	}
}
