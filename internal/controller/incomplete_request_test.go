package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// sentPart is a part of a request, sent after a pause.
type sentPart struct {
	pause time.Duration
	text  string
}

// sendInParts sends a request on a new connection to a controller's listener for users, part by part, and
// returns the status and body of the response. The status is 0 if the connection ends without one.
func sendInParts(c *cluster, addr string, parts []sentPart, hangUp bool) (status int, body string) {
	conn, err := c.world.Network.Dial(c.ctx, "user", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close()
	received := make(chan struct{})
	go func() {
		defer close(received)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		defer response.Body.Close()
		raw, _ := io.ReadAll(response.Body)
		status, body = response.StatusCode, string(raw)
	}()
	for _, part := range parts {
		time.Sleep(part.pause)
		if _, err := io.WriteString(conn, part.text); err != nil {
			break
		}
	}
	if hangUp {
		conn.Close()
	}
	<-received
	return status, body
}

// serveUsersOn has a controller serve its users on a stream listener, as Run does on a socket.
func serveUsersOn(c *cluster, name, addr string) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var group errgroup.Group
	c.incarnations[name].controller.serveUsers(ctx, &group, c.world.Network.Listen(name, addr))
	return func() {
		cancel()
		if err := group.Wait(); err != nil {
			c.t.Error(err)
		}
	}
}

// TestIncompleteSubmissions guards against a submission that is answered 200 though its body has not arrived and
// nothing is stored, and against a deadline for a request that begins with its connection.
func TestIncompleteSubmissions(t *testing.T) {
	const addr = "10.0.0.0:9090"
	submission, err := json.Marshal(wireSpec(batchJob("j-1", 1, 5)))
	if err != nil {
		t.Fatal(err)
	}
	raw := string(submission)
	head := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: perch-0\r\nContent-Length: %d\r\n\r\n", len(raw))
	chunkedHead := "POST /v1/jobs HTTP/1.1\r\nHost: perch-0\r\nTransfer-Encoding: chunked\r\n\r\n"
	half, rest := raw[:len(raw)/2], raw[len(raw)/2:]
	neverEnding := []sentPart{{0, chunkedHead}}
	for range 100 {
		neverEnding = append(neverEnding, sentPart{time.Second, "1\r\n \r\n"})
	}
	for _, tc := range []struct {
		name       string
		parts      []sentPart
		hangUp     bool
		wantStatus int
	}{
		{"whole", []sentPart{{0, head + raw}}, false, http.StatusCreated},
		{"in pieces", []sentPart{{0, head[:9]}, {time.Second, head[9:]}, {time.Second, half}, {time.Second, rest}}, false, http.StatusCreated},
		{"late, on a connection that was idle", []sentPart{{3 * time.Second, head + half}, {3500 * time.Millisecond, rest}}, false, http.StatusCreated},
		{"head late, on a connection that was idle", []sentPart{{3 * time.Second, head[:9]}, {time.Second, head[9:] + raw}}, false, http.StatusCreated},
		{"without an end", []sentPart{{0, head + half}}, false, http.StatusRequestTimeout},
		{"without an end, on a connection that was idle", []sentPart{{3 * time.Second, head + half}}, false, http.StatusRequestTimeout},
		{"ever more", neverEnding, false, http.StatusRequestTimeout},
		{"broken chunk", []sentPart{{0, chunkedHead + "zz\r\n"}}, false, http.StatusRequestTimeout},
		{"cut short", []sentPart{{0, head + half}}, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				defer serveUsersOn(c, "perch-0", addr)()
				status, body := sendInParts(c, addr, tc.parts, tc.hangUp)
				c.world.RecordSubmission("j-1")
				if status != tc.wantStatus {
					c.t.Errorf("status %d %s, want %d", status, body, tc.wantStatus)
				}
				c.advance(time.Second)
				stored := c.world.Store.Value("job/j-1") != nil
				if success := status == http.StatusOK || status == http.StatusCreated; success != stored || success != strings.Contains(body, `"j-1"`) {
					c.t.Errorf("status %d %s, job stored: %v", status, body, stored)
				}
			})
		})
	}
}

// TestIncompleteHeartbeats checks that a heartbeat that does not arrive whole is not taken for a malformed one, and
// that the connection does not stay open for it.
func TestIncompleteHeartbeats(t *testing.T) {
	const addr = "10.0.0.0:9090"
	runCluster(t, nil, func(c *cluster) {
		defer serveUsersOn(c, "perch-0", addr)()
		begun := time.Now()
		status, body := sendInParts(c, addr, []sentPart{{0, "POST /v1/report HTTP/1.1\r\nHost: perch-0\r\nContent-Length: 100\r\n\r\n{\"host\":\"m-1\""}}, false)
		if status != http.StatusRequestTimeout || body != "" {
			t.Errorf("status %d %s", status, body)
		}
		if waited := time.Since(begun); waited > c.incarnations["perch-0"].controller.bodyTimeout()+time.Second {
			t.Errorf("answered after %s", waited)
		}
	})
}

// TestSilentConnectionsEnd checks that a connection on which no request begins is closed.
func TestSilentConnectionsEnd(t *testing.T) {
	const addr = "10.0.0.0:9090"
	runCluster(t, nil, func(c *cluster) {
		defer serveUsersOn(c, "perch-0", addr)()
		conn, err := c.world.Network.Dial(c.ctx, "user", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		begun := time.Now()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a response without a request")
		}
		if waited := time.Since(begun); waited > c.incarnations["perch-0"].controller.headTimeout()+time.Second {
			t.Errorf("closed after %s", waited)
		}
	})
}

// TestIncompleteOperatorRequests checks that operators' requests that do not arrive whole get no success, and end.
func TestIncompleteOperatorRequests(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		for _, path := range []string{"/recovery/settle", "/recovery/import"} {
			head := "POST " + path + " HTTP/1.1\r\nHost: perch-0\r\nContent-Length: 100\r\n\r\n"
			if status, body := sendInParts(c, clusterAddr("perch-0"), []sentPart{{0, head + `{"job":"j-1"`}}, false); status != http.StatusRequestTimeout {
				t.Errorf("%s: status %d %s", path, status, body)
			}
		}
	})
}
