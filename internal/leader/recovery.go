package leader

import (
	"context"
	"errors"
	"time"

	"ospreyslip/internal/leader/assignmentlog"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/recovery"
	"ospreyslip/internal/recovery/detection"
)

// This file connects package recoverer, which recovers lost records, with the rest of the leader:
// the recovery's configuration and the requests of other goroutines to it.

// recoveryConfig returns the configuration of the leader's recovery.
func recoveryConfig(l *Leader) recoverer.Config {
	return recoverer.Config{
		Settings: l.Settings, Derived: l.Derived, ControllerName: l.ControllerName, Term: l.term, AttemptBits: attemptBits,
		Store: l.Store, Cache: l.Cache, Peers: l.Peers,
		IsLeader:      func() bool { return l.IsLeader() },
		Post:          l.post,
		Leader:        recoveryHost{l},
		State:         l.state,
		AssignmentLog: func() *assignmentlog.Log { return l.log },
	}
}

// recoverRecords does the recovery work that is due at a tick.
func (l *Leader) recoverRecords(ctx context.Context, now time.Time) {
	l.recovery.EndAdoptions(now)
	if l.loop.tickGroup == 0 {
		l.recovery.RunUncertainJobs(now)
	}
	l.recovery.Advance(ctx, now)
}

// applyTokenRaise applies a raise of the fencing token that is now durable. If the raise replaces a
// token that the store has lost, this term begins with the raised token: heartbeats and attempt
// numbers below it belong to earlier terms.
func (l *Leader) applyTokenRaise() {
	l.TokenRaised(l.fencing.Current)
	if l.fencing.RaiseAbove < l.fencing.TermToken {
		return
	}
	l.fencing.TermToken = l.fencing.Current
	l.tasks.ReserveAttempts(l.fencing.Current << attemptBits)
	for _, machine := range l.state.Machines.All {
		for _, assignment := range machine.Assignments {
			if assignment.Start.InDoubtToken != 0 {
				// A command under any earlier token may still arrive.
				assignment.Start.InDoubtToken = l.fencing.Current - 1
			}
		}
	}
}

// RecoveryPhase returns the recovery phase of this controller's leader, or NotRecovering if there is
// none.
func (h *Handle) RecoveryPhase() recoverer.Phase {
	if l := h.leader.Load(); l != nil {
		return l.recovery.Phase()
	}
	return recoverer.NotRecovering
}

// StoreRolledBack reports whether this controller's leader knows that records may lack changes that
// were acknowledged to users.
func (h *Handle) StoreRolledBack() bool {
	l := h.leader.Load()
	return l != nil && l.recovery.RolledBack()
}

// ReportLoss passes evidence of lost records to this controller's leader, and reports whether there
// is one.
func (h *Handle) ReportLoss(loss detection.Evidence) bool {
	l := h.leader.Load()
	if l == nil {
		return false
	}
	l.post(context.Background(), func(now time.Time) { l.recovery.ReportLoss(loss, now) })
	return true
}

// Recovery returns the recovery status of this controller's leader. It returns ErrNotLeading if
// there is none.
func (h *Handle) Recovery(ctx context.Context) (recoverer.Status, error) {
	return callEventLoop(ctx, h, func(l *Leader, _ time.Time, reply func(recoverer.Status)) { reply(l.recovery.Status()) })
}

// Settle applies an operator's decision about a held job, unless proof contradicts it. It returns
// when the job's record is durable. It fails with ErrNotLeading, an error of ctx, or one that
// recoverer.Recoverer.Settle documents.
func (h *Handle) Settle(ctx context.Context, id string, settlement recovery.Settlement) error {
	outcome, err := callEventLoop(ctx, h, func(l *Leader, now time.Time, reply func(error)) {
		l.recovery.Settle(ctx, id, settlement, now, reply)
	})
	return errors.Join(err, outcome)
}

// Import imports a part of a snapshot. It fails with ErrNotLeading, an error of ctx, or one that
// recoverer.Recoverer.Import documents.
func (h *Handle) Import(ctx context.Context, part recoverer.ImportRequest) (recoverer.ImportResult, error) {
	type importReply struct {
		recoverer.ImportResult
		err error
	}
	out, err := callEventLoop(ctx, h, func(l *Leader, now time.Time, reply func(importReply)) {
		count, err := l.recovery.Import(part, now)
		reply(importReply{count, err})
	})
	return out.ImportResult, errors.Join(err, out.err)
}
