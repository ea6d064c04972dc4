package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/settings"
)

const controllerCount = 3

// stage is a running deployment: the controllers' processes and all that they talk to.
type stage struct {
	setting     setting
	world       *emulator.World
	folder      string // temporary files
	controllers []*controller
	ctx         context.Context
	stop        context.CancelFunc
	startedAt   time.Time

	mu     sync.Mutex
	record io.Writer
}

// newStage starts the stand-ins and the controllers.
func newStage(chosen setting, record io.Writer) (*stage, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &stage{setting: chosen, ctx: ctx, stop: stop, startedAt: time.Now(), record: record}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return s, err
	}
	s.folder = folder
	if err := s.reserveAddresses(); err != nil {
		return s, err
	}
	s.startWorld()
	for _, c := range s.controllers {
		if err := s.openDoors(c); err != nil {
			return s, err
		}
	}
	for _, c := range s.controllers {
		if err := os.WriteFile(c.settingsPath(), []byte(s.settingsOf(c)), 0o600); err != nil {
			return s, err
		}
		if err := c.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// reserveAddresses chooses free addresses for the controllers. Each has a loopback address of its own, so
// that no outgoing connection takes its port before it listens.
func (s *stage) reserveAddresses() error {
	block := fmt.Sprintf("127.%d.%d", 2+rand.IntN(200), rand.IntN(250))
	var held []net.Listener
	defer func() {
		for _, listener := range held {
			listener.Close()
		}
	}()
	for i := range controllerCount {
		c := &controller{stage: s, index: i, name: fmt.Sprintf("perch-%d", i)}
		for _, addr := range []*string{&c.bind, &c.clusterListen} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", block, i+1))
			if err != nil {
				return err
			}
			held = append(held, listener)
			*addr = listener.Addr().String()
		}
		s.controllers = append(s.controllers, c)
	}
	return nil
}

// startWorld starts the cloud, the state service and what the machines need.
func (s *stage) startWorld() {
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	config := emulator.WorkerConfig{
		HeartbeatInterval: seconds(s.setting.reportS), Lease: seconds(s.setting.leaseS), FetchTime: s.setting.fetchTime,
		ControllerAddrs: map[string]string{},
	}
	for _, c := range s.controllers {
		config.Controllers = append(config.Controllers, c.name)
		config.ControllerAddrs[c.name] = c.bind
	}
	s.world = emulator.NewWorld(s.ctx, s.setting.machineTypes, config)
	s.world.BootTime, s.world.ListLag = s.setting.bootTime, seconds(s.setting.listLagS)
	s.world.CancelDeadline = seconds(s.setting.cancelS)
	s.world.Teams = []settings.Team{{Name: s.setting.team, MaxCPUs: s.setting.teamMaxCPUs}}
	s.world.AddrOf = s.serveMachine
	s.world.SetCapacity(s.setting.capacity)
	s.world.Store.SetLimits(emulator.StoreLimits{ValueBytes: 32 << 10, TxnOps: 12, WritesPerSecond: 50})
	for _, c := range s.controllers {
		s.world.Network.Attach(c.name, c.bind, c.forwarder())
	}
}

// serveMachine opens an address for a machine's worker and returns it.
func (s *stage) serveMachine(int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.logf("no address for a machine: %v", err)
		return "127.0.0.1:1"
	}
	addr := listener.Addr().String()
	server := &http.Server{Handler: s.forwardTo(addr, s.world.Network.Transport("controllers")), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(s.ctx, func() { server.Close() })
	return addr
}

// forwardTo returns a handler that passes requests on to an address. A request that gets no answer
// there gets none here either.
func (s *stage) forwardTo(addr string, transport http.RoundTripper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", addr, ""
		response, err := transport.RoundTrip(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// openDoors opens the addresses at which a controller finds the state service and the cloud.
func (s *stage) openDoors(c *controller) (err error) {
	if c.cloud, err = s.serve(s.world); err != nil {
		return err
	}
	if first := s.controllers[0]; s.setting.oneStateAddress && c != first {
		c.state = first.state
		return nil
	}
	c.state, err = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.RemoteAddr = c.name
		s.world.Store.ServeHTTP(w, r.WithContext(context.WithoutCancel(r.Context())))
	}))
	return err
}

// serve serves a handler on a free address.
func (s *stage) serve(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(s.ctx, func() { server.Close() })
	return listener.Addr().String(), nil
}

func (s *stage) elapsed() float64 { return time.Since(s.startedAt).Seconds() }

// logf adds a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{s.elapsed()}, args...)...)
}

// sleep waits for some seconds.
func (s *stage) sleep(seconds float64) {
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	}
}

// waitFor waits until a condition holds.
func (s *stage) waitFor(what string, seconds float64, condition func() bool) error {
	deadline := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %g s: %s", seconds, what)
		}
		s.sleep(0.1)
	}
	return nil
}

// leader returns the controller that leads by the state service's word, or nil.
func (s *stage) leader() *controller {
	value := string(s.world.Store.Value("term/holder"))
	for _, c := range s.controllers {
		if strings.Contains(value, fmt.Sprintf("%q", c.name)) {
			return c
		}
	}
	return nil
}

// conclude writes the outcome to the record and returns the exit code.
func (s *stage) conclude(err error) int {
	for _, violation := range s.world.Violations() {
		s.logf("BROKEN %s", violation)
	}
	var broken *brokenError
	switch {
	case err == nil:
		s.logf("the rule held")
		return exitHeld
	case errors.As(err, &broken):
		s.logf("%v", err)
		return exitBroken
	}
	s.logf("the case could not run: %v", err)
	return exitNotRun
}

// close ends all processes and adds their logs to the record.
func (s *stage) close() {
	s.stop()
	for _, c := range s.controllers {
		c.kill()
	}
	if s.folder == "" {
		return
	}
	for _, c := range s.controllers {
		log, _ := os.ReadFile(c.logPath())
		s.logf("log of %s:\n%s", c.name, log)
	}
	os.RemoveAll(s.folder)
}

// settingsOf returns the settings file of a controller.
func (s *stage) settingsOf(c *controller) string {
	var text strings.Builder
	zones := s.setting.zones
	fmt.Fprintf(&text, "node_name = %q\nlocation = %q\nbind = %q\ncluster_listen = %q\n", c.name, zones[c.index], c.bind, c.clusterListen)
	for _, other := range s.controllers {
		if other != c {
			fmt.Fprintf(&text, "\n[[peers]]\nnode_name = %q\nlocation = %q\npeer_addr = %q\n", other.name, zones[other.index], other.clusterListen)
		}
	}
	fmt.Fprintf(&text, "\n[endpoints]\ncloud = %q\nstate = %q\n", c.cloud, c.state)
	fmt.Fprintf(&text, "\n[deployment]\nnodes = %d\nzones = [\"%s\"]\nclock_off_ms = 250.0\n", controllerCount, strings.Join(zones, `", "`))
	fmt.Fprintf(&text, "\n[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", s.setting.team, s.setting.teamCPUs, s.setting.teamMaxCPUs)
	fmt.Fprintf(&text, "\n[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n", s.setting.reportS, s.setting.leaseS, s.setting.cancelS)
	fmt.Fprintf(&text, "\n[deployment.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 32.0\ntxn_ops = 12\n")
	fmt.Fprintf(&text, "\n[deployment.cloud]\nrps = 6.0\nlist_lag_s = %.1f\n", s.setting.listLagS)
	fmt.Fprintf(&text, "\n[deployment.machine_limits]\ncores = %g\nmemory_mb = %.1f\nmax_sockets = %d\n", s.setting.cores, s.setting.memoryMB, s.setting.sockets)
	return text.String()
}

// setting holds what differs between deployments.
type setting struct {
	reportS, leaseS, cancelS, listLagS float64
	zones                              []string
	machineTypes                       []jobs.MachineType
	bootTime, fetchTime                time.Duration
	capacity                           int
	team                               string
	teamCPUs, teamMaxCPUs              float64
	cores, memoryMB                    float64
	sockets                            int
	oneStateAddress                    bool // all controllers have the same address of the state service
}

// homework returns settings like those of the homework platform.
func homework() setting {
	zones := []string{"salt-lake", "howrah-yard", "siliguri-hill", "durgapur-works"}
	return setting{
		reportS: 1.5, leaseS: 10, cancelS: 30, listLagS: 5, zones: zones,
		machineTypes: []jobs.MachineType{{Name: "slatebox", CPUs: 4, RAMGB: 16, CacheGB: 40, FetchGBPS: 1, Price: 0.16, SpotPrice: 0.07, BootS: 40, Zones: zones}},
		bootTime:     2 * time.Second, fetchTime: 500 * time.Millisecond, capacity: 28, team: "deskfolk",
		cores: 0.072, memoryMB: 98, sockets: 1000,
	}
}
