//go:build !linux

package controller

import "net"

// closedByPeer reports false: only Linux tells that a peer has closed a connection with unread data.
func closedByPeer(net.Conn) bool { return false }
