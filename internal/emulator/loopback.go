package emulator

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

// loopbackHosts puts hosts on this machine's loopback, for controllers that are processes of
// their own. Faults have no effect on them.
type loopbackHosts struct {
	transport *http.Transport
	servers   map[string]*http.Server // by address
}

// NewLoopbackNetwork makes a network whose hosts listen on loopback addresses.
func NewLoopbackNetwork() *Network {
	network := NewNetwork()
	network.loopback = &loopbackHosts{transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}, servers: map[string]*http.Server{}}
	return network
}

// attach listens on an address, or ends what listens there.
func (s *loopbackHosts) attach(addr string, handler http.Handler) {
	if old := s.servers[addr]; old != nil {
		old.Close()
		delete(s.servers, addr)
	}
	if handler == nil {
		return
	}
	listening, err := net.Listen("tcp", addr)
	if err != nil {
		slog.Error("not listening", "addr", addr, "reason", err)
		return
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers[addr] = srv
	go func() { _ = srv.Serve(listening) }()
}
