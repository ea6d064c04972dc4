package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Timing and limits of the workers' protocol.
const (
	answerTimeout = 4 * time.Second
	nextNodePause = time.Second
	reportGap     = 500 * time.Millisecond
	stepPeriod    = 50 * time.Millisecond
	maxBodyBytes  = 64 << 10
	maxLineBytes  = 64 << 10
)

// worker is a stand-in for the worker on one machine.
type worker struct {
	rig  *rig
	m    *machine
	addr string
	stop context.CancelFunc

	mu         sync.Mutex
	soar, beat uint64
	crest      uint64
	leaseFrom  time.Time // when the last answered report was sent, or the session began
	tasks      []*task
	images     map[string]bool
	slowness   float64 // factor by which tasks run longer
	mute       bool    // it reaches no controller
	off        bool
	steppedAt  time.Time
	changed    chan struct{} // capacity 1
}

// task is an attempt on a worker.
type task struct {
	Talon  string `json:"talon"`
	Dive   uint64 `json:"dive"`
	Stance string `json:"stance"`
	Cause  string `json:"cause,omitempty"`

	job       *submission
	fetchLeft float64
	runLeft   float64
}

type call struct {
	Call  string `json:"call"`
	Talon string `json:"talon"`
	Dive  uint64 `json:"dive"`
}

func startWorker(r *rig, m *machine, listener net.Listener) *worker {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	w := &worker{
		rig: r, m: m, addr: listener.Addr().String(), stop: cancel, soar: 1, leaseFrom: now, steppedAt: now,
		images: map[string]bool{}, slowness: 1, changed: make(chan struct{}, 1),
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go w.stepLoop(ctx)
	go w.reportLoop(ctx)
	return w
}

// stepLoop lets time pass for the tasks and the lease.
func (w *worker) stepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(stepPeriod)
		w.mu.Lock()
		w.step()
		w.mu.Unlock()
	}
}

// step brings tasks and lease up to date. w.mu must be held.
func (w *worker) step() {
	now := time.Now()
	passed := now.Sub(w.steppedAt).Seconds()
	w.steppedAt = now
	if w.off {
		return
	}
	if now.Sub(w.leaseFrom) > w.rig.lease {
		if len(w.tasks) > 0 {
			w.rig.record.add("worker", "%s: lease ended, %d tasks killed", w.m.id, len(w.tasks))
		}
		w.killAll("lease")
		w.soar++
		w.leaseFrom = now
		w.noteChange()
	}
	for _, t := range w.tasks {
		switch t.Stance {
		case "fetching":
			if t.fetchLeft -= passed; w.images[t.job.Plumage] || t.fetchLeft <= 0 {
				w.images[t.job.Plumage] = true
				t.Stance = "running"
				w.rig.truth.started(t.Talon, w.m.id)
				w.noteChange()
			}
		case "running":
			if t.job.Shape != "batch" {
				continue
			}
			if t.runLeft -= passed / w.slowness; t.runLeft <= 0 || w.rig.truth.isDone(t.Talon) {
				w.end(t, "done")
			}
		}
	}
}

// end ends a task. w.mu must be held.
func (w *worker) end(t *task, cause string) {
	if t.Stance == "running" {
		w.rig.truth.left(t.Talon, w.m.id, cause)
	}
	t.Stance, t.Cause = "ended", cause
	w.noteChange()
}

// killAll forgets all tasks. w.mu must be held.
func (w *worker) killAll(cause string) {
	for _, t := range w.tasks {
		if t.Stance == "running" {
			w.rig.truth.left(t.Talon, w.m.id, cause)
		}
	}
	w.tasks = nil
}

// powerOff ends the machine and all that is on it.
func (w *worker) powerOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.off = true
	w.killAll("machine gone")
	w.stop()
}

// setSlowness makes tasks run longer by a factor.
func (w *worker) setSlowness(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	w.slowness = factor
}

// setMute keeps the worker from reaching any controller, or ends that.
func (w *worker) setMute(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = on
}

func (w *worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the worker's report under a new beat. w.mu must be held.
func (w *worker) report() []byte {
	w.beat++
	talons := w.tasks
	if talons == nil {
		talons = []*task{}
	}
	raw, _ := json.Marshal(map[string]any{
		"host": w.m.id, "addr": w.addr, "perchKind": w.m.kind.Label, "eyrie": w.m.zone, "driftwood": w.m.spot,
		"soar": w.soar, "beat": w.beat, "crest": w.crest, "warningS": nil, "talons": talons,
	})
	return raw
}

// reportLoop sends reports, one at a time, to one node until it has to try another.
func (w *worker) reportLoop(ctx context.Context) {
	client := &http.Client{Timeout: answerTimeout}
	node := rand.N(len(w.rig.nodes))
	for ctx.Err() == nil {
		next, pause := w.sendReport(client, node)
		if pause == 0 {
			pause = time.Duration((0.75 + rand.Float64()/2) * float64(w.rig.reportEvery))
		}
		if next != node {
			client.CloseIdleConnections()
		}
		node = next
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.changed:
			time.Sleep(min(reportGap, pause))
		}
	}
}

// sendReport sends a report and carries out the answer. It returns the node for the next report,
// and a pause before it, or 0 for the usual one.
func (w *worker) sendReport(client *http.Client, node int) (next int, pause time.Duration) {
	w.mu.Lock()
	w.step()
	raw, soar, sentAt, mute := w.report(), w.soar, time.Now(), w.mute
	w.mu.Unlock()
	if mute {
		return (node + 1) % len(w.rig.nodes), nextNodePause // the connection cannot be opened
	}
	other := (node + 1) % len(w.rig.nodes)
	response, err := client.Post("http://"+w.rig.nodes[node].bind+"/v1/report", "application/json", bytes.NewReader(raw))
	if err != nil {
		return other, nextNodePause
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return other, nextNodePause
	}
	switch response.StatusCode {
	case http.StatusOK:
		if tooLong := longestLine(body); tooLong > maxLineBytes {
			w.rig.record.add("worker", "%s: answer with a line of %d bytes, which the protocol forbids", w.m.id, tooLong)
			return other, nextNodePause
		}
		w.applyAnswer(body, soar, sentAt)
		return node, 0
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Nest string `json:"nest"`
		}
		_ = json.Unmarshal(body, &redirect)
		for i, n := range w.rig.nodes {
			if n.name == redirect.Nest && i != node {
				return i, 100 * time.Millisecond
			}
		}
	case http.StatusBadRequest:
		w.rig.record.add("worker", "%s: report of %d bytes with %d tasks answered 400", w.m.id, len(raw), strings.Count(string(raw), `"dive"`))
	}
	return other, nextNodePause
}

func longestLine(body []byte) (longest int) {
	for _, line := range bytes.Split(body, []byte("\n")) {
		longest = max(longest, len(line))
	}
	return longest
}

func (w *worker) applyAnswer(body []byte, soar uint64, sentAt time.Time) {
	var answer struct {
		Crest uint64 `json:"crest"`
		Calls []call `json:"calls"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if w.off || w.soar != soar || answer.Crest == 0 || answer.Crest < w.crest {
		return
	}
	w.raise(answer.Crest)
	w.leaseFrom = sentAt
	w.execute(answer.Calls)
}

// raise notes a token. w.mu must be held.
func (w *worker) raise(crest uint64) {
	if crest > w.crest {
		w.crest = crest
		w.noteChange()
	}
}

// execute carries out commands in order. w.mu must be held.
func (w *worker) execute(calls []call) {
	for _, c := range calls {
		var known *task
		at := 0
		for i, t := range w.tasks {
			if t.Talon == c.Talon && t.Dive == c.Dive {
				known, at = t, i
			}
		}
		switch {
		case c.Call == "run" && known == nil:
			w.add(c)
		case c.Call == "stop" && known != nil && known.Stance != "ended":
			w.end(known, "stopped")
		case c.Call == "clear" && known != nil && known.Stance == "ended":
			w.tasks = append(w.tasks[:at], w.tasks[at+1:]...)
		}
	}
}

// add adds a task, or the refusal of one. w.mu must be held.
func (w *worker) add(c call) {
	job := w.rig.truth.uploaded(strings.SplitN(c.Talon, "/", 2)[0])
	added := &task{Talon: c.Talon, Dive: c.Dive, Stance: "fetching", job: job}
	vcpus, ram := 0.0, 0.0
	for _, t := range w.tasks {
		if t.Stance == "ended" {
			continue
		}
		vcpus, ram = vcpus+t.job.VCPUs, ram+t.job.RAMGB
		if t.Talon == c.Talon {
			added.Stance, added.Cause = "ended", "busy"
		}
	}
	switch {
	case job == nil:
		added.Stance, added.Cause = "ended", "unknown"
	case added.Stance != "ended" && (vcpus+job.VCPUs > w.m.kind.VCPUs+1e-6 || ram+job.RAMGB > w.m.kind.RAMGB+1e-6):
		added.Stance, added.Cause = "ended", "no_room"
	case job != nil:
		added.fetchLeft, added.runLeft = job.ImageGB/w.m.kind.FetchGBPerS, job.trueRunS(c.Talon)
	}
	w.tasks = append(w.tasks, added)
	w.noteChange()
}

// ServeHTTP implements http.Handler for direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return
	}
	if len(body) > maxBodyBytes {
		w.rig.record.add("worker", "%s: command request over 64 KiB, which the protocol forbids", w.m.id)
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.step()
	if w.off {
		return
	}
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var request struct {
			Crest uint64 `json:"crest"`
			Soar  uint64 `json:"soar"`
			Calls []call `json:"calls"`
		}
		switch err := json.Unmarshal(body, &request); {
		case err != nil || request.Crest == 0 || request.Soar == 0:
			reply(rw, http.StatusBadRequest, nil)
			return
		case request.Crest < w.crest || request.Soar != w.soar:
			status = http.StatusConflict
		default:
			w.raise(request.Crest)
			w.execute(request.Calls)
		}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(w.report())
}
