package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/recovery/detection"
)

// tokenCheck determines why a worker has seen a fencing token above this leader's.
type tokenCheck struct {
	cfg        *Config
	reportLoss func(loss detection.Evidence, now time.Time)
	inFlight   bool
}

// CheckToken handles a heartbeat with a fencing token above this leader's. Usually another
// controller has become leader without this one noticing. If the term is still held, the store has
// lost the token, which is then raised above those that workers have seen.
func (r *Recoverer) CheckToken(seen uint64) { r.tokens.check(seen) }

func (c *tokenCheck) check(seen uint64) {
	tokens := c.cfg.Leader.Tokens()
	if c.inFlight || seen <= tokens.Floor || !c.cfg.IsLeader() {
		return
	}
	if !detection.PlausibleToken(seen, tokens.Current) {
		slog.Error("heartbeat with an implausible fencing token", "term", tokens.Current, "token", seen)
		return
	}
	c.inFlight = true
	go c.readHolder(seen)
}

// readHolder reads whether the term is still held, and posts the result to the event loop. It does
// not run on the event loop.
func (c *tokenCheck) readHolder(seen uint64) {
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
			c.handleLostToken(seen, now)
		}
	})
}

// handleLostToken raises this leader's token above seen, which was issued before this term and
// lost by the store, and reports the loss.
func (c *tokenCheck) handleLostToken(seen uint64, now time.Time) {
	tokens := c.cfg.Leader.Tokens()
	if seen <= max(tokens.Current, tokens.Floor) {
		return
	}
	c.cfg.Leader.RaiseTokenAbove(seen)
	c.reportLoss(detection.Evidence{Kind: detection.TokenRolledBack, Key: election.TokenKey, Known: seen, Found: tokens.Current}, now)
}
