// Package reconcile decides, task by task, what a worker's picture means for what is stored
// of its machine: what goes on untouched, what is begun, stopped or cleared, and what has to
// wait. It does no I/O and reads no clock. See docs/restart.md for the ways that were weighed.
package reconcile

import (
	"time"

	"ospreyslip/internal/workers"
)

// Action is what is to be done about one task on one machine.
type Action int

// The actions.
const (
	Adopt    Action = iota // it is there as it should be: nothing is sent
	Wait                   // nothing is certain yet, or nothing is due
	Begin                  // it may be sent to its machine
	Restart                // it is certainly off its machine, and not done
	Complete               // it is done
	Stop                   // it has to stop
	Clear                  // its end is taken in: the worker may forget it
	InDoubt                // it may have been begun by a message that is still on its way
)

func (a Action) String() string {
	return [...]string{"adopt", "wait", "begin", "restart", "complete", "stop", "clear", "in doubt"}[a]
}

// Reason is why.
type Reason string

// The reasons. Those of tasks that have ended on their machine are the worker's causes.
const (
	Reported       Reason = "reported as stored"
	SessionOver    Reason = "session over"
	LeaseOver      Reason = "worker lease over"
	NotWritten     Reason = "beginning not written"
	OrderOpen      Reason = "order not answered"
	Absent         Reason = "not on its machine"
	NotWanted      Reason = "never begun, not wanted any more"
	JobOver        Reason = "job over"
	JobCancelled   Reason = "job cancelled"
	MakeRoom       Reason = "asked to stop"
	Saving         Reason = "saving"
	Stray          Reason = "no assignment"
	LossSuspected  Reason = "records may be incomplete"
	GangIncomplete Reason = "gang not whole"
	New            Reason = "assigned"
	EndTakenIn     Reason = "end is written"
	TokenNotShown  Reason = "a copy of its order may come"
	NotHeard       Reason = "machine not heard"
)

// Decision is an action, why it is taken and, if it has to wait, until when at most.
type Decision struct {
	Action Action
	Reason Reason
	Until  time.Time // of Wait, where a time bounds it
	GraceS float64   // of Stop
}

// Attempt is what is stored, and what else is known, of one attempt to run a task on a
// machine.
type Attempt struct {
	Session    uint64 // of the worker, in which it was or is to be begun
	Durable    bool   // its beginning is written
	Ordered    bool   // an order to begin it has no answer yet
	Sent       bool   // a command to begin it went out, and is not known to have failed
	DoubtToken uint64 // a command under this token may still arrive; 0 if there is none
	Seen       string // its state in the newest picture; empty if it was absent
	Ends       bool   // it completes by itself

	JobOver      bool
	JobCancelled bool
	Stopping     bool // it has to make room
	GraceS       float64
	GangWhole    bool // all tasks of its gang may be sent; true for what is no gang
	Incomplete   bool // records may be incomplete: it may be over, or elsewhere
}

// Picture is what a worker's newest message says of an attempt.
type Picture struct {
	Session uint64
	Token   uint64              // the highest that the worker has seen
	Task    *workers.TaskStatus // nil if the worker does not list it
}

// Observe decides what a picture proves of an attempt. Only what no command on its way can
// change is concluded from a task's absence.
func Observe(a Attempt, p Picture) Decision {
	switch {
	case p.Session > a.Session:
		return Decision{Action: Restart, Reason: SessionOver}
	case p.Session < a.Session:
		return Decision{Action: Wait, Reason: NotHeard}
	case p.Task == nil:
		return absent(a, p.Token)
	case p.Task.State != workers.StateEnded:
		return Decision{Action: Adopt, Reason: Reported}
	case p.Task.Cause == workers.CauseDone && a.Ends:
		return Decision{Action: Complete, Reason: Reason(p.Task.Cause)}
	}
	return Decision{Action: Restart, Reason: Reason(p.Task.Cause)}
}

// absent judges an attempt that the newest picture does not show.
func absent(a Attempt, shown uint64) Decision {
	switch {
	case !a.Durable:
		return Decision{Action: Wait, Reason: NotWritten}
	case a.Ordered:
		return Decision{Action: InDoubt, Reason: OrderOpen}
	case a.DoubtToken != 0 && shown <= a.DoubtToken:
		return Decision{Action: InDoubt, Reason: TokenNotShown}
	case a.JobOver || a.Stopping:
		return Decision{Action: Restart, Reason: NotWanted}
	}
	return Decision{Action: Begin, Reason: Absent}
}

// Command decides what a worker is to be told of an attempt.
func Command(a Attempt) Decision {
	there := a.Seen != ""
	switch {
	case !a.Durable:
		return Decision{Action: Wait, Reason: NotWritten}
	case a.JobOver && there:
		return Decision{Action: Stop, Reason: a.whyOver()}
	case a.Stopping && there && a.Seen == workers.StateSaving:
		return Decision{Action: Wait, Reason: Saving}
	case a.Stopping && there:
		return Decision{Action: Stop, Reason: MakeRoom, GraceS: a.GraceS}
	case there:
		return Decision{Action: Adopt, Reason: Reported}
	case a.JobOver || a.Stopping:
		return Decision{Action: Wait, Reason: NotWanted}
	case a.Incomplete:
		return Decision{Action: Wait, Reason: LossSuspected}
	case a.DoubtToken != 0:
		return Decision{Action: InDoubt, Reason: TokenNotShown}
	case a.Sent || a.Ordered:
		return Decision{Action: Wait, Reason: OrderOpen}
	case !a.GangWhole:
		return Decision{Action: Wait, Reason: GangIncomplete}
	}
	return Decision{Action: Begin, Reason: New}
}

func (a Attempt) whyOver() Reason {
	if a.JobCancelled {
		return JobCancelled
	}
	return JobOver
}

// Unassigned is a task that a worker lists and that no attempt accounts for.
type Unassigned struct {
	Ended        bool
	JobCancelled bool
	MaybeLost    bool   // its job, or its attempt, may be missing from the records
	OrderToken   uint64 // of the order that began it; 0 if an answer did, or an earlier leader
	ShownToken   uint64 // the highest that the worker has seen
	Answering    bool   // a report is being answered: no command to begin it can follow
}

// Command decides what a worker is to be told of a task that is not assigned to it.
func (u Unassigned) Command() Decision {
	switch {
	case u.MaybeLost:
		return Decision{Action: InDoubt, Reason: LossSuspected}
	case !u.Ended && u.JobCancelled:
		return Decision{Action: Stop, Reason: JobCancelled}
	case !u.Ended:
		return Decision{Action: Stop, Reason: Stray}
	case u.OrderToken != 0 && u.OrderToken >= u.ShownToken:
		return Decision{Action: Wait, Reason: TokenNotShown}
	case !u.Answering:
		return Decision{Action: Wait, Reason: EndTakenIn}
	}
	return Decision{Action: Clear, Reason: EndTakenIn}
}

// OfEarlierReport decides about a task in a report from before the term. It proves nothing,
// but its answer renews the lease: what is cancelled stops all the same.
func OfEarlierReport(t *workers.TaskStatus, cancelled bool) Decision {
	if cancelled && t.State != workers.StateEnded {
		return Decision{Action: Stop, Reason: JobCancelled}
	}
	return Decision{Action: Wait, Reason: NotHeard}
}

// Unheard decides about an attempt on a machine of which nothing was heard: it may be there
// until the worker's lease must have ended.
func Unheard(leaseUntil, now time.Time) Decision {
	if now.Before(leaseUntil) {
		return Decision{Action: Wait, Reason: NotHeard, Until: leaseUntil}
	}
	return Decision{Action: Restart, Reason: LeaseOver}
}

// OfRecord decides about an attempt that a new leader has found in the records, by these
// alone: its task may be recorded as done, or a later session of its worker.
func OfRecord(a Attempt, taskDone bool, newestSession uint64, leaseUntil time.Time) Decision {
	switch {
	case taskDone:
		return Decision{Action: Complete, Reason: Reason(workers.CauseDone)}
	case a.Session < newestSession:
		return Decision{Action: Restart, Reason: SessionOver}
	}
	return Decision{Action: Wait, Reason: NotHeard, Until: leaseUntil}
}
