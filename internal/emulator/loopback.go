package emulator

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

// loopbackHosts serves hosts on loopback addresses, for controllers that run as separate
// processes. Fault rules do not apply to them.
type loopbackHosts struct {
	transport *http.Transport
	servers   map[string]*http.Server // by address
}

// NewLoopbackNetwork returns a network whose hosts listen on loopback addresses.
func NewLoopbackNetwork() *Network {
	network := NewNetwork()
	network.loopback = &loopbackHosts{transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}, servers: map[string]*http.Server{}}
	return network
}

// attach serves a host on an address in place of the previous one. A nil handler only closes the
// server at the address.
func (h *loopbackHosts) attach(addr string, handler http.Handler) {
	if old := h.servers[addr]; old != nil {
		old.Close()
		delete(h.servers, addr)
	}
	if handler == nil {
		return
	}
	tcpListener, err := net.Listen("tcp", addr)
	if err != nil {
		slog.Error("listening for emulated host failed", "addr", addr, "reason", err)
		return
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	h.servers[addr] = server
	go func() { _ = server.Serve(tcpListener) }()
}
