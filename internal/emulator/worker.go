package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/wirejson"
	"ospreyslip/internal/workers"
)

// Timing of the workers' protocol.
const (
	responseTimeout = 4 * time.Second // response timeout of a heartbeat
	retryPause      = time.Second     // delay before another controller is tried
)

// WorkerConfig is the configuration that all workers share.
type WorkerConfig struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // worker lease, counted from when the last answered heartbeat was sent
	FetchTime         time.Duration // time to fetch an image
	GangWait          time.Duration // a gang task ends if its gang is not complete after this time
	GangStopWindow    time.Duration // time within which all tasks of a gang must be told to stop

	Controllers     []string          // names of the controllers in the order in which workers try them
	ControllerAddrs map[string]string // addresses of the controllers, by name
}

// Worker emulates the worker on one machine. Its methods are safe for concurrent use. A Worker
// calls its World with its own lock held, so a World must not call a Worker with the World's lock
// held.
type Worker struct {
	world              *World
	config             WorkerConfig
	machineType        jobs.MachineType
	cancel             context.CancelFunc // stops run
	heartbeatRequested chan struct{}      // capacity 1; requests a heartbeat ahead of schedule

	mu             sync.Mutex
	status         workers.Heartbeat // heartbeat to send, without tasks
	tasks          []*task
	images         map[string]bool // names of the images that were fetched
	leaseStartedAt time.Time       // start of the lease: when the last answered heartbeat was sent
	hung           bool
	poweredOff     bool
	slowness       float64 // factor by which run times of batch tasks grow; below 1 has no effect
}

// run sends heartbeats until ctx is done. If a controller does not accept one, it tries another.
func (w *Worker) run(ctx context.Context) {
	w.world.goroutines.Go(func() { w.enforceLease(ctx) })
	client := &http.Client{Transport: w.world.Network.Transport(w.status.Machine), Timeout: responseTimeout}
	controller := 0
	for ctx.Err() == nil {
		next := w.sendHeartbeat(client, controller)
		pause := w.config.HeartbeatInterval
		if next != controller {
			controller, pause = next, retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.heartbeatRequested:
			time.Sleep(w.config.HeartbeatInterval / 3)
		}
	}
}

// enforceLease ends the tasks when the lease expires. It has its own goroutine, because run may
// be blocked on a heartbeat that gets no response.
func (w *Worker) enforceLease(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if !w.poweredOff && !w.hung {
			w.expireLease()
		}
		remaining := time.Until(w.leaseStartedAt.Add(w.config.Lease)) + time.Millisecond
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(remaining, time.Millisecond)):
		}
	}
}

// sendHeartbeat sends a heartbeat to a controller and executes the commands in the response. It
// returns the controller for the next heartbeat. Both are indices into config.Controllers.
func (w *Worker) sendHeartbeat(client *http.Client, controller int) int {
	w.mu.Lock()
	if w.hung || w.poweredOff {
		w.mu.Unlock()
		return controller
	}
	w.advance()
	heartbeat := w.nextHeartbeat()
	w.mu.Unlock()
	sentAt, nextController := time.Now(), (controller+1)%len(w.config.Controllers)
	raw, _ := json.Marshal(heartbeat)
	w.checkSize("report", len(raw))
	url := "http://" + w.config.ControllerAddrs[w.config.Controllers[controller]] + "/v1/report"
	resp, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return nextController
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	w.checkSize("response to a report", len(body))
	switch resp.StatusCode {
	case http.StatusOK:
		var response workers.HeartbeatResponse
		if wirejson.Unmarshal(body, &response) == nil {
			w.applyResponse(response, heartbeat.AgentEpoch, sentAt)
		}
		return controller
	case http.StatusMisdirectedRequest:
		var redirect workers.Redirect
		_ = wirejson.Unmarshal(body, &redirect)
		for i, name := range w.config.Controllers {
			if name == redirect.Leader && i != controller {
				return i
			}
		}
	}
	return nextController
}

// checkSize records a violation if a message is larger than the protocol allows.
func (w *Worker) checkSize(message string, bytes int) {
	if bytes <= workers.MaxMessageBytes {
		return
	}
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.world.traceLog.recordViolation("message too large: %s of %s has %d bytes", message, w.status.Machine, bytes)
}

// applyResponse renews the lease and executes the commands in a response. It ignores responses to
// heartbeats of an earlier agent epoch and those with an outdated or missing fencing token.
func (w *Worker) applyResponse(response workers.HeartbeatResponse, epoch uint64, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.poweredOff || w.hung || w.status.AgentEpoch != epoch {
		return
	}
	if response.FencingToken < w.status.FencingToken || response.FencingToken == 0 {
		return
	}
	w.raiseFencingToken(response.FencingToken)
	if w.world.HeartbeatAnswered != nil {
		w.world.HeartbeatAnswered(time.Now(), sentAt.Sub(w.leaseStartedAt))
	}
	w.leaseStartedAt = sentAt
	w.executeCommands(response.Commands)
}

func (w *Worker) raiseFencingToken(token uint64) {
	if token > w.status.FencingToken {
		w.status.FencingToken = token
		w.requestHeartbeat()
	}
}

// requestHeartbeat requests a heartbeat ahead of schedule.
func (w *Worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default:
	}
}

// nextHeartbeat returns the current status of the worker under a new sequence number, which every
// heartbeat and every response to a controller needs.
func (w *Worker) nextHeartbeat() workers.Heartbeat {
	w.status.Seq++
	heartbeat := w.status
	heartbeat.Tasks = []workers.TaskStatus{}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// expireLease ends all tasks and starts a new agent epoch if the lease has expired.
func (w *Worker) expireLease() {
	now := time.Now()
	if now.Sub(w.leaseStartedAt) <= w.config.Lease {
		return
	}
	for _, t := range w.tasks {
		w.world.taskLeft(w, t.TaskStatus, CauseLeaseExpired)
	}
	w.tasks, w.leaseStartedAt = nil, now
	w.status.AgentEpoch++
	w.requestHeartbeat()
}

// ServeHTTP implements http.Handler for commands and probes. A hung worker does not respond until
// it resumes or is powered off.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.hung && !w.poweredOff {
		w.mu.Unlock()
		time.Sleep(w.config.HeartbeatInterval)
		w.mu.Lock()
	}
	if w.poweredOff {
		rw.WriteHeader(http.StatusBadGateway)
		return
	}
	w.advance()
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var request workers.CommandRequest
		raw, _ := io.ReadAll(r.Body)
		w.checkSize("direct command", len(raw))
		_ = wirejson.Unmarshal(raw, &request)
		if request.FencingToken < w.status.FencingToken || request.AgentEpoch != w.status.AgentEpoch {
			status = http.StatusConflict
		} else {
			w.raiseFencingToken(request.FencingToken)
			w.executeCommands(request.Commands)
			w.advance()
		}
	}
	writeJSON(rw, status, w.nextHeartbeat())
}

// SetSlowness sets the factor by which batch tasks take longer.
func (w *Worker) SetSlowness(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowness = factor
}

// SetHung suspends or resumes the worker. Its tasks end when the lease expires, also while it is
// suspended.
func (w *Worker) SetHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = hung
	if !hung {
		w.advance()
		return
	}
	time.AfterFunc(time.Until(w.leaseStartedAt.Add(w.config.Lease+time.Millisecond)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.hung {
			w.expireLease()
		}
	})
}

// powerOff stops the machine, ends its tasks and disconnects it from the network.
func (w *Worker) powerOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.poweredOff {
		return
	}
	for _, t := range w.tasks {
		w.world.taskLeft(w, t.TaskStatus, CauseMachineGone)
	}
	w.poweredOff, w.tasks = true, nil
	w.cancel()
	w.world.Network.Attach(w.status.Machine, w.status.Addr, nil)
}
