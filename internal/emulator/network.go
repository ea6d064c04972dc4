package emulator

import (
	"net/http"
	"sync"
	"time"
)

// Network carries requests and streams between named hosts and applies fault rules to them. Its
// methods are safe for concurrent use.
type Network struct {
	Delay   time.Duration                             // delay of late, slow and repeated messages
	DelayOf func(from, to, path string) time.Duration // delay of each such message; nil means the same for all

	mu          sync.Mutex
	hosts       map[string]http.Handler  // request handlers by address
	names       map[string]string        // host names by address
	streams     map[string]*listener     // stream listeners by address
	baseRule    FaultRule                // base rule; nil delivers all messages
	addedRules  []*FaultRule             // consulted after the base rule, in the order in which they were added
	rewriteBody func(body []byte) []byte // see SetRewriteBody
	deliveries  sync.WaitGroup           // requests that are being executed
	loopback    *loopbackHosts           // nil unless hosts listen on loopback addresses
}

// NewNetwork returns an emulated network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]http.Handler{}, names: map[string]string{}, streams: map[string]*listener{},
		Delay: time.Minute,
	}
}

// Attach connects a host to an address. A nil handler disconnects it.
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

// SetRewriteBody sets a function that replaces the bodies that controllers get: of requests to them, and of the
// responses to their own. With nil they stay as they are.
func (n *Network) SetRewriteBody(rewrite func(body []byte) []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rewriteBody = rewrite
}

// handlerAt returns the handler and the name of the host that is currently at an address. The
// handler is nil if there is none.
func (n *Network) handlerAt(addr string) (handler http.Handler, hostName string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr], n.names[addr]
}

// Transport returns an http.RoundTripper that sends requests from a host.
func (n *Network) Transport(host string) http.RoundTripper {
	if n.loopback != nil {
		return n.loopback.transport
	}
	return &hostTransport{network: n, host: host}
}

// Wait waits for requests that are still being executed, also those without a waiting sender.
func (n *Network) Wait() { n.deliveries.Wait() }
