// Package dispatch tells workers what they should do: in the answers to their heartbeats, and by
// direct commands where that cannot wait. It keeps track of commands whose outcome is unknown,
// and of machines that do not carry out what they are told.
//
// Nothing here is safe for concurrent use; it belongs to the leader's event loop. Commands are
// sent by goroutines that hand their outcome back to it.
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

// Host is what a dispatcher needs of the other parts of the leader.
type Host interface {
	// IsLeader tells whether leadership is held at this moment.
	IsLeader() bool
	// IsCancelled tells whether a job is known to be cancelled.
	IsCancelled(job string) bool
	// LeaveAlone tells whether a task that no assignment accounts for must not be stopped, as
	// its job, or its assignment, may have been lost.
	LeaveAlone(machine *cluster.Machine, task *workers.TaskStatus) bool
	// Post has a function called on the event loop. It is called by any goroutine.
	Post(ctx context.Context, apply func(now time.Time))
	// PostAfter does so after a while.
	PostAfter(ctx context.Context, delay time.Duration, apply func())
}

// Deps is what a dispatcher works with.
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

// Dispatcher is the commands to workers, queued and under way.
type Dispatcher struct {
	Deps
	queue        []*cluster.Machine        // have something to be told at once
	unresponsive []*cluster.Machine        // the same, but they may not answer
	inFlight     int                       // command requests under way
	inDoubt      map[*cluster.Machine]bool // a superset of those with Commands.InDoubtSince
}

// New makes a dispatcher with nothing to send.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{Deps: deps, inDoubt: map[*cluster.Machine]bool{}}
}

const (
	// unresponsiveShare: one in so many of the command requests under way may go to machines
	// that may not answer.
	unresponsiveShare = 2

	maxRetryDoublings = 8 // of the pause after a command request that failed
	leasesPerRetry    = 4 // pauses are at most one part in so many of a lease
)

// Notify notes that a worker has something to be told at once.
func (d *Dispatcher) Notify(machine *cluster.Machine) {
	if !machine.Commands.NotifyPending {
		machine.Commands.NotifyPending = true
		d.enqueue(machine)
	}
}

// Queued is how many workers have something to be told at once.
func (d *Dispatcher) Queued() int { return len(d.queue) + len(d.unresponsive) }

// enqueue queues a worker that has something to be told. Those that may not answer have a queue
// of their own: a zone that is cut off must not keep the others waiting behind requests that
// time out.
func (d *Dispatcher) enqueue(machine *cluster.Machine) {
	switch {
	case !machine.Commands.NotifyPending:
	case machine.Commands.FailedRequests > 0 || machine.Worker.HeartbeatAt.IsZero():
		d.unresponsive = append(d.unresponsive, machine)
	default:
		d.queue = append(d.queue, machine)
	}
}

// Send tells workers at once what cannot wait for their next heartbeat. A few requests are under
// way at a time: after a failover every worker has to be told.
func (d *Dispatcher) Send(ctx context.Context, now time.Time) {
	limit := d.Derived.Host.CommandsInFlight
	d.sendFrom(ctx, now, &d.queue, limit)
	d.sendFrom(ctx, now, &d.unresponsive, limit/unresponsiveShare)
}

func (d *Dispatcher) sendFrom(ctx context.Context, now time.Time, queue *[]*cluster.Machine, limit int) {
	for len(*queue) > 0 && d.inFlight < limit {
		machine := (*queue)[0]
		*queue = (*queue)[1:]
		if !machine.Commands.NotifyPending || machine.Commands.RequestInFlight {
			continue // nothing any more, or looked at again when that request has returned
		}
		if wait := machine.Commands.RetryAfter.Sub(now); wait > 0 {
			d.Host.PostAfter(ctx, wait, func() { d.enqueue(machine) })
			continue
		}
		machine.Commands.NotifyPending = false
		if d.mayCommand(machine, now) {
			d.sendTo(ctx, machine, now)
		}
	}
}

// mayCommand tells whether commands may go to a machine. While the outcome of earlier ones is
// unknown none does.
func (d *Dispatcher) mayCommand(machine *cluster.Machine, now time.Time) bool {
	worker := &machine.Worker
	return machine.Phase == cluster.Up && worker.Session != 0 && machine.Addr != "" &&
		machine.Commands.InDoubtSince.IsZero() && !now.After(worker.LeaseUntil) && d.Host.IsLeader()
}

func (d *Dispatcher) sendTo(ctx context.Context, machine *cluster.Machine, now time.Time) {
	commands := d.CommandsFor(machine, false)
	token := d.TokenFor(machine)
	if len(commands) == 0 && machine.Worker.Token >= token {
		return
	}
	d.inFlight++
	d.Failover.CommandSent(now)
	machine.Commands.RequestInFlight = true
	d.Detector.CommandSent(machine.ID)
	for _, command := range commands {
		if command.Op == workers.OpRun {
			machine.Commands.StartedByRequest[cluster.CommandRef(&command)] = token
		}
	}
	request := workers.CommandRequest{FencingToken: token, AgentEpoch: machine.Worker.Session, Commands: commands}
	addr := machine.Addr // a heartbeat may change it meanwhile
	go func() {
		heartbeat, executed, err := d.Client.SendCommands(ctx, addr, request)
		d.Host.Post(ctx, func(now time.Time) {
			d.returned(machine, request, commandResponse{heartbeat, executed, err}, now)
		})
	}()
}

// commandResponse is what a worker answered to commands.
type commandResponse struct {
	heartbeat *workers.Heartbeat
	executed  bool
	err       error
}

// neverSent tells whether the commands can certainly not be executed any more: the worker refused
// them, or there was no connection. A connection attempt that was given up does not complete later.
func (r *commandResponse) neverSent() bool {
	var dial *net.OpError
	if errors.As(r.err, &dial) && dial.Op == "dial" {
		return true
	}
	return !r.executed && r.err == nil
}

// returned takes in the outcome of commands. If nobody knows whether they arrived, the starts
// among them are in doubt: they may be executed at any later time while token and session match.
// They are not sent again, nor are their tasks placed elsewhere, until a heartbeat shows them or
// the worker has seen a higher token.
func (d *Dispatcher) returned(machine *cluster.Machine, request workers.CommandRequest, response commandResponse, now time.Time) {
	machine.Commands.RequestInFlight = false
	d.inFlight--
	defer d.enqueue(machine)
	d.settleStarts(machine, request, &response, now)
	if response.err != nil {
		slog.Debug("commands not delivered", "machine", machine.ID, "term", d.Fencing.Current, "reason", response.err)
		d.retryLater(machine, now)
		d.Detector.Suspect(machine.ID)
		return
	}
	machine.Commands.UndeliveredAnswers, machine.Commands.FailedRequests = 0, 0
	d.Detector.MarkReachable(machine.ID)
	d.Detector.CommandAnswered(machine.ID, HeartbeatSeq(response.heartbeat))
	d.Tasks.Observe(machine, response.heartbeat, now)
	for _, a := range machine.Assignments {
		if a.Job.IsOver() && a.Outcome == cluster.Open {
			d.Tasks.EndIfUnsent(a)
		}
	}
}

// settleStarts notes what is known of the starts in a request that has returned.
func (d *Dispatcher) settleStarts(machine *cluster.Machine, request workers.CommandRequest, response *commandResponse, now time.Time) {
	neverSent := response.neverSent()
	for _, command := range request.Commands {
		a := machine.FindAssignment(cluster.CommandRef(&command))
		if command.Op != workers.OpRun || a == nil {
			continue
		}
		a.Start.RequestInFlight = false
		switch {
		case neverSent:
			a.Start.Sent = a.ObservedState != ""
		case response.err != nil && a.ObservedState == "":
			a.Start.InDoubtToken = request.FencingToken
			machine.Commands.InDoubtSince = now
			d.inDoubt[machine] = true
		}
	}
}

// retryLater has a worker told again after a pause that grows with each failure.
func (d *Dispatcher) retryLater(machine *cluster.Machine, now time.Time) {
	commands := &machine.Commands
	pause := d.Derived.Leader.ControlInterval << min(commands.FailedRequests, maxRetryDoublings)
	commands.RetryAfter = now.Add(min(pause, d.Derived.Workers.Lease/leasesPerRetry))
	commands.FailedRequests++
	commands.NotifyPending = true
}

// HeartbeatSeq is where a heartbeat stands in the order of a worker's messages.
func HeartbeatSeq(heartbeat *workers.Heartbeat) liveness.HeartbeatSeq {
	return liveness.HeartbeatSeq{Session: heartbeat.AgentEpoch, Seq: heartbeat.Seq}
}
