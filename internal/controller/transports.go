package controller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// withDefaults returns the environment with Dial and Memory set to their defaults if they are
// nil. HTTP and Listen stay unset, because their defaults depend on the use.
func (e Environment) withDefaults() Environment {
	if e.Dial == nil {
		e.Dial = dialPeer
	}
	if e.Memory == nil {
		e.Memory = memoryInUse
	}
	return e
}

// transport returns the environment's transport, or a new one for the real network if unset.
func (e Environment) transport(idlePerHost, idleTotal int, dialTimeout time.Duration) http.RoundTripper {
	if e.HTTP != nil {
		return e.HTTP
	}
	return newTransport(idlePerHost, idleTotal, dialTimeout)
}

// newListeners returns the environment's listeners, or those of the real network if unset.
func newListeners(env Environment) listeners {
	if env.Listen != nil {
		return listeners{users: env.Listen, cluster: env.Listen, operators: newConnQueue()}
	}
	return listeners{users: listenForUsers, cluster: listenForPeers, operators: newConnQueue()}
}

// noKeepAlive disables TCP keep-alive probes. This saves four of the roughly ten system calls that
// it takes to accept or open a connection, and thousands are opened within seconds after a
// failover. The timeouts of requests and of idle connections detect a peer that disappears
// silently; they are shorter than those of keep-alive probes.
const noKeepAlive = -1

// listenForUsers opens the listener for users and workers.
func listenForUsers(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", addr)
}

// listenForPeers opens the listener for other controllers and operators.
func listenForPeers(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// dialPeer opens a connection to another controller. The connection is read without a deadline,
// so it needs keep-alive probes to detect that the peer is gone.
func dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// newTransport returns a transport for one kind of service. To stay within the socket limit of
// this process, it keeps at most idlePerHost idle connections to each address and idleTotal in
// total (0 means no limit). An attempt to connect ends after dialTimeout. The transport continues
// an attempt after its request was abandoned, and each attempt holds a socket, so a partitioned
// zone would soon cost thousands of sockets.
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
