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

// readHolder reads whether the term is still held, and posts the result to the event loop. It does
// not run on the event loop.
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

// tokenWasLost handles the loss of a token above this leader's that was issued before this term.
func (c *tokenCheck) tokenWasLost(shown uint64, now time.Time) {
	tokens := c.cfg.Leader.Tokens()
	if shown <= max(tokens.Current, tokens.Floor) {
		return
	}
	c.cfg.Leader.RaiseTokenAbove(shown)
	c.reportLoss(detection.Evidence{Kind: detection.TokenBack, Key: election.TokenKey, Known: shown, Found: tokens.Current}, now)
}
