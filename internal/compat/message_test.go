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

// tapped is a connection that keeps what is written to it.
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

// Controllers of both versions send and read these very bytes.
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

// The names of evidence pass between controllers, and stand in metrics.
func TestLossKinds(t *testing.T) {
	var out bytes.Buffer
	for _, k := range lossKinds() {
		fmt.Fprintln(&out, k)
	}
	golden(t, "loss-kinds.txt", out.Bytes())
}

// Messages from and to workers that hold every field are read, and written as they were.
func TestWorkerMessagesReadAndWritten(t *testing.T) {
	for _, tc := range []struct {
		file   string
		recode func([]byte) ([]byte, error)
	}{{"worker-report.json", recodeReport}, {"worker-answer.json", recodeAnswer}, {"worker-order.json", recodeOrder}} {
		raw := goldenFile(t, tc.file)
		if got, err := tc.recode(raw); err != nil || !bytes.Equal(got, raw) {
			t.Errorf("%s: %v, written as\n%s\nfor\n%s", tc.file, err, got, raw)
		}
	}
}

// A report is answered with a command of each kind, or with the node to report to.
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

// roundTrip is a transport that is a function.
type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return r(req) }

// Commands are sent to a worker, which answers with its report.
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
		t.Errorf("inspected %q, %v", machine, err)
	}
	if got := strings.Join(lines, ", "); got != "POST http://10.1.0.232:9000/orders, GET http://10.1.0.232:9000/inspect" {
		t.Errorf("sent %s", got)
	}
}

// The published schema of the operators' file stays as it is.
func TestOperatorSchema(t *testing.T) { golden(t, "operator.schema.json", operatorSchema()) }
