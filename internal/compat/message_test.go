package compat

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// recordingConn is a connection that records the data written to it.
type recordingConn struct {
	net.Conn
	mu      *sync.Mutex
	written *bytes.Buffer
	name    string
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	fmt.Fprintf(c.written, "%s %x\n", c.name, p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Messages between controllers must be encoded to, and decoded from, the bytes of version 0.8.0.
func TestControllerMessages(t *testing.T) {
	var mu sync.Mutex
	var wire bytes.Buffer
	received := exchangePeerMessages(t, func() (requester, responder net.Conn) {
		requesterConn, responderConn := net.Pipe()
		return &recordingConn{requesterConn, &mu, &wire, "asks"}, &recordingConn{responderConn, &mu, &wire, "answers"}
	})
	mu.Lock()
	defer mu.Unlock()
	compareGolden(t, "controller-messages.txt", wire.Bytes())
	compareGolden(t, "controller-messages-heard.txt", []byte(strings.Join(received, "\n")+"\n"))
}

// The kinds of evidence are sent between controllers and used as metric labels, so their names must
// not change.
func TestEvidenceKinds(t *testing.T) {
	var out bytes.Buffer
	for _, k := range evidenceKinds() {
		fmt.Fprintln(&out, k)
	}
	compareGolden(t, "loss-kinds.txt", out.Bytes())
}

// Messages from and to workers with all fields set must be encoded to the bytes that were decoded.
func TestWorkerMessagesRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		file   string
		recode func([]byte) ([]byte, error)
	}{{"worker-report.json", recodeHeartbeat}, {"worker-answer.json", recodeHeartbeatResponse}, {"worker-order.json", recodeCommandRequest}} {
		raw := readGolden(t, tc.file)
		if got, err := tc.recode(raw); err != nil || !bytes.Equal(got, raw) {
			t.Errorf("%s: %v, encoded as\n%s\nwant\n%s", tc.file, err, got, raw)
		}
	}
}

// The response to a heartbeat must have the same encoding as before, both with a command of each
// kind and as a redirect to the leader.
func TestHeartbeatResponse(t *testing.T) {
	report := string(readGolden(t, "worker-report.json"))
	sendHeartbeat := func(leader string) []byte {
		rec := httptest.NewRecorder()
		heartbeatHandler(leader).ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/report", strings.NewReader(report)))
		if want := map[bool]int{true: http.StatusOK, false: http.StatusMisdirectedRequest}[leader == ""]; rec.Code != want {
			t.Errorf("status %d, want %d", rec.Code, want)
		}
		return rec.Body.Bytes()
	}
	compareGolden(t, "worker-answer.json", sendHeartbeat(""))
	compareGolden(t, "worker-redirect.json", sendHeartbeat("perch-2"))
}

// roundTripFunc is a function that implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (r roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return r(req) }

// Requests with commands and probes must have the same method, URL and encoding as before.
func TestCommandsAndProbe(t *testing.T) {
	report := readGolden(t, "worker-report.json")
	var sent []byte
	var lines []string
	transport := roundTripFunc(func(req *http.Request) (*http.Response, error) {
		sent, _ = io.ReadAll(req.Body)
		lines = append(lines, req.Method+" "+req.URL.String())
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(report))}, nil
	})
	if err := sendCommands(t.Context(), transport); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "worker-order.json", sent)
	if machine, err := sendProbe(t.Context(), transport); err != nil || machine != "m-000231" {
		t.Errorf("probe returned %q, %v", machine, err)
	}
	if got := strings.Join(lines, ", "); got != "POST http://10.1.0.232:9000/orders, GET http://10.1.0.232:9000/inspect" {
		t.Errorf("sent %s", got)
	}
}

// The published schema of the operators' settings file must not change.
func TestOperatorSchema(t *testing.T) { compareGolden(t, "operator.schema.json", operatorSchema()) }
