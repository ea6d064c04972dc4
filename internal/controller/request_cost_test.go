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

// These benchmarks measure the cost of requests through HTTP on loopback: one controller that
// leads, an emulated key-value store, a cloud whose machines are up already, and workers that hold
// one connection each and execute commands at once. The results include the cost of the clients,
// which is kept small.

// loopbackCluster is one controller that leads, and a fleet of workers, connected through loopback.
type loopbackCluster struct {
	tb        testing.TB
	addr      string // where the controller serves users and workers
	fleet     []*fakeWorker
	submitted int
}

// fakeWorker is a client's connection and, for a worker, the heartbeat that it sent last.
type fakeWorker struct {
	conn          net.Conn
	reader        *bufio.Reader
	lastHeartbeat workers.Heartbeat
	buf           []byte
}

// newLoopbackCluster starts a controller and a fleet of so many machines, and returns when each
// machine has four tasks.
func newLoopbackCluster(tb testing.TB, machines int) *loopbackCluster {
	tb.Helper()
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})))
	cluster := &loopbackCluster{tb: tb}
	cluster.startController(func() { slog.SetDefault(old) })
	for number := range machines {
		cluster.addWorker(number)
	}
	job := batchJob("j-000001", 4*machines, 10000)
	if status := cluster.dial().requestJob(tb, "POST", "/v1/jobs", job); status != http.StatusCreated {
		tb.Fatalf("submit: status %d", status)
	}
	cluster.heartbeatUntilFull()
	return cluster
}

// serve serves HTTP on loopback until the benchmark ends, and returns the address.
func (l *loopbackCluster) serve(handler http.Handler) string {
	l.tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.tb.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	l.tb.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func (l *loopbackCluster) settings() *settings.Settings {
	store := emulator.NewKVStore()
	store.SetLimits(emulator.StoreLimits{ValueBytes: 32 << 10, TxnOps: 12, WritesPerSecond: 1 << 30})
	return &settings.Settings{
		Operator: settings.DefaultOperator(), ControllerName: "perch-0", Zone: "a", Bind: "127.0.0.1:0", ClusterListen: "127.0.0.1:0",
		Endpoints: settings.Endpoints{Cloud: l.serve(http.HandlerFunc(l.cloud)), Store: l.serve(store)},
		Deployment: settings.Deployment{
			ControllerCount: 1, Zones: []string{"a", "b", "c"}, Teams: []settings.Team{{Name: "blue"}},
			Workers: settings.Workers{HeartbeatS: 300, LeaseS: 2000, CancelS: 4000},
			Store:   settings.StoreLimits{RPS: 100000, WriteRPS: 100000, ValueKB: 32, TxnOps: 12},
			Cloud:   settings.Cloud{RPS: 1000, ListLagS: 4}, Limits: settings.HostLimits{Cores: 1, MemoryMB: 2000, MaxSockets: 8000},
		},
	}
}

// startController starts the controller and waits until it leads and takes jobs. When the benchmark ends, the
// controller is stopped and afterEnd is called.
func (l *loopbackCluster) startController(afterEnd func()) {
	l.tb.Helper()
	listening := make(chan string, 2)
	controller := New(l.settings(), Environment{Listen: func(addr string) (net.Listener, error) {
		listener, err := listenForUsers(addr)
		if err == nil {
			listening <- listener.Addr().String()
		}
		return listener, err
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = controller.Run(ctx) }()
	l.tb.Cleanup(func() {
		cancel()
		for _, worker := range l.fleet {
			worker.conn.Close()
		}
		<-done
		afterEnd()
	})
	l.addr = <-listening
	leads := func() bool {
		return controller.machineTypes.types() != nil && controller.leaderHandle.SeenRevision() != 0 && controller.readiness.ready()
	}
	for deadline := time.Now().Add(20 * time.Second); !leads(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.tb.Fatal("the controller does not lead")
		}
	}
}

// addWorker connects a worker, which sends its first heartbeat.
func (l *loopbackCluster) addWorker(number int) {
	l.tb.Helper()
	worker := l.dial()
	worker.lastHeartbeat = workers.Heartbeat{
		Machine: fmt.Sprintf("m-%06d", number), Addr: "127.0.0.1:9", Type: "c4", Zone: string(rune('a' + number%3)), AgentEpoch: 1, Tasks: []workers.TaskStatus{},
	}
	l.fleet = append(l.fleet, worker)
	worker.sendHeartbeat(l.tb)
}

// heartbeatUntilFull has all workers send heartbeats until each has four tasks.
func (l *loopbackCluster) heartbeatUntilFull() {
	l.tb.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; {
		notFull := 0
		for _, worker := range l.fleet {
			if worker.sendHeartbeat(l.tb); len(worker.lastHeartbeat.Tasks) < 4 {
				notFull++
			}
		}
		if notFull == 0 {
			return
		}
		if time.Now().After(deadline) {
			l.tb.Fatalf("%d of %d machines are not full", notFull, len(l.fleet))
		}
	}
}

// cloud serves the cloud's API. It lists and provisions no machines: the fleet is up already.
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

// dial opens a connection for a worker or a user.
func (l *loopbackCluster) dial() *fakeWorker {
	l.tb.Helper()
	conn, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.tb.Fatal(err)
	}
	return &fakeWorker{conn: conn, reader: bufio.NewReaderSize(conn, 8<<10)}
}

// send sends a request and returns the status and body of the response.
func (w *fakeWorker) send(tb testing.TB, method, path string, body []byte) (int, []byte) {
	tb.Helper()
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

// requestJob sends a user's request and returns the status. If spec is not nil, it is the body.
func (w *fakeWorker) requestJob(tb testing.TB, method, path string, spec *jobs.Spec) int {
	tb.Helper()
	var raw []byte
	if spec != nil {
		raw, _ = json.Marshal(wireSpec(spec))
	}
	status, _ := w.send(tb, method, path, raw)
	return status
}

// sendHeartbeat sends a heartbeat and executes the commands in the response.
func (w *fakeWorker) sendHeartbeat(tb testing.TB) {
	tb.Helper()
	w.lastHeartbeat.Seq++
	raw, _ := json.Marshal(w.lastHeartbeat)
	status, body := w.send(tb, "POST", "/v1/report", raw)
	if status != http.StatusOK {
		tb.Fatalf("heartbeat: status %d", status)
	}
	var response workers.HeartbeatResponse
	if err := json.Unmarshal(body, &response); err != nil {
		tb.Fatal(err)
	}
	w.lastHeartbeat.FencingToken = response.FencingToken
	for _, command := range response.Commands {
		if command.Op == workers.OpRun {
			w.lastHeartbeat.Tasks = append(w.lastHeartbeat.Tasks, workers.TaskStatus{Name: command.Task, Attempt: command.Attempt, State: workers.StateRunning})
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	loop := newLoopbackCluster(b, 400)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		loop.fleet[i%len(loop.fleet)].sendHeartbeat(b)
		i++
	}
}

func BenchmarkPoll(b *testing.B) {
	loop := newLoopbackCluster(b, 10)
	// Users poll concurrently, so that many polls share one read of the store.
	const users = 64
	var all []*fakeWorker
	for range users {
		all = append(all, loop.dial())
	}
	b.ReportAllocs()
	for b.Loop() {
		var wait sync.WaitGroup
		for _, worker := range all {
			wait.Go(func() {
				if status := worker.requestJob(b, "GET", "/v1/jobs/j-000001", nil); status != http.StatusOK {
					b.Errorf("poll: status %d", status)
				}
			})
		}
		wait.Wait()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*users), "ns/poll")
}

func BenchmarkSubmit(b *testing.B) {
	loop := newLoopbackCluster(b, 10)
	worker := loop.dial()
	b.ReportAllocs()
	for b.Loop() {
		loop.submitted++
		if status := worker.requestJob(b, "POST", "/v1/jobs", batchJob(fmt.Sprintf("j-%06d", 100+loop.submitted), 1, 10)); status != http.StatusCreated {
			b.Fatalf("submit: status %d", status)
		}
	}
}

// BenchmarkReconnect measures a new connection and a heartbeat of a worker that has found the
// leader.
func BenchmarkReconnect(b *testing.B) {
	loop := newLoopbackCluster(b, 400)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		worker := loop.fleet[i%len(loop.fleet)]
		i++
		worker.conn.Close()
		newClient := loop.dial()
		worker.conn, worker.reader = newClient.conn, newClient.reader
		worker.sendHeartbeat(b)
	}
}

// BenchmarkRedirect measures the response to a heartbeat that is not accepted because the worker
// has seen a higher fencing token than the controller's.
func BenchmarkRedirect(b *testing.B) {
	loop := newLoopbackCluster(b, 10)
	worker := loop.dial()
	old := workers.Heartbeat{Machine: "m-900000", Addr: "127.0.0.1:9", Type: "c4", Zone: "a", AgentEpoch: 1, FencingToken: 1 << 40, Tasks: []workers.TaskStatus{}}
	raw, _ := json.Marshal(old)
	b.ReportAllocs()
	for b.Loop() {
		if status, _ := worker.send(b, "POST", "/v1/report", raw); status == http.StatusOK {
			b.Fatal("the heartbeat was accepted")
		}
	}
}

// BenchmarkIdleConnections measures the memory of idle worker connections, of the controller and
// the clients together.
func BenchmarkIdleConnections(b *testing.B) {
	loop := newLoopbackCluster(b, 2)
	measure := func() (stats runtime.MemStats) {
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats
	}
	before := measure()
	const conns = 2000
	worker := loop.fleet[0]
	for b.Loop() {
		for range conns {
			fresh := loop.dial()
			worker.conn, worker.reader = fresh.conn, fresh.reader
			worker.sendHeartbeat(b)
			loop.fleet = append(loop.fleet, &fakeWorker{conn: fresh.conn})
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats) // before garbage is collected
		after := measure()
		b.ReportMetric(float64(stats.StackInuse-before.StackInuse)/conns, "stack-B/conn")
		b.ReportMetric(float64(stats.Sys-before.Sys)/conns, "sys-B/conn")
		b.ReportMetric(float64(after.StackInuse-before.StackInuse)/conns, "collected-stack-B/conn")
		b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/conns, "collected-heap-B/conn")
		if b.N >= 1 {
			break
		}
	}
}
