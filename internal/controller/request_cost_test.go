package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// What the real paths cost, through HTTP on loopback: one node that leads, the state
// service's stand-in, a cloud that gives out machines at once, and workers that hold one
// connection each and do at once what they are told. The other side's part is in the
// figures; it is kept small.

type loopbackCluster struct {
	tb      testing.TB
	addr    string
	fleet   []*fakeWorker
	counter int
}

type fakeWorker struct {
	conn       net.Conn
	reader     *bufio.Reader
	lastReport workers.Report
	buf        []byte
}

// newLoopbackCluster starts a node and a fleet of so many machines, each with four tasks.
func newLoopbackCluster(tb testing.TB, machines int) *loopbackCluster {
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})))
	l := &loopbackCluster{tb: tb}
	store := emulator.NewState()
	store.Limit(emulator.Limits{ValueBytes: 32 << 10, TxnOps: 12, Writes: 1 << 30})
	serve := func(h http.Handler) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		srv := &http.Server{Handler: h}
		go func() { _ = srv.Serve(ln) }()
		tb.Cleanup(func() { srv.Close() })
		return ln.Addr().String()
	}
	set := &settings.Settings{
		Operator: settings.DefaultOperator(), Node: "perch-0", Zone: "a", Listen: "127.0.0.1:0", ClusterListen: "127.0.0.1:0",
		Endpoints: settings.Endpoints{Cloud: serve(http.HandlerFunc(l.cloud)), State: serve(store)},
		Deployment: settings.Deployment{
			Nodes: 1, Zones: []string{"a", "b", "c"}, Teams: []settings.Team{{Name: "blue"}},
			Workers: settings.Workers{ReportS: 300, LeaseS: 2000, CancelS: 4000},
			State:   settings.State{RPS: 100000, WriteRPS: 100000, ValueKB: 32, TxnOps: 12},
			Cloud:   settings.Cloud{RPS: 1000, ListLagS: 4}, Limits: settings.Limits{Cores: 1, MemoryMB: 2000, MaxSockets: 8000},
		},
	}
	listening := make(chan string, 2)
	n := New(set, Environment{Listen: func(addr string) (net.Listener, error) {
		ln, err := listenForUsers(addr)
		if err == nil {
			listening <- ln.Addr().String()
		}
		return ln, err
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		for _, w := range l.fleet {
			w.conn.Close()
		}
		<-done
		slog.SetDefault(old)
	})
	l.addr = <-listening
	for deadline := time.Now().Add(20 * time.Second); n.machineTypes.types() == nil || n.gate.Seen() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatal("the node does not lead")
		}
	}
	for i := range machines {
		w := l.dial()
		w.lastReport = workers.Report{Machine: fmt.Sprintf("m-%06d", i), Addr: "127.0.0.1:9", Type: "c4", Zone: string(rune('a' + i%3)), Session: 1, Tasks: []workers.Task{}}
		l.fleet = append(l.fleet, w)
		w.sendReport(tb)
	}
	job := batchJob("j-000001", 4*machines, 10000)
	if status := l.dial().requestJob(tb, "POST", "/v1/jobs", job); status != http.StatusCreated {
		tb.Fatalf("submit: %d", status)
	}
	for deadline := time.Now().Add(20 * time.Second); ; {
		idle := 0
		for _, w := range l.fleet {
			if w.sendReport(tb); len(w.lastReport.Tasks) < 4 {
				idle++
			}
		}
		if idle == 0 {
			return l
		}
		if time.Now().After(deadline) {
			tb.Fatalf("%d of %d machines are not full", idle, machines)
		}
	}
}

// cloud has all that is asked for, but gives nothing: the fleet is there already.
func (l *loopbackCluster) cloud(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		_ = json.NewEncoder(w).Encode(map[string]any{"perches": testMachineTypes})
	case r.Method == http.MethodPost:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(map[string]any{"hosts": []any{}})
	}
}

func (l *loopbackCluster) dial() *fakeWorker {
	conn, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.tb.Fatal(err)
	}
	return &fakeWorker{conn: conn, reader: bufio.NewReaderSize(conn, 8<<10)}
}

// send sends a request and returns the answer's status and body.
func (w *fakeWorker) send(tb testing.TB, method, path string, body []byte) (int, []byte) {
	w.buf = fmt.Appendf(w.buf[:0], "%s %s HTTP/1.1\r\nHost: n\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	w.buf = append(w.buf, body...)
	if _, err := w.conn.Write(w.buf); err != nil {
		tb.Fatal(err)
	}
	status, length := 0, 0
	for {
		line, err := w.reader.ReadString('\n')
		if err != nil {
			tb.Fatal(err)
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if rest, ok := strings.CutPrefix(line, "HTTP/1.1 "); ok {
			status, _ = strconv.Atoi(rest[:3])
		}
		if rest, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(rest)
		}
	}
	out := make([]byte, length)
	if _, err := io.ReadFull(w.reader, out); err != nil {
		tb.Fatal(err)
	}
	return status, out
}

func (w *fakeWorker) requestJob(tb testing.TB, method, path string, s *jobs.Spec) int {
	var raw []byte
	if s != nil {
		raw, _ = json.Marshal(wireSpec(s))
	}
	status, _ := w.send(tb, method, path, raw)
	return status
}

// sendReport sends a report and does what the answer says.
func (w *fakeWorker) sendReport(tb testing.TB) {
	w.lastReport.Seq++
	raw, _ := json.Marshal(w.lastReport)
	status, body := w.send(tb, "POST", "/v1/report", raw)
	if status != http.StatusOK {
		tb.Fatalf("report: %d", status)
	}
	var a workers.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		tb.Fatal(err)
	}
	w.lastReport.Token = a.Token
	for _, c := range a.Calls {
		if c.Op == workers.OpRun {
			w.lastReport.Tasks = append(w.lastReport.Tasks, workers.Task{Task: c.Task, Attempt: c.Attempt, State: workers.Running})
		}
	}
}

func BenchmarkReport(b *testing.B) {
	l := newLoopbackCluster(b, 400)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.fleet[i%len(l.fleet)].sendReport(b)
		i++
	}
}

func BenchmarkPoll(b *testing.B) {
	l := newLoopbackCluster(b, 10)
	// Many at a time, as users come: what one read of the state service costs is shared.
	const users = 64
	var all []*fakeWorker
	for range users {
		all = append(all, l.dial())
	}
	b.ReportAllocs()
	for b.Loop() {
		var wait sync.WaitGroup
		for _, w := range all {
			wait.Go(func() {
				if status := w.requestJob(b, "GET", "/v1/jobs/j-000001", nil); status != http.StatusOK {
					b.Errorf("poll: %d", status)
				}
			})
		}
		wait.Wait()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*users), "ns/poll")
}

func BenchmarkSubmit(b *testing.B) {
	l := newLoopbackCluster(b, 10)
	w := l.dial()
	b.ReportAllocs()
	for b.Loop() {
		l.counter++
		if status := w.requestJob(b, "POST", "/v1/jobs", batchJob(fmt.Sprintf("j-%06d", 100+l.counter), 1, 10)); status != http.StatusCreated {
			b.Fatalf("submit: %d", status)
		}
	}
}

// A worker that has found its leader: a new connection and a report.
func BenchmarkReconnect(b *testing.B) {
	l := newLoopbackCluster(b, 400)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		w := l.fleet[i%len(l.fleet)]
		i++
		w.conn.Close()
		c := l.dial()
		w.conn, w.reader = c.conn, c.reader
		w.sendReport(b)
	}
}

// A node that does not lead sends a worker on.
func BenchmarkRedirect(b *testing.B) {
	l := newLoopbackCluster(b, 10)
	w := l.dial()
	old := workers.Report{Machine: "m-900000", Addr: "127.0.0.1:9", Type: "c4", Zone: "a", Session: 1, Token: 1 << 40, Tasks: []workers.Task{}}
	raw, _ := json.Marshal(old)
	b.ReportAllocs()
	for b.Loop() {
		if status, _ := w.send(b, "POST", "/v1/report", raw); status == http.StatusOK {
			b.Fatal("answered")
		}
	}
}

// What idle connections of workers hold, in the node and on this side.
func BenchmarkIdleConnections(b *testing.B) {
	l := newLoopbackCluster(b, 2)
	measure := func() (m runtime.MemStats) {
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m
	}
	before := measure()
	const conns = 2000
	w := l.fleet[0]
	for b.Loop() {
		for range conns {
			c := l.dial()
			w.conn, w.reader = c.conn, c.reader
			w.sendReport(b)
			l.fleet = append(l.fleet, &fakeWorker{conn: c.conn})
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m) // as it is, before anything is collected
		after := measure()
		b.ReportMetric(float64(m.StackInuse-before.StackInuse)/conns, "stack-B/conn")
		b.ReportMetric(float64(m.Sys-before.Sys)/conns, "sys-B/conn")
		b.ReportMetric(float64(after.StackInuse-before.StackInuse)/conns, "collected-stack-B/conn")
		b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/conns, "collected-heap-B/conn")
		if b.N >= 1 {
			break
		}
	}
}
