package controller

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/netutil"
)

// TestIdleConnectionsClosedAtLimit checks that idle connections do not block new ones. A connection
// whose peer vanished without closing it stays open until the idle timeout; at the limit it is
// closed to accept a new connection, and connections in use are kept.
func TestIdleConnectionsClosedAtLimit(t *testing.T) {
	const most = 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy, release := make(chan bool), make(chan bool)
	mux := http.NewServeMux()
	mux.HandleFunc("/quick", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/long", func(http.ResponseWriter, *http.Request) { busy <- true; <-release })
	limiter := newConnLimiter(most)
	server := &http.Server{Handler: mux, ConnState: limiter.connStateChanged}
	go func() { _ = server.Serve(netutil.LimitListener(yieldingListener{listener}, most)) }()
	defer server.Close()
	get := func(path string) error {
		// Each client opens a connection of its own and keeps it open.
		client := &http.Client{Transport: &http.Transport{}}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String()+path, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return err
	}
	done := make(chan error)
	go func() { done <- get("/long") }()
	<-busy
	for i := range 3 * most {
		if err := get("/quick"); err != nil {
			t.Fatalf("connection %d with a limit of %d: %v", i+2, most, err)
		}
	}
	release <- true
	if err := <-done; err != nil {
		t.Errorf("a connection in use was closed: %v", err)
	}
}
