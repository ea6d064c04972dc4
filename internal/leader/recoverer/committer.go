package recoverer

import (
	"context"
	"log/slog"
	"time"

	"ospreyslip/internal/election"
	"ospreyslip/internal/kvstore"
)

// committer makes sure that a recovery has one transaction under way at a time, of its share of
// the write rate. All of them are guarded by the term.
type committer struct {
	cfg       *Config
	inFlight  bool
	notBefore time.Time // no transaction begins earlier
}

// mayBegin tells whether a transaction may begin.
func (c *committer) mayBegin(now time.Time) bool {
	return !c.inFlight && !now.Before(c.notBefore) && c.cfg.Valid()
}

// termGuard makes a transaction fail once the term is over.
func (c *committer) termGuard() kvstore.Guard {
	return kvstore.Guard{Key: election.HolderKey, Revision: c.cfg.Term.HolderRevision}
}

// resign ends the term, after a transaction that the term's guard has made fail.
func (c *committer) resign() {
	slog.Info("term lost", "term", c.cfg.token(), "reason", "holder key changed")
	c.cfg.Leader.Resign()
}

// retryLater puts the next transaction off after one that was not executed, or may not have been.
func (c *committer) retryLater(now time.Time) {
	c.notBefore = now.Add(c.cfg.Derived.Election.RenewInterval)
}

// commitKey writes one key of the recovery's own, and calls written when that is durable.
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
