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
)

// Pattern is which controllers are ended, and when.
type Pattern string

// The patterns.
const (
	PatternAll     Pattern = "all"     // all at once
	PatternTwice   Pattern = "twice"   // all at once, and again soon after they are back
	PatternRolling Pattern = "rolling" // one after the other
)

// Patterns lists all of them.
var Patterns = []Pattern{PatternAll, PatternTwice, PatternRolling}

const (
	tasksPerMachine = 4
	betweenKills    = 2 * time.Second
	startTimeout    = 20 * time.Second
	settleTime      = 3 * time.Second
	taskDurationS   = 100_000 // no task ends by itself
	// Distributions are kept in milliseconds, up to ten minutes, to three digits.
	maxMs, significantDigits = 600_000, 3
)

// Setup is what an experiment runs.
type Setup struct {
	Program   string   // of the controllers
	Settings  []string // a file for each controller
	UserAddrs []string // where each takes users and workers
	LogDir    string
	Machines  int
	Pattern   Pattern
	Lease     time.Duration // of workers
	Progress  io.Writer     // gets a line for each trial
}

// Experiment is controllers as child processes, and the world that they run in. Its methods
// are for one goroutine; the world's callback may come from others.
type Experiment struct {
	setup     Setup
	world     *emulator.World
	processes []*process

	mu          sync.Mutex
	gaps        *hdrhistogram.Histogram // between two answered heartbeats of a worker, in ms
	firstAnswer time.Time               // to a heartbeat since controllers were last ended
}

// New makes an experiment in a world that is served on loopback. It takes the world's
// HeartbeatAnswered. Its processes are ended by Stop.
func New(world *emulator.World, setup Setup) *Experiment {
	x := &Experiment{setup: setup, world: world, gaps: newHistogram()}
	for i, path := range setup.Settings {
		x.processes = append(x.processes, &process{
			program: setup.Program, settingsPath: path, addr: setup.UserAddrs[i],
			logPath: filepath.Join(setup.LogDir, fmt.Sprintf("controller-%d.log", i)),
		})
	}
	world.HeartbeatAnswered = x.noteAnswer
	return x
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMs, significantDigits) }

func (x *Experiment) noteAnswer(at time.Time, gap time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.gaps.RecordValue(min(maxMs, max(1, gap.Milliseconds())))
	if x.firstAnswer.IsZero() {
		x.firstAnswer = at
	}
}

// Stop ends all processes.
func (x *Experiment) Stop() {
	for _, controller := range x.processes {
		controller.kill()
	}
}

// Run fills the fleet and goes through all trials.
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

// fillFleet submits arrays of two teams until every machine is full.
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
		return fmt.Errorf("%d of %d tasks run: %w", len(x.world.RunningTasks()), tasks, errNotFull)
	}
	return x.sleep(ctx, settleTime)
}

var errNotFull = errors.New("the fleet could not be filled")

func (x *Experiment) submit(ctx context.Context, addr string, spec *jobs.Spec) error {
	body, err := wireBody(spec)
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
		return fmt.Errorf("%s was not accepted: status %d", spec.ID, status)
	}
	return nil
}

// wireBody is a description as users send it: any zone is null there.
func wireBody(spec *jobs.Spec) ([]byte, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
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

// waitFor waits for something to become true.
func (x *Experiment) waitFor(ctx context.Context, d time.Duration, is func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if is() {
			return true
		}
		if x.sleep(ctx, 10*pollInterval) != nil {
			return false
		}
	}
	return false
}
