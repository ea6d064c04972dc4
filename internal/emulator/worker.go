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
	"ospreyslip/internal/workers"
)

// Of the workers' protocol.
const (
	responseTimeout = 4 * time.Second // for one heartbeat
	retryPause      = time.Second     // before the next node is tried
)

// WorkerConfig is what all workers have in common.
type WorkerConfig struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // of the tasks, from the sending of the last answered heartbeat
	FetchTime         time.Duration // of an image
	GangWait          time.Duration // a gang that is not complete by then ends
	GangStopWindow    time.Duration // within it all tasks of a gang must be told to stop

	Nodes []string          // the controllers' names, in the order in which they are tried
	Addrs map[string]string // where they listen, by name
}

// Worker plays one machine. Its methods may be called by several goroutines. A worker calls
// its world with its own lock held, never the other way round.
type Worker struct {
	world       *World
	config      WorkerConfig
	machineType jobs.MachineType
	cancel      context.CancelFunc // ends run
	changed     chan struct{}      // of one: something is worth a heartbeat before its time

	mu         sync.Mutex
	status     workers.Heartbeat // without tasks
	tasks      []*task
	images     map[string]bool // that were fetched
	answeredAt time.Time       // when the last heartbeat that got an answer was sent
	hung       bool
	dead       bool
	slowness   float64 // tasks take so many times as long
}

// run sends heartbeats until the context ends.
func (w *Worker) run(ctx context.Context) {
	w.world.running.Go(func() { w.keepLease(ctx) })
	client := &http.Client{Transport: w.world.Network.Transport(w.status.Machine), Timeout: responseTimeout}
	node := 0
	for ctx.Err() == nil {
		next := w.sendHeartbeat(client, node)
		pause := w.config.HeartbeatInterval
		if next != node {
			node, pause = next, retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-w.changed:
			time.Sleep(w.config.HeartbeatInterval / 3)
		}
	}
}

// keepLease ends the tasks with the lease, also while a heartbeat waits in vain
// for its answer.
func (w *Worker) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if !w.dead && !w.hung {
			w.expireLease()
		}
		left := time.Until(w.answeredAt.Add(w.config.Lease)) + time.Millisecond
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(max(left, time.Millisecond)):
		}
	}
}

// sendHeartbeat sends a heartbeat to a node and executes the commands in its answer. It
// returns the node to send the next one to; both are indices of the configured nodes.
func (w *Worker) sendHeartbeat(client *http.Client, node int) int {
	w.mu.Lock()
	if w.hung || w.dead {
		w.mu.Unlock()
		return node
	}
	w.advance()
	heartbeat := w.nextHeartbeat()
	w.mu.Unlock()
	sent, otherNode := time.Now(), (node+1)%len(w.config.Nodes)
	raw, _ := json.Marshal(heartbeat)
	url := "http://" + w.config.Addrs[w.config.Nodes[node]] + "/v1/report"
	resp, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return otherNode
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		var response workers.HeartbeatResponse
		if json.Unmarshal(body, &response) == nil {
			w.accept(response, heartbeat.AgentEpoch, sent)
		}
		return node
	case http.StatusMisdirectedRequest:
		var redirect workers.Redirect
		_ = json.Unmarshal(body, &redirect)
		for i, name := range w.config.Nodes {
			if name == redirect.Leader && i != node {
				return i
			}
		}
	}
	return otherNode
}

// accept renews the lease and executes the commands, unless the answer is to a heartbeat of an
// earlier epoch, or its fencing token is not current.
func (w *Worker) accept(response workers.HeartbeatResponse, epoch uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.dead || w.hung || w.status.AgentEpoch != epoch {
		return
	}
	if response.FencingToken < w.status.FencingToken || response.FencingToken == 0 {
		return
	}
	w.raiseToken(response.FencingToken)
	if w.world.HeartbeatAnswered != nil {
		w.world.HeartbeatAnswered(time.Now(), sent.Sub(w.answeredAt))
	}
	w.answeredAt = sent
	w.executeCommands(response.Commands)
}

func (w *Worker) raiseToken(token uint64) {
	if token > w.status.FencingToken {
		w.status.FencingToken = token
		w.signalChange()
	}
}

// signalChange has the next heartbeat sent soon.
func (w *Worker) signalChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// nextHeartbeat raises the sequence number, as every heartbeat and every answer does.
func (w *Worker) nextHeartbeat() workers.Heartbeat {
	w.status.Seq++
	heartbeat := w.status
	heartbeat.Tasks = []workers.TaskStatus{}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// expireLease ends the tasks once the lease is over, and begins the next epoch.
func (w *Worker) expireLease() {
	now := time.Now()
	if now.Sub(w.answeredAt) <= w.config.Lease {
		return
	}
	for _, t := range w.tasks {
		w.world.taskLeft(w, t.TaskStatus, EndOfLease)
	}
	w.tasks, w.answeredAt = nil, now
	w.status.AgentEpoch++
	w.signalChange()
}

// ServeHTTP takes commands and probes.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.hung && !w.dead {
		w.mu.Unlock()
		time.Sleep(w.config.HeartbeatInterval)
		w.mu.Lock()
	}
	if w.dead {
		rw.WriteHeader(http.StatusBadGateway)
		return
	}
	w.advance()
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var request workers.CommandRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		if request.FencingToken < w.status.FencingToken || request.AgentEpoch != w.status.AgentEpoch {
			status = http.StatusConflict
		} else {
			w.raiseToken(request.FencingToken)
			w.executeCommands(request.Commands)
			w.advance()
		}
	}
	writeJSON(rw, status, w.nextHeartbeat())
}

// SetSlowness makes tasks take so many times as long.
func (w *Worker) SetSlowness(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowness = times
}

// SetHung stops a machine, or lets it go on. It can go on within its lease only.
func (w *Worker) SetHung(hung bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hung = hung
	if !hung {
		w.advance()
		return
	}
	time.AfterFunc(time.Until(w.answeredAt.Add(w.config.Lease+time.Millisecond)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.hung {
			w.expireLease()
		}
	})
}

// powerOff ends the machine and everything on it.
func (w *Worker) powerOff() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	for _, t := range w.tasks {
		w.world.taskLeft(w, t.TaskStatus, EndOfMachine)
	}
	w.dead, w.tasks = true, nil
	w.cancel()
	w.world.Network.Attach(w.status.Machine, w.status.Addr, nil)
}
