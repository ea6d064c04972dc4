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

// This file connects the recovery of lost records, package recoverer, with the rest of the
// leader: what the recovery is given, and what other goroutines ask of it.

// recoveryConfig is what the recovery of this leader works with.
func recoveryConfig(l *Leader) recoverer.Config {
	return recoverer.Config{
		Settings: l.Settings, Derived: l.Derived, Node: l.Node, Term: l.term, AttemptBits: attemptBits,
		Store: l.Store, Cache: l.Cache, Peers: l.Peers,
		Valid:         func() bool { return l.IsLeader() },
		Post:          l.post,
		Leader:        recoveryCalls{l},
		State:         l.state,
		AssignmentLog: func() *assignmentlog.Log { return l.log },
	}
}

// recoverRecords does what is due about lost records.
func (l *Leader) recoverRecords(ctx context.Context, now time.Time) {
	l.recovery.EndAdoptions(now)
	if l.loop.tickGroup == 0 {
		l.recovery.RunUncertainJobs(now)
	}
	l.recovery.Advance(ctx, now)
}

// tokenRaised takes in that a raise is durable. If it was for a token that was lost, this
// term begins with the raised one: reports and numbers below it are of earlier terms.
func (l *Leader) tokenRaised() {
	l.TokenRaised(l.fencing.Current)
	if l.fencing.RaiseAbove < l.fencing.OfTerm {
		return
	}
	l.fencing.OfTerm = l.fencing.Current
	l.tasks.ReserveAttempts(l.fencing.Current << attemptBits)
	for _, machine := range l.state.Machines.All {
		for _, assignment := range machine.Assignments {
			if assignment.Start.InDoubtToken != 0 {
				assignment.Start.InDoubtToken = l.fencing.Current - 1 // a command under any earlier token may still arrive
			}
		}
	}
}

// RecoveryPhase is how far the recovery of the leader on duty here is; Whole if there is none.
func (h *Handle) RecoveryPhase() recoverer.Phase {
	if l := h.leader.Load(); l != nil {
		return l.recovery.Phase()
	}
	return recoverer.Whole
}

// StoreRolledBack tells whether records may say less than users were told, as far as the leader on
// duty here knows.
func (h *Handle) StoreRolledBack() bool {
	l := h.leader.Load()
	return l != nil && l.recovery.RolledBack()
}

// ReportLoss hands evidence of a loss to the leader on duty, and tells whether there is one.
func (h *Handle) ReportLoss(loss detection.Evidence) bool {
	l := h.leader.Load()
	if l == nil {
		return false
	}
	l.post(context.Background(), func(now time.Time) { l.recovery.ReportLoss(loss, now) })
	return true
}

// Recovery returns the state of the recovery, from the leader on duty here. It fails with
// ErrNotLeading if there is none.
func (h *Handle) Recovery(ctx context.Context) (recoverer.Status, error) {
	return call(ctx, h, func(l *Leader, _ time.Time, reply func(recoverer.Status)) { reply(l.recovery.Status()) })
}

// Settle decides a held job as an operator says, unless that contradicts proof. It returns when
// the job's record is durable, and fails with ErrNotLeading or as recoverer.Recoverer.Settle does.
func (h *Handle) Settle(ctx context.Context, id string, as recovery.Settlement) error {
	outcome, err := call(ctx, h, func(l *Leader, now time.Time, reply func(error)) {
		l.recovery.Settle(ctx, id, as, now, reply)
	})
	return errors.Join(err, outcome)
}

// Import takes in a part of a snapshot. It fails with ErrNotLeading or as
// recoverer.Recoverer.Import does.
func (h *Handle) Import(ctx context.Context, in recoverer.Import) (recoverer.Imported, error) {
	type answer struct {
		recoverer.Imported
		err error
	}
	out, err := call(ctx, h, func(l *Leader, now time.Time, reply func(answer)) {
		count, err := l.recovery.Import(in, now)
		reply(answer{count, err})
	})
	return out.Imported, errors.Join(err, out.err)
}
