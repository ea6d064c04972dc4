package compat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	jsonv2 "github.com/go-json-experiment/json"

	"ospreyslip/internal/controller"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/recovery/detection"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/snapshot"
	"ospreyslip/internal/workers"
)

// This file is the only one of the package that uses identifiers of other packages of the module.

// environment is the emulated environment of the controllers.
type environment struct{ world *emulator.World }

const (
	stateAddr = "10.2.0.1:1"
	cloudAddr = "10.2.0.2:1"
)

// newEnvironment starts a state service and a cloud with a catalog of machine types.
func newEnvironment(ctx context.Context, catalog []byte, controllerNames []string) (*environment, error) {
	var types []jobs.MachineType
	if err := jsonv2.Unmarshal(catalog, &types); err != nil {
		return nil, err
	}
	workerConfig := emulator.WorkerConfig{
		HeartbeatInterval: 2 * time.Second, Lease: 20 * time.Second, FetchTime: time.Second,
		GangWait: 12 * time.Second, GangStopWindow: 4 * time.Second, Controllers: controllerNames, ControllerAddrs: map[string]string{},
	}
	for _, n := range controllerNames {
		workerConfig.ControllerAddrs[n] = userAddr(n)
	}
	w := emulator.NewWorld(ctx, types, workerConfig)
	w.CancelDeadline = 40 * time.Second
	w.Teams = settingsOf(controllerNames[0], controllerNames, 0).Deployment.Teams
	w.Network.Attach("state", stateAddr, w.Store)
	w.Network.Attach("cloud", cloudAddr, w)
	return &environment{w}, nil
}

func (e *environment) put(key string, value []byte) { e.world.Store.Put(key, value) }
func (e *environment) value(key string) []byte      { return e.world.Store.Value(key) }
func (e *environment) keys() []string               { return e.world.Store.Keys("") }
func (e *environment) machineOf(task string) string { return e.world.MachinesOf(task)[0] }
func (e *environment) tasksOn(task string) int      { return len(e.world.MachinesOf(task)) }
func (e *environment) killMachine(machine string)   { e.world.KillMachine(machine) }

// loseKeys makes the store lose keys. If silently, its watch does not report their removal.
func (e *environment) loseKeys(silently bool, match func(key string) bool) {
	e.world.Store.LoseKeys(silently, match)
}

// upload makes the description of a job available to workers.
func (e *environment) upload(t *testing.T, submission []byte) {
	t.Helper()
	spec, err := jobs.ParseSpec(submission)
	if err != nil {
		t.Fatal(err)
	}
	e.world.UploadSpec(spec)
}

// userTransport returns the transport for requests of users. dialOperator opens a stream connection
// for those of operators.
func (e *environment) userTransport() http.RoundTripper { return e.world.Network.Transport("user") }

func (e *environment) dialOperator(ctx context.Context, _, addr string) (net.Conn, error) {
	return e.world.Network.Dial(ctx, "operator", addr)
}

// waitStopped waits until the emulated environment has stopped.
func (e *environment) waitStopped() {
	e.world.Wait()
	e.world.Network.Wait()
}

// runController runs a controller until the context ends. sent wraps the transport of its requests,
// served the handler of requests to it. The returned channel is closed when the controller has
// stopped.
func (e *environment) runController(ctx context.Context, name string, all []string, valueKB float64, sent func(http.RoundTripper) http.RoundTripper, served func(http.Handler) http.Handler) (done chan struct{}) {
	n := controller.New(settingsOf(name, all, valueKB), controller.Environment{
		HTTP:   sent(e.world.Network.Transport(name)),
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return e.world.Network.Dial(ctx, name, addr) },
		Memory: func() uint64 { return 0 },
	})
	e.world.Network.Attach(name, userAddr(name), served(n.Handler()))
	done = make(chan struct{})
	go func() {
		defer close(done)
		n.RunBackground(ctx, e.world.Network.Listen(name, clusterAddr(name)))
		e.world.Network.Attach(name, userAddr(name), nil)
	}()
	return done
}

const defaultValueKB = 32

func settingsOf(name string, all []string, valueKB float64) *settings.Settings {
	gangWait, gangPeer := 12.0, 4.0
	if valueKB == 0 {
		valueKB = defaultValueKB
	}
	s := &settings.Settings{
		Operator:       settings.DefaultOperator(),
		ControllerName: name, Zone: "a", Bind: userAddr(name), ClusterListen: clusterAddr(name),
		Endpoints: settings.Endpoints{Cloud: cloudAddr, Store: stateAddr},
		Deployment: settings.Deployment{
			ControllerCount: len(all), Zones: []string{"a", "b", "c"},
			Teams:   []settings.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 16}, {Name: "blue", GuaranteedCPUs: 8, MaxCPUs: 40}},
			Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40, GangWaitS: &gangWait, GangPeerS: &gangPeer},
			Store:   settings.StoreLimits{RPS: 150, WriteRPS: 50, ValueKB: valueKB, TxnOps: 12},
			Cloud:   settings.Cloud{RPS: 6, ListLagS: 4},
			Limits:  settings.HostLimits{Cores: 0.1, MemoryMB: 100, MaxSockets: 1000},
		},
	}
	for _, n := range all {
		if n != name {
			s.Peers = append(s.Peers, settings.Peer{ControllerName: n, Zone: "a", Addr: clusterAddr(n)})
		}
	}
	return s
}

// clusterID returns the ID of the deployment in snapshots and imports.
func clusterID(all []string) string { return settingsOf(all[0], all, 0).ClusterID() }

// operatorSchema returns the published JSON schema of the operators' settings file.
func operatorSchema() []byte { return settings.OperatorSchema }

// recodeJob decodes a job's record and encodes it again, as the controllers do.
func recodeJob(raw []byte) ([]byte, error) {
	var rec jobs.Record
	if err := jsonv2.Unmarshal(raw, &rec); err != nil {
		return nil, err
	}
	return json.Marshal(&rec)
}

// recodeHeartbeat, recodeHeartbeatResponse and recodeCommandRequest decode messages from or to
// workers and encode them again.
func recodeHeartbeat(raw []byte) ([]byte, error) { return recode[workers.Heartbeat](raw) }
func recodeHeartbeatResponse(raw []byte) ([]byte, error) {
	return recode[workers.HeartbeatResponse](raw)
}
func recodeCommandRequest(raw []byte) ([]byte, error) { return recode[workers.CommandRequest](raw) }

func recode[T any](raw []byte) ([]byte, error) {
	var v T
	if err := jsonv2.Unmarshal(raw, &v); err != nil {
		return nil, err
	}
	return jsonv2.Marshal(&v)
}

// sendCommands sends a command of each kind to a worker.
func sendCommands(ctx context.Context, transport http.RoundTripper) error {
	grace := 10.0
	_, _, err := workers.NewClient(transport, time.Second).SendCommands(ctx, "10.1.0.232:9000", workers.CommandRequest{FencingToken: 41, AgentEpoch: 1, Commands: []workers.Command{
		{Op: workers.OpRun, Task: "j-000412/4", Attempt: 2},
		{Op: workers.OpStop, Task: "j-000377/1", Attempt: 1, GraceS: &grace},
		{Op: workers.OpClear, Task: "j-000398/0", Attempt: 1},
	}})
	return err
}

// sendProbe probes a worker and returns the machine that its heartbeat names.
func sendProbe(ctx context.Context, transport http.RoundTripper) (machine string, err error) {
	r, err := workers.NewClient(transport, time.Second).Probe(ctx, "10.1.0.232:9000")
	if err != nil {
		return "", err
	}
	return r.Machine, nil
}

// heartbeatHandler returns a handler that responds to a heartbeat with a command of each kind, or
// redirects the worker to the leader if that is not empty.
func heartbeatHandler(leader string) http.Handler {
	grace := 10.0
	h := &workers.Handler{
		HandleHeartbeat: func(context.Context, *workers.Heartbeat) *workers.HeartbeatResponse {
			if leader != "" {
				return nil
			}
			return &workers.HeartbeatResponse{FencingToken: 41, Commands: []workers.Command{
				{Op: workers.OpRun, Task: "j-000412/4", Attempt: 2},
				{Op: workers.OpStop, Task: "j-000377/1", Attempt: 1, GraceS: &grace},
				{Op: workers.OpClear, Task: "j-000398/0", Attempt: 1},
			}}
		},
		Leader: func() string { return leader },
	}
	mux := http.NewServeMux()
	h.Register(mux)
	return mux
}

// readSnapshot returns the contents of a snapshot file as text.
func readSnapshot(path string) (string, error) {
	s, err := snapshot.ReadFile(path)
	if err != nil {
		return "", err
	}
	m := s.Manifest
	out := fmt.Sprintf("format %d, cluster %s, revision %d, token %d, taken %d, records %d, jobs %v, checksum %s, name %s\n",
		m.Format, m.Cluster, m.Revision, m.Token, m.TakenMs, m.Records, m.Jobs, m.Checksum, m.Name())
	for _, r := range s.Records {
		out += fmt.Sprintf("%s %d %q %d %s\n", r.Key, r.Revision, r.State, r.Tasks, r.Value)
	}
	return out, nil
}

// rewriteSnapshot reads a snapshot, writes it to a file in dir and returns that file's contents.
func rewriteSnapshot(path, dir string) ([]byte, error) {
	s, err := snapshot.ReadFile(path)
	if err != nil {
		return nil, err
	}
	written, err := snapshot.WriteFile(dir, s)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(written)
}

// exchangePeerMessages makes one controller send a message of each kind to another over a connection
// that dial returns, and returns the decoded messages as text.
func exchangePeerMessages(t *testing.T, dial func() (requester, responder net.Conn)) (received []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	record := func(format string, args ...any) { received = append(received, fmt.Sprintf(format, args...)) }
	links := &channelListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	sender := peer.NewHub("perch-0", []settings.Peer{{ControllerName: "perch-1"}}, func(context.Context, string) (net.Conn, error) {
		requester, responder := dial()
		links.conns <- responder
		return requester, nil
	}, time.Second)
	receiver := peer.NewHub("perch-1", []settings.Peer{{ControllerName: "perch-0"}}, func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, time.Second)
	lossReceived := make(chan struct{})
	receiver.OnLeaderUpdate = func(from string, p peer.LeaderUpdate) {
		record("progress from %s: served %v, uncertain %v, known %d, put back %v, restoring %v", from, p.StoreAvailable, p.ComparingRecords, p.KnownJobs, p.RecordsRolledBack, p.RestoringRecords)
		for id, c := range p.JobCounts {
			record("counts of %s: done %d, running %d", id, c.Done, c.Running)
		}
		for _, c := range p.Changes {
			record("change of %s: %s, %d tasks", c.ID, c.State, c.Tasks)
		}
	}
	receiver.OnLeaseGrantRequest = func(_ context.Context, from string, request peer.LeaseGrantRequest) peer.LeaseGrantResponse {
		record("asked for a promise by %s: token %d, seen %d", from, request.FencingToken, request.SeenRevision)
		return peer.LeaseGrantResponse{Granted: true, CancellationsComplete: true, Cancellations: []jobs.Cancellation{{Job: "j-000007", Revision: 431}, {Job: "j-8", Revision: 1 << 40}}}
	}
	receiver.OnLostJobsRequest = func(q peer.LostJobsRequest) peer.LostJobsResponse {
		record("asked for lost jobs: round %d, after %q", q.ComparisonRound, q.AfterID)
		return peer.LostJobsResponse{
			Compared: true, More: true, KnownJobs: 12, LossNoticed: true, NewestRevision: 433, ReliesOnNoGrant: true,
			Jobs: []peer.LostJob{{ID: "j-3", State: "queued", Tasks: 4, Record: []byte(`{"stance":"queued","tasks":4}`)}, {ID: "j-4", State: "done", Tasks: 1}},
		}
	}
	receiver.OnLossNotice = func(from string, l detection.Evidence) {
		record("loss noticed by %s: %q %q", from, l.Kind, l.Key)
		close(lossReceived)
	}
	idleListener := &channelListener{conns: make(chan net.Conn), done: make(chan struct{})}
	stopped := make(chan struct{}, 2)
	go func() { sender.Run(ctx, idleListener); stopped <- struct{}{} }()
	go func() { receiver.Run(ctx, links); stopped <- struct{}{} }()
	sender.Broadcast(peer.LeaderUpdate{
		StoreAvailable: true, ComparingRecords: true, KnownJobs: 9, RecordsRolledBack: true, RestoringRecords: true,
		JobCounts: map[string]jobs.TaskCounts{"j-000412": {Done: 3, Running: 13}},
		Changes:   []peer.JobChange{{ID: "j-3", State: "queued", Tasks: 4}, {ID: "j-000004", State: "aborted", Tasks: 1}},
	})
	grants := sender.RequestLeaseGrants(ctx, peer.LeaseGrantRequest{FencingToken: 41, SeenRevision: 430})
	record("promise: given %v, complete %v", grants.Granted, grants.CancellationsComplete)
	for _, c := range grants.Cancellations {
		record("cancellation of %s at %d", c.Job, c.Revision)
	}
	page, err := sender.RequestLostJobs(ctx, "perch-1", peer.LostJobsRequest{ComparisonRound: 5, AfterID: "j-2"})
	record("lost jobs: ready %v, more %v, known %d, noticed %v, newest %d, relies on nothing %v, %v", page.Compared, page.More, page.KnownJobs, page.LossNoticed, page.NewestRevision, page.ReliesOnNoGrant, err)
	for _, j := range page.Jobs {
		record("lost job %s: %s, %d tasks, %s", j.ID, j.State, j.Tasks, j.Record)
	}
	sender.SendLossNotice("perch-1", detection.Evidence{Kind: detection.RecordRemoved, Key: "job/j-3"})
	<-lossReceived
	cancel()
	<-stopped
	<-stopped
	return received
}

// evidenceKinds returns all kinds of evidence, as named in messages, metrics and recovery reports.
func evidenceKinds() []detection.Kind {
	return []detection.Kind{
		detection.RecordRemoved, detection.RecordMissing, detection.RecordOlder, detection.RecordContradicts, detection.RevisionRolledBack, detection.TokenRolledBack, detection.HolderKeyLost,
		detection.SegmentMissing, detection.SegmentUnreadable, detection.SegmentMismatch, detection.TaskUnknown, detection.ReportedByPeer, detection.NoticedByPredecessor, detection.FoundInSnapshot,
	}
}
