package controller

import (
	"fmt"
	"net"
	"testing"
)

// TestAbandonedConnectionsAreNotServed guards against an overload that keeps itself going: while a leader
// serves the connections that workers have given up, the present ones are given up as well.
func TestAbandonedConnectionsAreNotServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial := func(request string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprint(conn, request); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	for range 3 {
		dial("POST /v1/report HTTP/1.1\r\n").Close() // given up, with unread data
	}
	open := dial("GET /up HTTP/1.1\r\n")
	defer open.Close()
	accepted, err := openConnListener{listener}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if got, want := accepted.RemoteAddr().String(), open.LocalAddr().String(); got != want {
		t.Errorf("accepted a connection from %s, want the open one, from %s", got, want)
	}
}
