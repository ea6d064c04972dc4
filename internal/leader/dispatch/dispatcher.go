// Package dispatch sends commands to workers: in the responses to their heartbeats, and in direct
// requests where a command cannot wait for the next heartbeat. It tracks commands whose outcome is
// unknown, and machines that do not execute their commands.
//
// The package is not safe for concurrent use: all calls are made on the leader's event loop. Each
// command request is sent by a goroutine that posts its outcome back to the event loop.
package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"ospreyslip/internal/leader/cluster"
	"ospreyslip/internal/leader/fencing"
	"ospreyslip/internal/leader/planner"
	"ospreyslip/internal/leader/tasks"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/reconcile"
	"ospreyslip/internal/settings"
	"ospreyslip/internal/workers"
)

// Host provides what a dispatcher needs from the other parts of the leader.
type Host interface {
	// IsLeader reports whether this controller holds the leadership lease now.
	IsLeader() bool
	// IsCancelled reports whether the job is known to be cancelled.
	IsCancelled(job string) bool
	// MustKeepOrphan reports whether an orphaned task must be neither stopped nor cleared because
	// the record of its job or its assignment may have been lost.
	MustKeepOrphan(machine *cluster.Machine, task *workers.TaskStatus) bool
	// Post runs a function on the event loop. It may be called by any goroutine.
	Post(ctx context.Context, apply func(now time.Time))
	// PostAfter runs a function on the event loop after a delay.
	PostAfter(ctx context.Context, delay time.Duration, apply func())
}

// Deps holds the dependencies of a dispatcher.
type Deps struct {
	Derived  settings.Derived
	Client   *workers.Client
	State    *cluster.State
	Catalog  *cluster.Catalog
	Fencing  *fencing.Token
	Detector *liveness.Detector
	Failover *reconcile.Failover
	Planner  *planner.Planner
	Tasks    *tasks.Manager
	Host     Host
}

// Dispatcher sends commands to workers and limits the requests in flight.
type Dispatcher struct {
	Deps
	responsiveQueue   []*cluster.Machine        // machines to be sent a command request
	unresponsiveQueue []*cluster.Machine        // the same for machines that may not respond
	requestsInFlight  int                       // command requests in flight
	machinesInDoubt   map[*cluster.Machine]bool // superset of those with Commands.InDoubtSince
}

// New returns a dispatcher with empty queues.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{Deps: deps, machinesInDoubt: map[*cluster.Machine]bool{}}
}

const (
	// unresponsiveLimitDivisor divides the limit of command requests in flight: the quotient is
	// the limit for machines that may not respond.
	unresponsiveLimitDivisor = 2

	maxRetryDoublings      = 8 // of the delay after a failed command request
	retryDelayLeaseDivisor = 4 // the retry delay is at most the worker's lease divided by this
)

// Notify queues a command request to the machine's worker, unless one is queued already.
func (d *Dispatcher) Notify(machine *cluster.Machine) {
	if !machine.Commands.NotifyPending {
		machine.Commands.NotifyPending = true
		d.enqueue(machine)
	}
}

// QueueLength returns the number of queue entries, each for a machine to be sent a command request.
func (d *Dispatcher) QueueLength() int { return len(d.responsiveQueue) + len(d.unresponsiveQueue) }

// enqueue queues a machine that has a notification pending. Machines that may not respond have a
// queue of their own, so that requests to a partitioned zone, which time out, do not delay requests
// to the other machines.
func (d *Dispatcher) enqueue(machine *cluster.Machine) {
	switch {
	case !machine.Commands.NotifyPending:
	case machine.Commands.FailedRequests > 0 || machine.Worker.HeartbeatAt.IsZero():
		d.unresponsiveQueue = append(d.unresponsiveQueue, machine)
	default:
		d.responsiveQueue = append(d.responsiveQueue, machine)
	}
}

// Send starts command requests to queued machines up to the limit of requests in flight. The limit
// bounds the burst after a failover, when every worker may have to be sent a request.
func (d *Dispatcher) Send(ctx context.Context, now time.Time) {
	limit := d.Derived.Host.CommandsInFlight
	d.sendQueued(ctx, now, &d.responsiveQueue, limit)
	d.sendQueued(ctx, now, &d.unresponsiveQueue, limit/unresponsiveLimitDivisor)
}

func (d *Dispatcher) sendQueued(ctx context.Context, now time.Time, queue *[]*cluster.Machine, limit int) {
	for len(*queue) > 0 && d.requestsInFlight < limit {
		machine := (*queue)[0]
		*queue = (*queue)[1:]
		if !machine.Commands.NotifyPending || machine.Commands.RequestInFlight {
			continue // nothing left to send, or queued again when the request in flight returns
		}
		if wait := machine.Commands.RetryAfter.Sub(now); wait > 0 {
			d.Host.PostAfter(ctx, wait, func() { d.enqueue(machine) })
			continue
		}
		machine.Commands.NotifyPending = false
		if d.mayCommand(machine, now) {
			d.sendCommands(ctx, machine, now)
		}
	}
}

// mayCommand reports whether command requests may be sent to the machine. None is sent while the
// outcome of an earlier one is unknown.
func (d *Dispatcher) mayCommand(machine *cluster.Machine, now time.Time) bool {
	worker := &machine.Worker
	return machine.Phase == cluster.Up && worker.AgentEpoch != 0 && machine.Addr != "" &&
		machine.Commands.InDoubtSince.IsZero() && !now.After(worker.LeaseUntil) && d.Host.IsLeader()
}

func (d *Dispatcher) sendCommands(ctx context.Context, machine *cluster.Machine, now time.Time) {
	commands := d.CommandsFor(machine, false)
	token := d.TokenFor(machine)
	if len(commands) == 0 && machine.Worker.Token >= token {
		return
	}
	d.requestsInFlight++
	d.Failover.CommandSent(now)
	machine.Commands.RequestInFlight = true
	d.Detector.CommandSent(machine.ID)
	for _, command := range commands {
		if command.Op == workers.OpRun {
			machine.Commands.StartedByRequest[cluster.CommandRef(&command)] = token
		}
	}
	request := workers.CommandRequest{FencingToken: token, AgentEpoch: machine.Worker.AgentEpoch, Commands: commands}
	addr := machine.Addr // read here, as a heartbeat may change it while the goroutine runs
	go func() {
		heartbeat, executed, err := d.Client.SendCommands(ctx, addr, request)
		d.Host.Post(ctx, func(now time.Time) {
			d.handleResponse(machine, request, commandResponse{heartbeat, executed, err}, now)
		})
	}()
}

// commandResponse is the result of a command request.
type commandResponse struct {
	heartbeat *workers.Heartbeat
	executed  bool
	err       error
}

// neverExecuted reports whether the commands were not executed and never will be: the worker
// refused them, or no connection was established. An abandoned connection attempt does not
// complete later.
func (r *commandResponse) neverExecuted() bool {
	var dial *net.OpError
	if errors.As(r.err, &dial) && dial.Op == "dial" {
		return true
	}
	return !r.executed && r.err == nil
}

// handleResponse processes the outcome of a command request. If it is unknown whether the request
// arrived, the start commands in it are in doubt: the worker may execute them at any later time as
// long as their token and agent epoch match its own. They are not sent again, and their tasks are
// not placed elsewhere, until a heartbeat lists the tasks or the worker has seen a higher token.
func (d *Dispatcher) handleResponse(machine *cluster.Machine, request workers.CommandRequest, response commandResponse, now time.Time) {
	machine.Commands.RequestInFlight = false
	d.requestsInFlight--
	defer d.enqueue(machine)
	d.updateStarts(machine, request, &response, now)
	if response.err != nil {
		slog.Debug("commands not delivered", "machine", machine.ID, "term", d.Fencing.Current, "reason", response.err)
		d.scheduleRetry(machine, now)
		d.Detector.Suspect(machine.ID)
		return
	}
	machine.Commands.UndeliveredResponses, machine.Commands.FailedRequests = 0, 0
	d.Detector.MarkReachable(machine.ID)
	d.Detector.CommandAnswered(machine.ID, HeartbeatSeq(response.heartbeat))
	d.Tasks.Observe(machine, response.heartbeat, now)
	for _, a := range machine.Assignments {
		if a.Job.IsFinished() && a.Outcome == cluster.Open {
			d.Tasks.EndIfUnsent(a)
		}
	}
}

// updateStarts updates the assignments whose start commands were in a request that has returned.
func (d *Dispatcher) updateStarts(machine *cluster.Machine, request workers.CommandRequest, response *commandResponse, now time.Time) {
	neverExecuted := response.neverExecuted()
	for _, command := range request.Commands {
		a := machine.FindAssignment(cluster.CommandRef(&command))
		if command.Op != workers.OpRun || a == nil {
			continue
		}
		a.Start.RequestInFlight = false
		switch {
		case neverExecuted:
			a.Start.Sent = a.ObservedState != ""
		case response.err != nil && a.ObservedState == "":
			a.Start.InDoubtToken = request.FencingToken
			machine.Commands.InDoubtSince = now
			d.machinesInDoubt[machine] = true
		}
	}
}

// scheduleRetry schedules another command request after a delay that doubles with each failure.
func (d *Dispatcher) scheduleRetry(machine *cluster.Machine, now time.Time) {
	commands := &machine.Commands
	delay := d.Derived.Leader.ControlInterval << min(commands.FailedRequests, maxRetryDoublings)
	commands.RetryAfter = now.Add(min(delay, d.Derived.Workers.Lease/retryDelayLeaseDivisor))
	commands.FailedRequests++
	commands.NotifyPending = true
}

// HeartbeatSeq returns the position of a heartbeat in the sequence of a worker's messages.
func HeartbeatSeq(heartbeat *workers.Heartbeat) liveness.HeartbeatSeq {
	return liveness.HeartbeatSeq{AgentEpoch: heartbeat.AgentEpoch, Seq: heartbeat.Seq}
}
