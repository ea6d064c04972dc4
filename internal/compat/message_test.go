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

// tapped is a connection that records the data written to it.
type tapped struct {
	net.Conn
	mu      *sync.Mutex
	written *bytes.Buffer
	name    string
}

func (c *tapped) Write(p []byte) (int, error) {
	c.mu.Lock()
	fmt.Fprintf(c.written, "%s %x\n", c.name, p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Messages between controllers must be encoded to, and decoded from, the bytes of version 0.8.0.
func TestControllerMessages(t *testing.T) {
	var mu sync.Mutex
	var wire bytes.Buffer
	heard := conversation(t, func() (asker, answerer net.Conn) {
		here, there := net.Pipe()
		return &tapped{here, &mu, &wire, "asks"}, &tapped{there, &mu, &wire, "answers"}
	})
	mu.Lock()
	defer mu.Unlock()
	golden(t, "controller-messages.txt", wire.Bytes())
	golden(t, "controller-messages-heard.txt", []byte(strings.Join(heard, "\n")+"\n"))
}

// The kinds of evidence are sent between controllers and used as metric labels, so their names must
// not change.
func TestLossKinds(t *testing.T) {
	var out bytes.Buffer
	for _, k := range lossKinds() {
		fmt.Fprintln(&out, k)
	}
	golden(t, "loss-kinds.txt", out.Bytes())
}

// Messages from and to workers with all fields set must be encoded to the bytes that were decoded.
func TestWorkerMessagesReadAndWritten(t *testing.T) {
	for _, tc := range []struct {
		file   string
		recode func([]byte) ([]byte, error)
	}{{"worker-report.json", recodeReport}, {"worker-answer.json", recodeAnswer}, {"worker-order.json", recodeOrder}} {
		raw := goldenFile(t, tc.file)
		if got, err := tc.recode(raw); err != nil || !bytes.Equal(got, raw) {
			t.Errorf("%s: %v, encoded as\n%s\nwant\n%s", tc.file, err, got, raw)
		}
	}
}

// The response to a heartbeat must have the same encoding as before, both with a command of each
// kind and as a redirect to the leader.
func TestReportIsAnswered(t *testing.T) {
	report := string(goldenFile(t, "worker-report.json"))
	ask := func(leader string) []byte {
		rec := httptest.NewRecorder()
		answerReport(leader).ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/report", strings.NewReader(report)))
		if want := map[bool]int{true: http.StatusOK, false: http.StatusMisdirectedRequest}[leader == ""]; rec.Code != want {
			t.Errorf("status %d, want %d", rec.Code, want)
		}
		return rec.Body.Bytes()
	}
	golden(t, "worker-answer.json", ask(""))
	golden(t, "worker-redirect.json", ask("perch-2"))
}

// roundTrip is a function that implements http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return r(req) }

// Requests with commands and probes must have the same method, URL and encoding as before.
func TestOrderIsSent(t *testing.T) {
	report := goldenFile(t, "worker-report.json")
	var sent []byte
	var lines []string
	transport := roundTrip(func(req *http.Request) (*http.Response, error) {
		sent, _ = io.ReadAll(req.Body)
		lines = append(lines, req.Method+" "+req.URL.String())
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(report))}, nil
	})
	if err := sendOrder(t.Context(), transport); err != nil {
		t.Fatal(err)
	}
	golden(t, "worker-order.json", sent)
	if machine, err := sendInspect(t.Context(), transport); err != nil || machine != "m-000231" {
		t.Errorf("probe returned %q, %v", machine, err)
	}
	if got := strings.Join(lines, ", "); got != "POST http://10.1.0.232:9000/orders, GET http://10.1.0.232:9000/inspect" {
		t.Errorf("sent %s", got)
	}
}

// The published schema of the operators' settings file must not change.
func TestOperatorSchema(t *testing.T) { golden(t, "operator.schema.json", operatorSchema()) }
