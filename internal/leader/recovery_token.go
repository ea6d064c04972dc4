package leader

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/recovery/detection"
)

// tokenAhead takes in a report with a token above this leader's. Mostly another leads by
// now, and this one has not noticed. If the term is still held, the token was lost: it is
// raised above all that workers have seen.
func (l *Leader) tokenAhead(shown uint64, now time.Time) {
	if l.fencing.checkingHolder || shown <= l.fencing.raiseAbove || !l.IsLeader() {
		return
	}
	if !detection.PlausibleToken(shown, l.fencing.token) {
		slog.Error("report with a token that cannot be", "term", l.fencing.token, "token", shown)
		return
	}
	l.fencing.checkingHolder = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Derived.Store.RequestTimeout)
		defer cancel()
		p, found, err := l.Store.Get(ctx, election.HolderKey)
		outcome := func(now time.Time) {
			l.fencing.checkingHolder = false
			switch {
			case err != nil:
			case !found || p.Revision != l.term.HolderRevision:
				slog.Info("term lost", "term", l.fencing.token, "reason", "a worker has seen a higher token")
				l.resign = true
			default:
				l.tokenWasLost(shown, now)
			}
		}
		select {
		case l.events <- outcome:
		case <-l.quit:
		}
	}()
}

func (l *Leader) tokenWasLost(shown uint64, now time.Time) {
	if shown <= max(l.fencing.token, l.fencing.raiseAbove) {
		return
	}
	l.fencing.raiseAbove, l.fencing.raisePending = shown, true
	l.suspect(detection.Evidence{Kind: detection.TokenBack, Key: election.TokenKey, Known: shown, Found: l.fencing.token}, now)
}

// tokenRaised takes in that a raise is durable. If it was for a token that was lost, this
// term begins with the raised one: reports and numbers below it are of earlier terms.
func (l *Leader) tokenRaised() {
	if l.fencing.raiseAbove < l.term.FencingToken {
		return
	}
	l.term.FencingToken = l.fencing.token
	l.lastAttempt = max(l.lastAttempt, l.fencing.token<<attemptBits)
	for _, m := range l.state.Machines.All {
		for _, a := range m.Assignments {
			if a.Start.InDoubtToken != 0 {
				a.Start.InDoubtToken = l.fencing.token - 1 // an order under any earlier token may still arrive
			}
		}
	}
}
