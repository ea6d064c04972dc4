package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
)

func TestMain(m *testing.M) {
	level := slog.LevelError + 1
	if os.Getenv("LOG_LEVEL") == "debug" {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	os.Exit(m.Run())
}

// cluster is three controllers with an emulated store, cloud, network and workers, all in one
// synctest bubble: simulated hours pass in little real time, and every run sees the same clock.
type cluster struct {
	t                  *testing.T
	ctx                context.Context
	world              *emulator.World
	names              []string                // names of all controllers
	incarnations       map[string]*incarnation // the latest of each controller, by its name
	memoryInUse        atomic.Uint64           // memory in use that each controller measures, in bytes
	adjustSettings     func(*settings.Settings)
	adaptController    func(*Controller) // if set, applied to each controller before it starts
	randomSources      uint64            // number of sources that newRand has returned
	runningControllers sync.WaitGroup
}

// incarnation is one run of a controller, from its start to its crash.
type incarnation struct {
	controller *Controller
	startedAt  time.Time
	cancel     context.CancelFunc
	done       chan struct{}
}

// gangWaitSeconds and gangPeerSeconds are the settings gang_wait_s and gang_peer_s, in seconds.
var gangWaitSeconds, gangPeerSeconds = 12.0, 4.0

var testMachineTypes = []jobs.MachineType{{
	Name: "c4", CPUs: 4, RAMGB: 32, CacheGB: 50, FetchGBPS: 1, Price: 0.3, SpotPrice: 0.1, BootS: 10, Zones: []string{"a", "b", "c"},
}}

// clusterAddr returns the address at which a controller listens for its peers and operators.
func clusterAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8081" }

// userAddr returns the address at which a controller listens for users and workers.
func userAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8080" }

// runCluster runs a scenario in a cluster and fails the test if a rule of the protocol is violated.
// adjust changes the settings of each controller; nil leaves them as they are.
func runCluster(t *testing.T, adjust func(*settings.Settings), scenario func(c *cluster)) {
	t.Helper()
	runClusterWith(t, testMachineTypes, adjust, scenario)
}

// runClusterWith is like runCluster, but with the given machine types in the cloud's catalog.
func runClusterWith(t *testing.T, types []jobs.MachineType, adjust func(*settings.Settings), scenario func(c *cluster)) {
	t.Helper()
	t.Parallel() // each scenario has a synctest bubble of its own
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, incarnations: map[string]*incarnation{}, names: []string{"perch-0", "perch-1", "perch-2"}, adjustSettings: adjust}
		workerConfig := emulator.WorkerConfig{HeartbeatInterval: 2 * time.Second, Lease: 20 * time.Second, FetchTime: time.Second, GangWait: 12 * time.Second, GangStopWindow: 4 * time.Second, Controllers: c.names, ControllerAddrs: map[string]string{}}
		for _, name := range c.names {
			workerConfig.ControllerAddrs[name] = userAddr(name)
		}
		c.world = emulator.NewWorld(ctx, types, workerConfig)
		c.world.CancelDeadline = 40 * time.Second
		c.world.Teams = c.settings(c.names[0]).Deployment.Teams
		c.world.Network.Attach("state", "10.2.0.1:1", c.world.Store)
		c.world.Network.Attach("cloud", "10.2.0.2:1", c.world)
		for _, name := range c.names {
			c.start(name)
		}
		c.advance(5 * time.Second)
		scenario(c)
		for _, violation := range c.world.Violations() {
			t.Errorf("protocol rule violated: %s", violation)
		}
		if len(c.world.Violations()) > 0 {
			t.Log("trace up to the first violation:\n" + c.world.Trace())
		}
		cancel()
		c.runningControllers.Wait()
		c.world.Network.SetFaults(nil)
		c.world.Wait()
		c.world.Network.Wait()
	})
}

// settings returns the settings of one controller.
func (c *cluster) settings(name string) *settings.Settings {
	set := &settings.Settings{
		Operator:       settings.DefaultOperator(),
		ControllerName: name, Zone: "a", Bind: userAddr(name), ClusterListen: clusterAddr(name),
		Endpoints: settings.Endpoints{Cloud: "10.2.0.2:1", Store: "10.2.0.1:1"},
		Deployment: settings.Deployment{
			ControllerCount: 3, Zones: []string{"a", "b", "c"},
			Teams:   []settings.Team{{Name: "red", GuaranteedCPUs: 8, MaxCPUs: 16}, {Name: "blue", GuaranteedCPUs: 8, MaxCPUs: 40}},
			Workers: settings.Workers{HeartbeatS: 2, LeaseS: 20, CancelS: 40, GangWaitS: &gangWaitSeconds, GangPeerS: &gangPeerSeconds},
			Store:   settings.StoreLimits{RPS: 150, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
			Cloud:   settings.Cloud{RPS: 6, ListLagS: 4},
			Limits:  settings.HostLimits{Cores: 0.1, MemoryMB: 100, MaxSockets: 1000},
		},
	}
	for _, other := range c.names {
		if other != name {
			set.Peers = append(set.Peers, settings.Peer{ControllerName: other, Zone: "a", Addr: clusterAddr(other)})
		}
	}
	if c.adjustSettings != nil {
		c.adjustSettings(set)
	}
	return set
}

// start starts a new incarnation of a controller and returns without waiting for it to be ready.
func (c *cluster) start(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	controller := New(c.settings(name), Environment{
		HTTP: c.world.Network.Transport(name),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return c.world.Network.Dial(ctx, name, addr) },
		// All controllers of all tests share one process, so its memory is not that of a
		// controller.
		Memory: c.memoryInUse.Load,
	})
	if c.adaptController != nil {
		c.adaptController(controller)
	}
	started := &incarnation{controller: controller, startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	c.incarnations[name] = started
	c.world.Network.Attach(name, userAddr(name), controller.Handler())
	c.world.Tracef("%s starts", name)
	c.runningControllers.Go(func() {
		controller.RunBackground(ctx, c.world.Network.Listen(name, clusterAddr(name)))
		close(started.done)
	})
}

// crash stops controllers without a graceful shutdown: nothing that they still send arrives. It
// returns when all their goroutines have ended.
func (c *cluster) crash(names ...string) {
	defer c.world.Network.AddFaults(func(from, to, _ string) emulator.Fault {
		if slices.Contains(names, from) || slices.Contains(names, to) {
			return emulator.RefuseConnection
		}
		return emulator.Deliver
	})()
	for _, name := range names {
		c.world.Tracef("%s crashes", name)
		c.incarnations[name].cancel()
		<-c.incarnations[name].done
		c.world.Network.Attach(name, userAddr(name), nil)
	}
}

// ended reports whether the incarnation was stopped by crash.
func (i *incarnation) ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// advance lets simulated time pass, and waits until every goroutine in the bubble is blocked.
func (c *cluster) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// leader returns the name of the leader in the store's leadership record, or "" if there is none.
func (c *cluster) leader() string {
	var holder struct{ Node string }
	_ = json.Unmarshal(c.world.Store.Value("term/holder"), &holder)
	return holder.Node
}

// request sends a user's request to a controller and returns the status and the decoded body of the
// response.
func (c *cluster) request(method, controllerName, path string, body any) (int, map[string]any) {
	return c.world.UserRequest(method, userAddr(controllerName), path, body)
}

// submit submits a job and ends the test unless the first request is accepted.
func (c *cluster) submit(controllerName string, spec *jobs.Spec) {
	c.t.Helper()
	c.world.UploadSpec(spec)
	if status, view := c.request("POST", controllerName, "/v1/jobs", wireSpec(spec)); status != http.StatusCreated {
		c.t.Fatalf("submit %s: %d %v", spec.ID, status, view)
	}
}

// startupTime is how long a controller that has just started may refuse requests. Users retry them.
const startupTime = 2 * time.Second

// cancelJob cancels a job and ends the test unless the cancellation is confirmed. It retries only
// refusals with status 503 within the controller's startup time.
func (c *cluster) cancelJob(controllerName, id string) {
	c.t.Helper()
	startedAt := time.Now()
	for {
		status, view := c.request("POST", controllerName, "/v1/jobs/"+id+"/withdraw", nil)
		if status == http.StatusOK && view["stance"] == "aborted" {
			return
		}
		if status != http.StatusServiceUnavailable || time.Since(c.incarnations[controllerName].startedAt) > startupTime || time.Since(startedAt) > startupTime {
			c.t.Fatalf("withdraw %s: %d %v", id, status, view)
		}
		c.advance(100 * time.Millisecond)
	}
}

// jobState returns a job's state from the first controller that responds with one, or "unknown".
func (c *cluster) jobState(id string) string {
	for _, name := range c.names {
		if status, view := c.request("GET", name, "/v1/jobs/"+id, nil); status == http.StatusOK {
			return view["stance"].(string)
		}
	}
	return "unknown"
}

// waitFor waits until a condition holds. If it does not hold in time, it marks the test as failed
// and returns.
func (c *cluster) waitFor(timeout time.Duration, description string, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < timeout; c.advance(200 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Errorf("timed out after %v waiting for: %s; %s", timeout, description, c.world.Summary())
}

// waitForDone waits until a job is done.
func (c *cluster) waitForDone(timeout time.Duration, id string) {
	c.t.Helper()
	c.waitFor(timeout, id+" done", func() bool { return c.jobState(id) == jobs.Done })
}

// tasksOnMachines returns how many tasks of a job are on machines; a task on two counts twice.
func (c *cluster) tasksOnMachines(id string, tasks int) (n int) {
	for i := range tasks {
		n += len(c.world.MachinesOf(fmt.Sprintf("%s/%d", id, i)))
	}
	return n
}

// logSegment is the stored form of a segment of the assignment log.
type logSegment struct {
	Number uint64
	Begun  []struct {
		Machine string `json:"M"`
		Tasks   []struct {
			Job        string `json:"J"`
			Number     int    `json:"N"`
			Assignment uint64 `json:"A"`
		}
	}
	Over []uint64 // numbers of ended assignments
}

// loggedAssignments returns the assignments that have a start record in the log and no end record,
// each as "task on machine".
func (c *cluster) loggedAssignments() (live []string) {
	var segments []logSegment
	for _, key := range c.world.Store.Keys("book/") {
		var segment logSegment
		if err := json.Unmarshal(c.world.Store.Value(key), &segment); err != nil {
			c.t.Errorf("%s: %v", key, err)
		}
		segments = append(segments, segment)
	}
	slices.SortFunc(segments, func(a, b logSegment) int { return cmp.Compare(a.Number, b.Number) })
	names := map[uint64]string{}
	for _, segment := range segments {
		for _, started := range segment.Begun {
			for _, task := range started.Tasks {
				names[task.Assignment] = fmt.Sprintf("%s/%d on %s", task.Job, task.Number, started.Machine)
			}
		}
		for _, assignment := range segment.Over {
			delete(names, assignment)
		}
	}
	for _, name := range names {
		live = append(live, name)
	}
	return live
}

// injectFault applies a fault rule to all messages until end is called. hits returns how many
// messages it has affected so far.
func (c *cluster) injectFault(rule emulator.FaultRule) (end func(), hits func() int) {
	var count atomic.Int64
	end = c.world.Network.AddFaults(func(from, to, path string) emulator.Fault {
		fault := rule(from, to, path)
		if fault != emulator.Deliver {
			count.Add(1)
		}
		return fault
	})
	return end, func() int { return int(count.Load()) }
}

// isolate returns a rule that drops all messages from and to machines.
func isolate(machines ...string) emulator.FaultRule {
	return func(from, to, _ string) emulator.Fault {
		if slices.Contains(machines, from) || slices.Contains(machines, to) {
			return emulator.DropRequest
		}
		return emulator.Deliver
	}
}

// replaceLeader crashes the leader, and starts it again after another controller was elected.
func (c *cluster) replaceLeader() {
	c.t.Helper()
	old := c.leader()
	c.crash(old)
	c.waitForNewLeader(15*time.Second, old)
	c.start(old)
}

// waitForNewLeader waits for a leader other than the old one.
func (c *cluster) waitForNewLeader(timeout time.Duration, old string) {
	c.t.Helper()
	c.waitFor(timeout, "a new leader", func() bool { name := c.leader(); return name != "" && name != old })
}

// firstRunningController returns the first controller that has not crashed, or "" if all have.
func (c *cluster) firstRunningController() string {
	for _, name := range c.names {
		if !c.incarnations[name].ended() {
			return name
		}
	}
	return ""
}

// controllerOtherThan returns a controller other than the one named.
func (c *cluster) controllerOtherThan(name string) string {
	if name == c.names[0] {
		return c.names[1]
	}
	return c.names[0]
}

// runServiceAndBatch submits a service and a batch job, and waits until all their tasks run.
func (c *cluster) runServiceAndBatch() {
	c.t.Helper()
	c.submit("perch-0", serviceJob("j-1", 2))
	c.submit("perch-0", batchJob("j-2", 6, 60))
	c.waitFor(40*time.Second, "all tasks running", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 6) == 6 })
}

// restartAll crashes all controllers and starts them again after a pause.
func (c *cluster) restartAll(pause time.Duration) {
	c.crash(c.names...)
	c.advance(pause)
	for _, name := range c.names {
		c.start(name)
	}
}

// failoverProgress returns the progress of the leader's failover, or its zero value without a
// leader.
func (c *cluster) failoverProgress() reconcile.Progress {
	for _, name := range c.names {
		if status := c.incarnations[name].controller.leaderHandle.Status(c.ctx); status != nil {
			return status.Failover
		}
	}
	return reconcile.Progress{}
}

// timeUntilLeader starts controllers and returns how long it takes until one of them leads. It
// fails the test and returns 0 if none leads within 30 seconds.
func (c *cluster) timeUntilLeader(names ...string) time.Duration {
	c.t.Helper()
	for _, name := range names {
		c.start(name)
	}
	startedAt := time.Now()
	for time.Since(startedAt) < 30*time.Second {
		for _, name := range names {
			if c.incarnations[name].controller.elector.IsLeader() {
				return time.Since(startedAt)
			}
		}
		c.advance(10 * time.Millisecond)
	}
	c.t.Error("no controller leads")
	return 0
}

// queueSummary returns the leader's status of all job classes, for messages of failed tests.
func (c *cluster) queueSummary() string {
	for _, name := range c.names {
		if status := c.incarnations[name].controller.leaderHandle.Status(c.ctx); status != nil {
			return fmt.Sprintf("%+v, %d to write", status.Classes, status.WriteQueue)
		}
	}
	return "no controller leads"
}

// gangRuns returns a condition that holds if all tasks of a gang are on machines and an attempt of
// the gang has started.
func (c *cluster) gangRuns(id string, tasks int) func() bool {
	return func() bool { return c.tasksOnMachines(id, tasks) == tasks && c.world.GangStarts(id) > 0 }
}

// newRand returns a random number generator. Each call has a seed of its own, the same in every
// run.
func (c *cluster) newRand() *rand.Rand {
	c.randomSources++
	return rand.New(rand.NewPCG(c.randomSources, 0))
}
