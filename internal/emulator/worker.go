package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/workers"
)

// WorkerConfig is what all workers have in common.
type WorkerConfig struct {
	HeartbeatInterval, Lease, FetchTime time.Duration
	GangWait, GangStopWindow            time.Duration
	Nodes                               []string          // names, in the order in which they are tried
	Addrs                               map[string]string // where they listen
}

type running struct {
	workers.TaskStatus
	since time.Time
	saves time.Time
}

// Worker plays one machine.
type Worker struct {
	world *World
	pace  WorkerConfig
	rep   workers.Heartbeat // but for its tasks
	kind  jobs.MachineType

	mu       sync.Mutex
	tasks    []*running
	images   map[string]bool
	answered time.Time // when the last report that got an answer was sent
	hung     bool
	slowness float64 // tasks take so many times as long
	dead     bool
	cancel   context.CancelFunc
	nudge    chan struct{}
}

// keepLease ends the tasks with the lease, also while a report waits in vain for
// its answer.
func (w *Worker) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if !w.dead && !w.hung {
			w.expire()
		}
		left := time.Until(w.answered.Add(w.pace.Lease)) + time.Millisecond
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(left, time.Millisecond)):
		}
	}
}

func (w *Worker) run(ctx context.Context) {
	w.world.alive.Go(func() { w.keepLease(ctx) })
	client := &http.Client{Transport: w.world.Network.Transport(w.rep.Machine), Timeout: 4 * time.Second}
	at := 0
	for ctx.Err() == nil {
		next := w.reportOnce(client, at)
		pause := w.pace.HeartbeatInterval
		if next != at {
			at, pause = next, time.Second
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.nudge:
			time.Sleep(w.pace.HeartbeatInterval / 3)
		}
	}
}

// reportOnce returns the node to report to next.
func (w *Worker) reportOnce(client *http.Client, at int) int {
	w.mu.Lock()
	if w.hung || w.dead {
		w.mu.Unlock()
		return at
	}
	w.step()
	rep := w.report()
	w.mu.Unlock()
	sent, other := time.Now(), (at+1)%len(w.pace.Nodes)
	raw, _ := json.Marshal(rep)
	resp, err := client.Post("http://"+w.pace.Addrs[w.pace.Nodes[at]]+"/v1/report", "application/json", bytes.NewReader(raw))
	if err != nil {
		return other
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		var to workers.Redirect
		_ = json.Unmarshal(body, &to)
		for i, n := range w.pace.Nodes {
			if n == to.Leader && i != at {
				return i
			}
		}
		return other
	default:
		return other
	}
	var answer workers.HeartbeatResponse
	if json.Unmarshal(body, &answer) != nil {
		return at
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if w.dead || w.hung || w.rep.AgentEpoch != rep.AgentEpoch || answer.FencingToken < w.rep.FencingToken || answer.FencingToken == 0 {
		return at
	}
	w.see(answer.FencingToken)
	if w.world.HeartbeatAnswered != nil {
		w.world.HeartbeatAnswered(time.Now(), sent.Sub(w.answered))
	}
	w.answered = sent
	w.execute(answer.Commands)
	return at
}

func (w *Worker) see(token uint64) {
	if token > w.rep.FencingToken {
		w.rep.FencingToken = token
		w.poke()
	}
}

func (w *Worker) poke() {
	select {
	case w.nudge <- struct{}{}:
	default:
	}
}

// report raises the counter, as every report and every answer does.
func (w *Worker) report() workers.Heartbeat {
	w.rep.Seq++
	r := w.rep
	r.Tasks = []workers.TaskStatus{}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// step brings the tasks up to now, and ends them with the lease.
func (w *Worker) step() {
	w.expire()
	now := time.Now()
	for _, t := range w.tasks {
		id, n, _ := workers.SplitTask(t.TaskStatus.Name)
		job := w.world.job(id)
		if t.State == workers.StateFetching && (w.images[job.Image] || now.Sub(t.since) >= w.pace.FetchTime) {
			w.images[job.Image] = true
			t.State, t.since = workers.StateRunning, now
			if job.Shape == jobs.Gang {
				t.State = workers.StateGathering
			}
			w.world.started(w, t.TaskStatus)
			w.poke()
		}
		if job != nil && job.Shape == jobs.Gang && (t.State == workers.StateGathering || t.State == workers.StateRunning) {
			was := t.State
			state, cause, saved := w.world.gangStep(w, t)
			if state == workers.StateEnded {
				t.Saved = saved
				w.end(t, cause)
			} else if t.State = state; state != was {
				w.poke()
			}
		}
		if t.State == workers.StateRunning && job.Shape == jobs.Batch && (w.world.wasDone(id, n) || now.Sub(t.since).Seconds() >= job.EstimateS*max(1, w.slowness)) {
			w.end(t, workers.CauseDone)
		}
		if t.State == workers.StateSaving && !now.Before(t.saves) {
			t.Saved = true
			w.end(t, workers.CauseStopped)
		}
	}
}

// expire ends the tasks with the lease.
func (w *Worker) expire() {
	now := time.Now()
	if now.Sub(w.answered) <= w.pace.Lease {
		return
	}
	for _, t := range w.tasks {
		w.world.left(w, t.TaskStatus, EndOfLease)
	}
	w.tasks, w.answered = nil, now
	w.rep.AgentEpoch++
	w.poke()
}

func (w *Worker) end(t *running, cause string) {
	if t.State == workers.StateGathering || t.State == workers.StateRunning || t.State == workers.StateSaving {
		w.world.left(w, t.TaskStatus, cause)
	}
	t.State, t.Cause = workers.StateEnded, cause
	w.poke()
}

func (w *Worker) execute(calls []workers.Command) {
	for _, c := range calls {
		var t *running
		for _, have := range w.tasks {
			if have.TaskStatus.Name == c.Task && have.Attempt == c.Attempt {
				t = have
			}
		}
		switch c.Op {
		case workers.OpRun:
			if t == nil {
				w.start(c)
			}
		case workers.OpStop:
			if t != nil && t.State != workers.StateEnded {
				id, _, _ := workers.SplitTask(c.Task)
				job := w.world.job(id)
				if job.Shape == jobs.Gang && c.GraceS != nil && w.world.gangStop(t, *c.GraceS) {
					continue
				}
				if t.State == workers.StateRunning && job.CheckpntS > 0 && c.GraceS != nil && *c.GraceS >= job.SaveS {
					t.State = workers.StateSaving
					t.saves = time.Now().Add(time.Duration(job.SaveS * float64(time.Second)))
					continue
				}
				w.end(t, workers.CauseStopped)
			}
		case workers.OpClear:
			for i, have := range w.tasks {
				if have == t && t.State == workers.StateEnded {
					w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *Worker) start(c workers.Command) {
	id, n, ok := workers.SplitTask(c.Task)
	job := w.world.job(id)
	t := &running{TaskStatus: workers.TaskStatus{Name: c.Task, Attempt: c.Attempt, State: workers.StateFetching}, since: time.Now()}
	w.tasks = append(w.tasks, t)
	cpus := 0.0
	for _, have := range w.tasks {
		if have.State != workers.StateEnded {
			hid, _, _ := workers.SplitTask(have.TaskStatus.Name)
			if j := w.world.job(hid); j != nil {
				cpus += j.CPUs
			}
			if have != t && have.TaskStatus.Name == c.Task {
				t.State, t.Cause = workers.StateEnded, workers.CauseBusy
				return
			}
		}
	}
	switch {
	case !ok || job == nil || n >= job.Tasks:
		t.State, t.Cause = workers.StateEnded, workers.CauseUnknown
	case cpus > w.kind.CPUs:
		t.State, t.Cause = workers.StateEnded, workers.CauseNoRoom
	}
	w.poke()
}

// ServeHTTP takes orders and inspections.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.hung && !w.dead {
		w.mu.Unlock()
		time.Sleep(w.pace.HeartbeatInterval)
		w.mu.Lock()
	}
	if w.dead {
		rw.WriteHeader(0 + http.StatusBadGateway)
		return
	}
	w.step()
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var o workers.CommandRequest
		_ = json.NewDecoder(r.Body).Decode(&o)
		if o.FencingToken < w.rep.FencingToken || o.AgentEpoch != w.rep.AgentEpoch {
			status = http.StatusConflict
		} else {
			w.see(o.FencingToken)
			w.execute(o.Commands)
			w.step()
		}
	}
	send(rw, status, w.report())
}

// SetSlowness makes tasks take so many times as long.
func (w *Worker) SetSlowness(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowness = times
}

// SetHung stops a machine, or lets it go on. It can go on within its lease only.
func (w *Worker) SetHung(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = on
	if !on {
		w.step()
		return
	}
	time.AfterFunc(time.Until(w.answered.Add(w.pace.Lease+time.Millisecond)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.hung {
			w.expire()
		}
	})
}

// kill takes the machine's power.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	for _, t := range w.tasks {
		w.world.left(w, t.TaskStatus, EndOfMachine)
	}
	w.dead, w.tasks = true, nil
	w.cancel()
	w.world.Network.Attach(w.rep.Machine, w.rep.Addr, nil)
}

func addrOf(i int) string { return fmt.Sprintf("10.1.%d.%d:9000", i/200, i%200+1) }
