package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/recovery/detection"
)

// tokenCheck finds out what a fencing token above this leader's means.
type tokenCheck struct {
	cfg        *Config
	reportLoss func(loss detection.Evidence, now time.Time)
	inFlight   bool
}

// CheckToken takes in a heartbeat with a fencing token above this leader's. Mostly another leads
// by now, and this one has not noticed. If the term is still held, the token was lost: it is
// raised above all that workers have seen.
func (r *Recoverer) CheckToken(shown uint64) { r.tokens.check(shown) }

func (c *tokenCheck) check(shown uint64) {
	tokens := c.cfg.Leader.Tokens()
	if c.inFlight || shown <= tokens.Floor || !c.cfg.Valid() {
		return
	}
	if !detection.PlausibleToken(shown, tokens.Current) {
		slog.Error("heartbeat with an implausible fencing token", "term", tokens.Current, "token", shown)
		return
	}
	c.inFlight = true
	go c.readHolder(shown)
}

// readHolder finds out whether the term is still held.
func (c *tokenCheck) readHolder(shown uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Derived.Store.RequestTimeout)
	defer cancel()
	holder, found, err := c.cfg.Store.Get(ctx, election.HolderKey)
	c.cfg.Post(context.Background(), func(now time.Time) {
		c.inFlight = false
		switch {
		case err != nil:
		case !found || holder.Revision != c.cfg.Term.HolderRevision:
			slog.Info("term lost", "term", c.cfg.token(), "reason", "a worker has seen a higher token")
			c.cfg.Leader.Resign()
		default:
			c.tokenWasLost(shown, now)
		}
	})
}

// tokenWasLost takes in that a token above this leader's was given out before this term.
func (c *tokenCheck) tokenWasLost(shown uint64, now time.Time) {
	tokens := c.cfg.Leader.Tokens()
	if shown <= max(tokens.Current, tokens.Floor) {
		return
	}
	c.cfg.Leader.RaiseTokenAbove(shown)
	c.reportLoss(detection.Evidence{Kind: detection.TokenBack, Key: election.TokenKey, Known: shown, Found: tokens.Current}, now)
}
