package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/recovery/detection"
)

// CheckToken takes in a heartbeat with a fencing token above this leader's. Mostly another leads
// by now, and this one has not noticed. If the term is still held, the token was lost: it is
// raised above all that workers have seen.
func (r *Recoverer) CheckToken(shown uint64) {
	tokens := r.cfg.Leader.Tokens()
	if r.tokenCheckInFlight || shown <= tokens.Floor || !r.cfg.Valid() {
		return
	}
	if !detection.PlausibleToken(shown, tokens.Current) {
		slog.Error("heartbeat with an implausible fencing token", "term", tokens.Current, "token", shown)
		return
	}
	r.tokenCheckInFlight = true
	go r.readHolder(shown)
}

// readHolder finds out whether the term is still held.
func (r *Recoverer) readHolder(shown uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Derived.StateWait)
	defer cancel()
	holder, found, err := r.cfg.Store.Get(ctx, election.HolderKey)
	r.cfg.Post(context.Background(), func(now time.Time) {
		r.tokenCheckInFlight = false
		switch {
		case err != nil:
		case !found || holder.Revision != r.cfg.Term.Revision:
			slog.Info("term lost", "term", r.cfg.token(), "reason", "a worker has seen a higher token")
			r.cfg.Leader.Resign()
		default:
			r.tokenWasLost(shown, now)
		}
	})
}

// tokenWasLost takes in that a token above this leader's was given out before this term.
func (r *Recoverer) tokenWasLost(shown uint64, now time.Time) {
	tokens := r.cfg.Leader.Tokens()
	if shown <= max(tokens.Current, tokens.Floor) {
		return
	}
	r.cfg.Leader.RaiseTokenAbove(shown)
	r.ReportLoss(detection.Loss{Kind: detection.TokenBack, Key: election.TokenKey, Known: shown, Found: tokens.Current}, now)
}
