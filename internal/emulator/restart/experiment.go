package restart

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
)

// Pattern defines which controllers are killed, and in which order.
type Pattern string

// Supported patterns.
const (
	PatternAll     Pattern = "all"     // all controllers at once
	PatternTwice   Pattern = "twice"   // all controllers at once, and again shortly after they serve
	PatternRolling Pattern = "rolling" // one controller after the other
)

// Patterns lists the supported patterns.
var Patterns = []Pattern{PatternAll, PatternTwice, PatternRolling}

const (
	tasksPerMachine = 4
	killInterval    = 2 * time.Second
	startTimeout    = 20 * time.Second
	settleTime      = 3 * time.Second
	taskDurationS   = 100_000 // in seconds; so long that no task completes by itself
	// Range and precision of histograms of milliseconds: up to ten minutes, three digits.
	maxMs, significantDigits = 600_000, 3
)

// Setup configures an experiment.
type Setup struct {
	Program   string   // path of the controllers' executable
	Settings  []string // settings file of each controller
	UserAddrs []string // address on which each controller serves users and workers
	LogDir    string
	Machines  int
	Pattern   Pattern
	Lease     time.Duration // worker lease
	Progress  io.Writer     // receives one line per trial
}

// Experiment runs controllers as child processes in an emulated world. Its methods must be called
// from one goroutine; the callback from the world may run in others.
type Experiment struct {
	setup     Setup
	world     *emulator.World
	processes []*process

	mu              sync.Mutex
	gaps            *hdrhistogram.Histogram // milliseconds between consecutive answered heartbeats of a worker
	firstAnsweredAt time.Time               // time of the first answered heartbeat since controllers were last killed
}

// New returns an experiment in a world that is served on loopback addresses. It sets
// HeartbeatAnswered of the world. The caller must call Stop to end the controllers.
func New(world *emulator.World, setup Setup) *Experiment {
	x := &Experiment{setup: setup, world: world, gaps: newHistogram()}
	for i, path := range setup.Settings {
		x.processes = append(x.processes, &process{
			program: setup.Program, settingsPath: path, addr: setup.UserAddrs[i],
			logPath: filepath.Join(setup.LogDir, fmt.Sprintf("controller-%d.log", i)),
		})
	}
	world.HeartbeatAnswered = x.recordAnsweredHeartbeat
	return x
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMs, significantDigits) }

func (x *Experiment) recordAnsweredHeartbeat(at time.Time, gap time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.gaps.RecordValue(min(maxMs, max(1, gap.Milliseconds())))
	if x.firstAnsweredAt.IsZero() {
		x.firstAnsweredAt = at
	}
}

// Stop kills all controllers.
func (x *Experiment) Stop() {
	for _, controller := range x.processes {
		controller.kill()
	}
}

// Run starts the controllers, fills the machines with tasks and runs the trials for each pause.
// On error it also returns the results so far.
func (x *Experiment) Run(ctx context.Context, pauses []time.Duration, trials int) (results []Result, err error) {
	if _, err := startAll(x.processes, startTimeout); err != nil {
		return nil, err
	}
	if err := x.fillFleet(ctx); err != nil {
		return nil, err
	}
	for _, pause := range pauses {
		for trial := range trials {
			fmt.Fprintf(x.setup.Progress, "pause %v, trial %d of %d: %d tasks run\n", pause, trial+1, trials, len(x.world.RunningTasks()))
			result, err := x.runTrial(ctx, pause)
			if err != nil {
				return results, err
			}
			result.Trial = trial + 1
			results = append(results, result)
		}
	}
	return results, nil
}

// fillFleet submits one job per machine, for two teams in turn, and waits until all tasks run.
func (x *Experiment) fillFleet(ctx context.Context) error {
	for i := range x.setup.Machines {
		spec := &jobs.Spec{
			ID: fmt.Sprintf("j-%06d", i+1), Class: "sums", Team: []string{"red", "blue"}[i%2], Shape: jobs.Batch, Priority: jobs.Standard,
			Tasks: tasksPerMachine, CPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimatedRuntimeS: taskDurationS,
		}
		if err := x.submit(ctx, x.setup.UserAddrs[i%len(x.setup.UserAddrs)], spec); err != nil {
			return err
		}
	}
	tasks := x.setup.Machines * tasksPerMachine
	if !x.waitFor(ctx, time.Minute+time.Duration(x.setup.Machines)*200*time.Millisecond, func() bool { return len(x.world.RunningTasks()) == tasks }) {
		return fmt.Errorf("%d of %d tasks are running: %w", len(x.world.RunningTasks()), tasks, errTasksNotRunning)
	}
	return x.sleep(ctx, settleTime)
}

var errTasksNotRunning = errors.New("machines were not filled with tasks in time")

func (x *Experiment) submit(ctx context.Context, addr string, spec *jobs.Spec) error {
	body, err := submissionBody(spec)
	if err != nil {
		return err
	}
	status := 0
	accepted := x.waitFor(ctx, startTimeout, func() bool {
		resp, err := http.Post("http://"+addr+"/v1/jobs", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		resp.Body.Close()
		status = resp.StatusCode
		return status == http.StatusCreated || status == http.StatusOK
	})
	if !accepted {
		return fmt.Errorf("job %s was not accepted: last status %d", spec.ID, status)
	}
	return nil
}

// submissionBody returns the JSON description of a job as users send it, with null for any zone.
func submissionBody(spec *jobs.Spec) ([]byte, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := wirejson.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	if spec.Zone == "" {
		fields[zoneField] = nil
	}
	return json.Marshal(fields)
}

func (x *Experiment) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// waitFor polls a condition until the timeout and reports whether it became true.
func (x *Experiment) waitFor(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		if x.sleep(ctx, 10*pollInterval) != nil {
			return false
		}
	}
	return false
}
