package controller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// noKeepAlive spares each connection four system calls, of the ten or so that it takes
// to accept or open one: after a take-over thousands are opened in seconds. A peer that
// is gone without a word is noticed by the deadlines of requests and of idle
// connections, which are shorter than those of keep-alive probes.
const noKeepAlive = -1

// listenForUsers accepts connections of users and workers.
func listenForUsers(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", addr)
}

// listenForPeers accepts connections of other controllers and of operators.
func listenForPeers(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// dialPeer opens a connection to another controller. It is read without a deadline, so
// that keep-alive probes have to tell that the other end is gone.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// transport makes connections to one kind of service: a few to each address,
// all together within this node's sockets. An attempt to connect ends after wait: the
// transport goes on with it after its request was given up, and each holds a socket. To a
// zone that is cut off there would soon be thousands.
func transport(each, all int, wait time.Duration) http.RoundTripper {
	dialer := net.Dialer{KeepAlive: noKeepAlive, Timeout: wait}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        all,
		MaxIdleConnsPerHost: each,
		MaxConnsPerHost:     2 * each,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}
