package controller

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer has closed a connection, or its direction to this host, even
// if data from before is still unread. A client that waits for a response does neither.
func closedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, pollErr := unix.Poll(polled, 0)
		closed = pollErr == nil && ready > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}
