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

// cluster is three controllers in a world of stand-ins, all in one bubble of
// time: a day passes in moments, and every run sees the same clock.
type cluster struct {
	t               *testing.T
	ctx             context.Context
	world           *emulator.World
	processes       map[string]*process
	names           []string
	randomSources   uint64
	memory          atomic.Uint64 // what each node holds, in bytes
	adjustSettings  func(*settings.Settings)
	adaptController func(*Controller) // of nodes that are started from now on
	duties          sync.WaitGroup
}

type process struct {
	controller *Controller
	startedAt  time.Time
	cancel     context.CancelFunc
	done       chan struct{}
}

var gangWait, gangPeer = 12.0, 4.0

var testMachineTypes = []jobs.MachineType{{
	Name: "c4", CPUs: 4, RAMGB: 32, CacheGB: 50, FetchGBPS: 1, Price: 0.3, SpotPrice: 0.1, BootS: 10, Zones: []string{"a", "b", "c"},
}}

func clusterAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8081" }

func userAddr(name string) string { return "10.0.0." + name[len(name)-1:] + ":8080" }

// runCluster runs a scenario. Whatever it does, no rule may be broken.
func runCluster(t *testing.T, tweak func(*settings.Settings), scenario func(c *cluster)) {
	t.Helper()
	runClusterWith(t, testMachineTypes, tweak, scenario)
}

// runClusterWith is inCluster with machine types of its own.
func runClusterWith(t *testing.T, types []jobs.MachineType, tweak func(*settings.Settings), scenario func(c *cluster)) {
	t.Helper()
	t.Parallel() // each has a bubble of its own
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, processes: map[string]*process{}, names: []string{"perch-0", "perch-1", "perch-2"}, adjustSettings: tweak}
		pace := emulator.Pace{Report: 2 * time.Second, Lease: 20 * time.Second, Fetch: time.Second, GangWait: 12 * time.Second, GangPeer: 4 * time.Second, Nodes: c.names, Addrs: map[string]string{}}
		for _, n := range c.names {
			pace.Addrs[n] = userAddr(n)
		}
		c.world = emulator.NewWorld(ctx, types, pace)
		c.world.Cancel = 40 * time.Second
		c.world.Teams = c.settings(c.names[0]).Deployment.Teams
		c.world.Net.Attach("state", "10.2.0.1:1", c.world.State)
		c.world.Net.Attach("cloud", "10.2.0.2:1", c.world)
		for _, n := range c.names {
			c.start(n)
		}
		c.advance(5 * time.Second)
		scenario(c)
		for _, b := range c.world.Broken() {
			t.Errorf("rule broken: %s", b)
		}
		if len(c.world.Broken()) > 0 {
			t.Log("what led to the first:\n" + c.world.Trace())
		}
		cancel()
		c.duties.Wait()
		c.world.Net.Faults(nil)
		c.world.Wait()
		c.world.Net.Wait()
	})
}

func (c *cluster) settings(name string) *settings.Settings {
	s := &settings.Settings{
		Operator: settings.DefaultOperator(),
		Node:     name, Zone: "a", Listen: userAddr(name), ClusterListen: clusterAddr(name),
		Endpoints: settings.Endpoints{Cloud: "10.2.0.2:1", State: "10.2.0.1:1"},
		Deployment: settings.Deployment{
			Nodes: 3, Zones: []string{"a", "b", "c"},
			Teams:   []settings.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 8, CPUsMax: 40}},
			Workers: settings.Workers{ReportS: 2, LeaseS: 20, CancelS: 40, GangWaitS: &gangWait, GangPeerS: &gangPeer},
			State:   settings.State{RPS: 150, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
			Cloud:   settings.Cloud{RPS: 6, ListLagS: 4},
			Limits:  settings.Limits{Cores: 0.1, MemoryMB: 100, MaxSockets: 1000},
		},
	}
	for _, n := range c.names {
		if n != name {
			s.Peers = append(s.Peers, settings.Peer{Node: n, Zone: "a", Addr: clusterAddr(n)})
		}
	}
	if c.adjustSettings != nil {
		c.adjustSettings(s)
	}
	return s
}

func (c *cluster) start(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	n := New(c.settings(name), Environment{
		HTTP: c.world.Net.From(name),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return c.world.Net.Dial(ctx, name, addr) },
		// All nodes of all tests are one process: what it holds says nothing of a node.
		Memory: c.memory.Load,
	})
	if c.adaptController != nil {
		c.adaptController(n)
	}
	l := &process{controller: n, startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	c.processes[name] = l
	c.world.Net.Attach(name, userAddr(name), n.Handler())
	c.world.Note("%s begins", name)
	c.duties.Go(func() { n.RunDuties(ctx, c.world.Net.Listen(name, clusterAddr(name))); close(l.done) })
}

// crash ends a node without a last word: nothing it says any more arrives.
func (c *cluster) crash(names ...string) {
	dead := map[string]bool{}
	for _, n := range names {
		dead[n] = true
	}
	defer c.world.Net.Trouble(func(from, to, _ string) emulator.Fault {
		if dead[from] || dead[to] {
			return emulator.Refuse
		}
		return emulator.Deliver
	})()
	for _, n := range names {
		c.world.Note("%s ends", n)
		c.processes[n].cancel()
		<-c.processes[n].done
		c.world.Net.Attach(n, userAddr(n), nil)
	}
}

func (l *process) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (c *cluster) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (c *cluster) leader() string {
	var h struct{ Node string }
	_ = json.Unmarshal(c.world.State.Value("term/holder"), &h)
	return h.Node
}

func (c *cluster) request(method, node, path string, body any) (int, map[string]any) {
	return c.world.Ask(method, userAddr(node), path, body)
}

func (c *cluster) submit(node string, s *jobs.Spec) {
	c.t.Helper()
	c.world.Upload(s)
	if status, view := c.request("POST", node, "/v1/jobs", wireSpec(s)); status != http.StatusCreated {
		c.t.Fatalf("submit %s: %d %v", s.ID, status, view)
	}
}

// startupTime is by when a node that has just begun takes all requests: until then it may
// say that it has, as users may be told who repeat themselves.
const startupTime = 2 * time.Second

func (c *cluster) cancelJob(node, id string) {
	c.t.Helper()
	began := time.Now()
	for {
		status, view := c.request("POST", node, "/v1/jobs/"+id+"/withdraw", nil)
		if status == http.StatusOK && view["stance"] == "aborted" {
			return
		}
		if status != http.StatusServiceUnavailable || time.Since(c.processes[node].startedAt) > startupTime || time.Since(began) > startupTime {
			c.t.Fatalf("withdraw %s: %d %v", id, status, view)
		}
		c.advance(100 * time.Millisecond)
	}
}

func (c *cluster) jobState(id string) string {
	for _, n := range c.names {
		if status, view := c.request("GET", n, "/v1/jobs/"+id, nil); status == http.StatusOK {
			return view["stance"].(string)
		}
	}
	return "unknown"
}

// within waits for something to become true.
func (c *cluster) within(d time.Duration, what string, is func() bool) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < d; c.advance(200 * time.Millisecond) {
		if is() {
			return
		}
	}
	c.t.Errorf("not within %v: %s; %s", d, what, c.world.Summary())
}

func (c *cluster) withinDone(d time.Duration, id string) {
	c.t.Helper()
	c.within(d, id+" done", func() bool { return c.jobState(id) == jobs.Done })
}

// tasksOnMachines counts the tasks of a job that are on machines.
func (c *cluster) tasksOnMachines(id string, tasks int) (n int) {
	for i := range tasks {
		n += len(c.world.On(fmt.Sprintf("%s/%d", id, i)))
	}
	return n
}

// loggedAssignments returns the assignments that the leaders' book still names.
func (c *cluster) loggedAssignments() (live []string) {
	type page struct {
		Number uint64
		Begun  []struct {
			M     string
			Tasks []struct {
				J string
				N int
				A uint64
			}
		}
		Over []uint64
	}
	var pages []page
	for _, k := range c.world.State.Keys("book/") {
		var p page
		if err := json.Unmarshal(c.world.State.Value(k), &p); err != nil {
			c.t.Errorf("%s: %v", k, err)
		}
		pages = append(pages, p)
	}
	slices.SortFunc(pages, func(a, b page) int { return cmp.Compare(a.Number, b.Number) })
	names := map[uint64]string{}
	for _, p := range pages {
		for _, b := range p.Begun {
			for _, t := range b.Tasks {
				names[t.A] = fmt.Sprintf("%s/%d on %s", t.J, t.N, b.M)
			}
		}
		for _, a := range p.Over {
			delete(names, a)
		}
	}
	for _, n := range names {
		live = append(live, n)
	}
	return live
}

// injectFault puts a rule in force and counts the messages that it hits.
func (c *cluster) injectFault(rule emulator.Rule) (end func(), hits func() int) {
	var n atomic.Int64
	end = c.world.Net.Trouble(func(from, to, path string) emulator.Fault {
		f := rule(from, to, path)
		if f != emulator.Deliver {
			n.Add(1)
		}
		return f
	})
	return end, func() int { return int(n.Load()) }
}

// isolate keeps machines from controllers, both ways.
func isolate(machines ...string) emulator.Rule {
	return func(from, to, _ string) emulator.Fault {
		if slices.Contains(machines, from) || slices.Contains(machines, to) {
			return emulator.Silent
		}
		return emulator.Deliver
	}
}

// replaceLeader ends the leader, and brings it back when there is another.
func (c *cluster) replaceLeader() {
	c.t.Helper()
	old := c.leader()
	c.crash(old)
	c.within(15*time.Second, "another leader", func() bool { l := c.leader(); return l != "" && l != old })
	c.start(old)
}

func (c *cluster) firstRunning() string {
	for _, n := range c.names {
		if !c.processes[n].ended() {
			return n
		}
	}
	return ""
}

// otherThan is a node that is not the one named.
func (c *cluster) otherThan(name string) string {
	if name == c.names[0] {
		return c.names[1]
	}
	return c.names[0]
}

// runServiceAndBatch starts a service and an array and waits until all their tasks run.
func (c *cluster) runServiceAndBatch() {
	c.t.Helper()
	c.submit("perch-0", serviceJob("j-1", 2))
	c.submit("perch-0", batchJob("j-2", 6, 60))
	c.within(40*time.Second, "all up", func() bool { return c.tasksOnMachines("j-1", 2) == 2 && c.tasksOnMachines("j-2", 6) == 6 })
}

// restartAll ends all controllers and starts them again after a pause.
func (c *cluster) restartAll(pause time.Duration) {
	c.crash(c.names...)
	c.advance(pause)
	for _, n := range c.names {
		c.start(n)
	}
}

// takeoverProgress is what the leader says of its take-over.
func (c *cluster) takeoverProgress() reconcile.Progress {
	for _, name := range c.names {
		if s := c.processes[name].controller.gate.Status(c.ctx); s != nil {
			return s.Takeover
		}
	}
	return reconcile.Progress{}
}

// timeUntilLeader starts nodes and returns how long it takes until one leads.
func (c *cluster) timeUntilLeader(names ...string) time.Duration {
	c.t.Helper()
	for _, n := range names {
		c.start(n)
	}
	began := time.Now()
	for time.Since(began) < 30*time.Second {
		for _, n := range names {
			if c.processes[n].controller.elector.Valid() {
				return time.Since(began)
			}
		}
		c.advance(10 * time.Millisecond)
	}
	c.t.Error("nobody leads")
	return 0
}

// queueSummary is what the leader says of all classes.
func (c *cluster) queueSummary() string {
	for _, name := range c.names {
		if s := c.processes[name].controller.gate.Status(c.ctx); s != nil {
			return fmt.Sprintf("%+v, %d to write", s.Classes, s.WriteQueue)
		}
	}
	return "nobody leads"
}

func (c *cluster) gangRuns(id string, tasks int) func() bool {
	return func() bool { return c.tasksOnMachines(id, tasks) == tasks && c.world.Gangs(id) > 0 }
}

// newRand is a source for a test's own users.
func (c *cluster) newRand() *rand.Rand {
	c.randomSources++
	return rand.New(rand.NewPCG(c.randomSources, 0))
}
