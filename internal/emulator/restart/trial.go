package restart

import (
	"context"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/emulator"
	"ospreyslip/internal/wirejson"
	"ospreyslip/internal/workers"
)

// counts holds the counters of the emulator and the fencing token at one time.
type counts struct {
	starts     int
	ends       map[string]int
	violations int
	token      uint64
}

func (x *Experiment) currentCounts() counts {
	now := counts{starts: x.world.TaskStarts(), ends: x.world.TaskEnds(), violations: len(x.world.Violations())}
	_ = wirejson.Unmarshal(x.world.Store.Value(election.TokenKey), &now.token)
	return now
}

// runTrial kills and restarts controllers once according to the pattern, and measures the effect.
func (x *Experiment) runTrial(ctx context.Context, pause time.Duration) (Result, error) {
	before, tasks := x.currentCounts(), x.setup.Machines*tasksPerMachine
	x.mu.Lock()
	x.gaps = newHistogram()
	x.mu.Unlock()
	servingAt, err := x.restartAll(ctx, pause)
	if err != nil {
		return Result{}, err
	}
	allRunning := x.waitFor(ctx, 3*x.setup.Lease+startTimeout, func() bool { return x.firstAnswerMs(servingAt) >= 0 && len(x.world.RunningTasks()) == tasks })
	allRunningMs := int64(-1)
	if allRunning {
		allRunningMs = time.Since(servingAt).Milliseconds()
	}
	if err := x.sleep(ctx, x.setup.Lease+settleTime); err != nil { // includes later effects of the failover
		return Result{}, err
	}
	after := x.currentCounts()
	result := Result{
		Pattern: x.setup.Pattern, PauseS: pause.Seconds(), Tasks: tasks, Running: len(x.world.RunningTasks()),
		Started: after.starts - before.starts, Lost: lostTasks(after.ends) - lostTasks(before.ends),
		Stopped: after.ends[workers.CauseStopped] - before.ends[workers.CauseStopped], Violations: after.violations - before.violations,
		Terms: after.token - before.token, AnswerMs: x.firstAnswerMs(servingAt), AllRunningMs: allRunningMs,
	}
	for _, controller := range x.processes {
		result.MemoryMB, result.Sockets = max(result.MemoryMB, controller.peakMemoryMB()), max(result.Sockets, controller.openSockets())
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	result.Gaps = x.gaps
	result.P50, result.P99, result.Max = result.Gaps.ValueAtQuantile(50), result.Gaps.ValueAtQuantile(99), result.Gaps.Max()
	return result, nil
}

// lostTasks returns the number of tasks that ended without a command from a controller.
func lostTasks(ends map[string]int) int {
	return ends[emulator.CauseLeaseExpired] + ends[emulator.CauseMachineGone]
}

// firstAnswerMs returns the milliseconds from servingAt until the first answered heartbeat, or -1
// if there was none. It returns 0 if the heartbeat was answered earlier.
func (x *Experiment) firstAnswerMs(servingAt time.Time) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.firstAnsweredAt.IsZero() {
		return -1
	}
	return max(0, x.firstAnsweredAt.Sub(servingAt).Milliseconds())
}

// restartAll kills and restarts controllers according to the pattern, and returns the time at
// which the last one accepted connections.
func (x *Experiment) restartAll(ctx context.Context, pause time.Duration) (servingAt time.Time, err error) {
	groups := [][]*process{x.processes}
	switch x.setup.Pattern {
	case PatternTwice:
		groups = [][]*process{x.processes, x.processes}
	case PatternRolling:
		groups = nil
		for _, controller := range x.processes {
			groups = append(groups, []*process{controller})
		}
	}
	for i, group := range groups {
		if i > 0 {
			if err := x.sleep(ctx, killInterval); err != nil {
				return time.Time{}, err
			}
		}
		for _, controller := range group {
			controller.kill()
		}
		x.mu.Lock()
		x.firstAnsweredAt = time.Time{}
		x.mu.Unlock()
		if err := x.sleep(ctx, pause); err != nil {
			return time.Time{}, err
		}
		if servingAt, err = startAll(group, startTimeout); err != nil {
			return time.Time{}, err
		}
	}
	return servingAt, nil
}
