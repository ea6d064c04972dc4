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
	if l.checkingToken || shown <= l.tokenFloor || !l.Valid() {
		return
	}
	if !detection.PlausibleToken(shown, l.token) {
		slog.Error("report with a token that cannot be", "term", l.token, "token", shown)
		return
	}
	l.checkingToken = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Derived.Store.RequestTimeout)
		defer cancel()
		p, found, err := l.Store.Get(ctx, election.HolderKey)
		outcome := func(now time.Time) {
			l.checkingToken = false
			switch {
			case err != nil:
			case !found || p.Revision != l.term.Revision:
				slog.Info("term lost", "term", l.token, "reason", "a worker has seen a higher token")
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
	if shown <= max(l.token, l.tokenFloor) {
		return
	}
	l.tokenFloor, l.raiseToken = shown, true
	l.suspect(detection.Evidence{Kind: detection.TokenBack, Key: election.TokenKey, Known: shown, Found: l.token}, now)
}

// tokenRaised takes in that a raise is durable. If it was for a token that was lost, this
// term begins with the raised one: reports and numbers below it are of earlier terms.
func (l *Leader) tokenRaised() {
	if l.tokenFloor < l.term.Token {
		return
	}
	l.term.Token = l.token
	l.attempts = max(l.attempts, l.token<<attemptBits)
	for _, m := range l.machines.all {
		for _, a := range m.assigned {
			if a.doubt != 0 {
				a.doubt = l.token - 1 // an order under any earlier token may still arrive
			}
		}
	}
}
