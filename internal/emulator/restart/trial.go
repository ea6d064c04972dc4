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

	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// Pattern is who is ended.
type Pattern string

// The patterns.
const (
	All     Pattern = "all"     // all at once
	Twice   Pattern = "twice"   // all at once, and again soon after they are back
	Rolling Pattern = "rolling" // one after the other
)

// Patterns lists all of them.
var Patterns = []Pattern{All, Twice, Rolling}

const (
	tasksPerMachine = 4
	betweenEnds     = 2 * time.Second
	startWithin     = 20 * time.Second
	settleFor       = 3 * time.Second
	taskSeconds     = 100_000 // no task ends by itself
	// Distributions are kept in milliseconds, up to ten minutes, to three digits.
	mostMs, digits = 600_000, 3
)

// Setup is what an experiment runs.
type Setup struct {
	Program   string
	Settings  []string // a file for each controller
	UserAddrs []string // where each takes users and workers
	LogDir    string
	Machines  int
	Pattern   Pattern
	Lease     time.Duration
	Progress  io.Writer
}

// Experiment is controllers and the world that they run in.
type Experiment struct {
	Setup
	world *emulator.World
	nodes []*controller

	mu     sync.Mutex
	gaps   *hdrhistogram.Histogram // between two answered reports of a worker
	answer time.Time               // first one since it was last reset
}

// New makes an experiment. Its processes are ended by Stop.
func New(world *emulator.World, s Setup) *Experiment {
	x := &Experiment{Setup: s, world: world, gaps: newHistogram()}
	for i, path := range s.Settings {
		x.nodes = append(x.nodes, &controller{
			program: s.Program, settings: path, addr: s.UserAddrs[i], log: filepath.Join(s.LogDir, fmt.Sprintf("controller-%d.log", i)),
		})
	}
	world.HeartbeatAnswered = x.answered
	return x
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostMs, digits) }

func (x *Experiment) answered(at time.Time, gap time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.gaps.RecordValue(min(mostMs, max(1, gap.Milliseconds())))
	if x.answer.IsZero() {
		x.answer = at
	}
}

// Stop ends all processes.
func (x *Experiment) Stop() {
	for _, c := range x.nodes {
		c.kill()
	}
}

// Result is what one trial has shown.
type Result struct {
	Pattern  Pattern `json:"pattern"`
	PauseS   float64 `json:"pauseS"`
	Trial    int     `json:"trial"`
	Tasks    int     `json:"tasks"`
	Gone     int     `json:"gone"`    // ended by their lease or with their machine
	Begun    int     `json:"begun"`   // starts on the workers' side
	Stopped  int     `json:"stopped"` // by command
	Running  int     `json:"running"` // in the end
	Broken   int     `json:"broken"`  // rules
	Terms    uint64  `json:"terms"`
	AnswerMs int64   `json:"answerMs"` // from the last node serving to the first answered report; -1: none
	WholeMs  int64   `json:"wholeMs"`  // from there until all tasks ran; -1: not in time
	MemoryMB float64 `json:"memoryMB"` // the most that a controller held
	Sockets  int     `json:"sockets"`  // the most that a controller had open in the end
	// Gaps is how long workers were without an answered report.
	Gaps *hdrhistogram.Histogram `json:"-"`
	P50  int64                   `json:"gapP50Ms"`
	P99  int64                   `json:"gapP99Ms"`
	Max  int64                   `json:"gapMaxMs"`
}

// Wrong says what is wrong with a result; it is empty if nothing is.
func (r Result) Wrong() string {
	switch {
	case r.Broken > 0:
		return "rules broken"
	case r.Stopped > 0:
		return "healthy tasks stopped"
	case r.Begun != r.Gone:
		return "other tasks begun than were gone"
	case r.Running != r.Tasks:
		return "not all tasks run"
	}
	return ""
}

// Run fills the fleet and goes through all trials.
func (x *Experiment) Run(ctx context.Context, pauses []time.Duration, trials int) (results []Result, err error) {
	if _, err := startAll(x.nodes, startWithin); err != nil {
		return nil, err
	}
	if err := x.fill(ctx); err != nil {
		return nil, err
	}
	for _, pause := range pauses {
		for trial := range trials {
			fmt.Fprintf(x.Progress, "pause %v, trial %d of %d: %d tasks run\n", pause, trial+1, trials, len(x.world.RunningTasks()))
			r, err := x.trial(ctx, pause)
			if err != nil {
				return results, err
			}
			r.Trial = trial + 1
			results = append(results, r)
		}
	}
	return results, nil
}

// fill submits arrays of two teams until every machine is full.
func (x *Experiment) fill(ctx context.Context) error {
	for i := range x.Machines {
		spec := &jobs.Spec{
			ID: fmt.Sprintf("j-%06d", i+1), Class: "sums", Team: []string{"red", "blue"}[i%2], Shape: jobs.Batch, Priority: jobs.Standard,
			Tasks: tasksPerMachine, CPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: taskSeconds,
		}
		if err := x.submit(ctx, x.UserAddrs[i%len(x.UserAddrs)], spec); err != nil {
			return err
		}
	}
	tasks := x.Machines * tasksPerMachine
	if !x.within(ctx, time.Minute+time.Duration(x.Machines)*200*time.Millisecond, func() bool { return len(x.world.RunningTasks()) == tasks }) {
		return fmt.Errorf("%d of %d tasks run: %w", len(x.world.RunningTasks()), tasks, errNotFull)
	}
	return x.pause(ctx, settleFor)
}

var errNotFull = errors.New("the fleet could not be filled")

func (x *Experiment) submit(ctx context.Context, addr string, spec *jobs.Spec) error {
	body, err := onWire(spec)
	if err != nil {
		return err
	}
	status := 0
	accepted := x.within(ctx, startWithin, func() bool {
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

// onWire is a description as users send it: any zone is null there.
func onWire(spec *jobs.Spec) ([]byte, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	if spec.Zone == "" {
		fields["eyrie"] = nil
	}
	return json.Marshal(fields)
}

// counts is what the workers' side had counted at a moment.
type counts struct {
	starts int
	ends   map[string]int
	broken int
	token  uint64
}

func (x *Experiment) count() counts {
	c := counts{starts: x.world.TaskStarts(), ends: x.world.TaskEnds(), broken: len(x.world.Violations())}
	_ = json.Unmarshal(x.world.Store.Value(election.TokenKey), &c.token)
	return c
}

// trial ends and starts controllers once, in the pattern.
func (x *Experiment) trial(ctx context.Context, pause time.Duration) (Result, error) {
	before, tasks := x.count(), x.Machines*tasksPerMachine
	x.mu.Lock()
	x.gaps = newHistogram()
	x.mu.Unlock()
	serving, err := x.restart(ctx, pause)
	if err != nil {
		return Result{}, err
	}
	whole := x.within(ctx, 3*x.Lease+startWithin, func() bool { return x.answerAfter(serving) >= 0 && len(x.world.RunningTasks()) == tasks })
	wholeMs := int64(-1)
	if whole {
		wholeMs = time.Since(serving).Milliseconds()
	}
	if err := x.pause(ctx, x.Lease+settleFor); err != nil { // whatever else the take-over does
		return Result{}, err
	}
	after := x.count()
	r := Result{
		Pattern: x.Pattern, PauseS: pause.Seconds(), Tasks: tasks, Running: len(x.world.RunningTasks()),
		Begun: after.starts - before.starts, Gone: gone(after.ends) - gone(before.ends),
		Stopped: after.ends[workers.CauseStopped] - before.ends[workers.CauseStopped], Broken: after.broken - before.broken,
		Terms: after.token - before.token, AnswerMs: x.answerAfter(serving), WholeMs: wholeMs,
	}
	for _, c := range x.nodes {
		r.MemoryMB, r.Sockets = max(r.MemoryMB, c.memoryMB()), max(r.Sockets, c.sockets())
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	r.Gaps = x.gaps
	r.P50, r.P99, r.Max = r.Gaps.ValueAtQuantile(50), r.Gaps.ValueAtQuantile(99), r.Gaps.Max()
	return r, nil
}

// gone counts the tasks that no controller has ended.
func gone(ends map[string]int) int { return ends[emulator.EndOfLease] + ends[emulator.EndOfMachine] }

// answerAfter is how many milliseconds after a moment the first report was answered; -1 if none
// was.
func (x *Experiment) answerAfter(serving time.Time) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.answer.IsZero() {
		return -1
	}
	return max(0, x.answer.Sub(serving).Milliseconds())
}

// restart ends and starts controllers, and returns when the last one served.
func (x *Experiment) restart(ctx context.Context, pause time.Duration) (serving time.Time, err error) {
	groups := [][]*controller{x.nodes}
	switch x.Pattern {
	case Twice:
		groups = [][]*controller{x.nodes, x.nodes}
	case Rolling:
		groups = nil
		for _, c := range x.nodes {
			groups = append(groups, []*controller{c})
		}
	}
	for i, group := range groups {
		if i > 0 {
			if err := x.pause(ctx, betweenEnds); err != nil {
				return time.Time{}, err
			}
		}
		for _, c := range group {
			c.kill()
		}
		x.mu.Lock()
		x.answer = time.Time{}
		x.mu.Unlock()
		if err := x.pause(ctx, pause); err != nil {
			return time.Time{}, err
		}
		if serving, err = startAll(group, startWithin); err != nil {
			return time.Time{}, err
		}
	}
	return serving, nil
}

func (x *Experiment) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// within waits for something to become true.
func (x *Experiment) within(ctx context.Context, d time.Duration, is func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if is() {
			return true
		}
		if x.pause(ctx, 10*pollGap) != nil {
			return false
		}
	}
	return false
}
