package controller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// withDefaults returns the environment with the real network and memory in place of what is
// not set, but for HTTP and Listen, whose defaults depend on the use.
func (e Environment) withDefaults() Environment {
	if e.Dial == nil {
		e.Dial = dialPeer
	}
	if e.Memory == nil {
		e.Memory = memoryInUse
	}
	return e
}

// transport returns the environment's transport, or else a new one of the real network.
func (e Environment) transport(idlePerHost, idleTotal int, dialTimeout time.Duration) http.RoundTripper {
	if e.HTTP != nil {
		return e.HTTP
	}
	return newTransport(idlePerHost, idleTotal, dialTimeout)
}

// newListeners returns the environment's listeners, or else those of the real network.
func newListeners(env Environment) listeners {
	if env.Listen != nil {
		return listeners{users: env.Listen, cluster: env.Listen, operators: newConnQueue()}
	}
	return listeners{users: listenForUsers, cluster: listenForPeers, operators: newConnQueue()}
}

// noKeepAlive turns keep-alive probes off. It spares each connection four system calls, of the ten or so that it takes
// to accept or open one: after a failover thousands are opened in seconds. A peer that
// is gone without a word is noticed by the deadlines of requests and of idle
// connections, which are shorter than those of keep-alive probes.
const noKeepAlive = -1

// listenForUsers opens the listener for users and workers.
func listenForUsers(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", addr)
}

// listenForPeers opens the listener for other controllers and operators.
func listenForPeers(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// dialPeer opens a connection to another controller. It is read without a deadline, so
// that keep-alive probes have to tell that the other end is gone.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// newTransport returns a transport for one kind of service that keeps idlePerHost idle
// connections to each address, and idleTotal to all together (0: no limit), so that they stay
// within the sockets of this process. An attempt to connect ends after dialTimeout: the
// transport goes on with it after its request was given up, and each holds a socket. To a
// zone that is cut off there would soon be thousands.
func newTransport(idlePerHost, idleTotal int, dialTimeout time.Duration) http.RoundTripper {
	dialer := net.Dialer{KeepAlive: noKeepAlive, Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleTotal,
		MaxIdleConnsPerHost: idlePerHost,
		MaxConnsPerHost:     2 * idlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}
