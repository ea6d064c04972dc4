package emulator

import (
	"net/http"
	"sync"
	"time"
)

// Network carries requests and streams between named hosts. Its methods may be called by
// several goroutines.
type Network struct {
	Lateness   time.Duration                             // of messages that are late
	LatenessOf func(from, to, path string) time.Duration // for each message; nil means Lateness

	mu          sync.Mutex
	hosts       map[string]http.Handler // by address
	names       map[string]string       // of hosts, by address
	streams     map[string]*listener    // by address
	faults      FaultRule               // nil delivers all
	addedFaults []*FaultRule            // on top of it, the first to begin first
	deliveries  sync.WaitGroup          // messages that are being executed
	loopback    *loopbackHosts          // nil unless hosts are on this machine's loopback
}

// NewNetwork makes a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]http.Handler{}, names: map[string]string{}, streams: map[string]*listener{},
		Lateness: time.Minute,
	}
}

// Attach puts a host on an address; a nil handler takes it off.
func (n *Network) Attach(host, addr string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = host
	if n.loopback != nil {
		n.loopback.attach(addr, handler)
	}
	if handler == nil {
		delete(n.hosts, addr)
		return
	}
	n.hosts[addr] = handler
}

// handlerAt returns who is at an address by now, and the host's name; the handler is nil if
// nobody is.
func (n *Network) handlerAt(addr string) (handler http.Handler, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr], n.names[addr]
}

// Transport returns the network as one host sees it.
func (n *Network) Transport(host string) http.RoundTripper {
	if n.loopback != nil {
		return n.loopback.transport
	}
	return &hostTransport{network: n, host: host}
}

// Wait waits for messages that are still being executed.
func (n *Network) Wait() { n.deliveries.Wait() }
