package term

import (
	"sync"
	"time"
)

// promise is what a node has promised, and the campaign that stands against it.
type promise struct {
	mu          sync.Mutex
	until       time.Time // takes no term before this
	fromEarlier bool      // it stands for what an earlier life may have promised
	open        bool      // a campaign's outcome is unknown
	after       uint64    // the token that it builds on
	known       uint64    // highest token known to have been given out
}

// left is how long this node must not campaign. A node whose own earlier life
// holds the term, or that finds no term ever taken, need not wait out what that
// life may have promised: it cannot have kept another in office.
func (p *promise) left(now time.Time, first bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fromEarlier && first {
		return 0
	}
	return p.until.Sub(now)
}

// campaign notes that a transaction that takes the term is about to be sent;
// it returns false if a promise forbids that.
func (p *promise) campaign(now time.Time, first bool, after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until) && (!p.fromEarlier || !first) {
		return false
	}
	p.open, p.after = true, after
	return true
}

// know notes a token that was given out.
func (p *promise) know(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = max(p.known, token)
}

// highest returns the highest token known to have been given out.
func (p *promise) highest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// settled notes that the campaign's outcome is known.
func (p *promise) settled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = false
}

// give promises not to take the term. It is refused while a campaign that could
// still succeed against this holder is on its way: one that builds on an older
// token cannot.
func (p *promise) give(now time.Time, life time.Duration, token uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open && p.after >= token || p.known > token {
		return false // the second: who asks has been succeeded
	}
	if until := now.Add(life); until.After(p.until) {
		p.until = until
	}
	p.fromEarlier = false
	return true
}
