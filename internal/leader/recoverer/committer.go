package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/kvstore"
)

// committer limits a recovery to one transaction in flight at a time and to its share of the
// write rate. Every transaction is guarded by the term.
type committer struct {
	cfg       *Config
	inFlight  bool
	notBefore time.Time // earliest start of the next transaction
}

// mayCommit reports whether a transaction may start now.
func (c *committer) mayCommit(now time.Time) bool {
	return !c.inFlight && !now.Before(c.notBefore) && c.cfg.IsLeader()
}

// termGuard returns a guard that makes a transaction fail once the term has ended.
func (c *committer) termGuard() kvstore.Guard {
	return kvstore.Guard{Key: election.HolderKey, Revision: c.cfg.Term.HolderRevision}
}

// resign ends the term after a transaction failed on the term's guard.
func (c *committer) resign() {
	slog.Info("term lost", "term", c.cfg.token(), "reason", "holder key changed")
	c.cfg.Leader.Resign()
}

// retryLater delays the next transaction by one renewal interval, after a transaction that was not
// executed or whose outcome is unknown.
func (c *committer) retryLater(now time.Time) {
	c.notBefore = now.Add(c.cfg.Derived.Election.RenewInterval)
}

// commitKey writes one of the recovery's own keys, and calls written on the event loop once the
// write is durable.
func (c *committer) commitKey(ctx context.Context, write kvstore.Write, written func()) {
	c.inFlight = true
	guards := []kvstore.Guard{c.termGuard()}
	go func() {
		_, failed, err := c.cfg.Store.Commit(ctx, guards, []kvstore.Write{write})
		c.cfg.Post(ctx, func(now time.Time) {
			c.inFlight = false
			switch {
			case len(failed) > 0:
				c.resign()
			case err != nil:
				c.retryLater(now)
			default:
				written()
			}
		})
	}()
}
