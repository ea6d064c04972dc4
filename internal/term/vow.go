package term

import (
	"sync"
	"time"
)

// vow is what a node has promised, and the campaign that stands against it.
type vow struct {
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
func (v *vow) left(now time.Time, first bool) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fromEarlier && first {
		return 0
	}
	return v.until.Sub(now)
}

// campaign notes that a transaction that takes the term is about to be sent;
// it returns false if a promise forbids that.
func (v *vow) campaign(now time.Time, first bool, after uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.until) && !(v.fromEarlier && first) {
		return false
	}
	v.open, v.after = true, after
	return true
}

// know notes a token that was given out.
func (v *vow) know(token uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = max(v.known, token)
}

// settled notes that the campaign's outcome is known.
func (v *vow) settled() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.open = false
}

// promise vows not to take the term. It is refused while a campaign that could
// still succeed against this holder is on its way: one that builds on an older
// token cannot.
func (v *vow) promise(now time.Time, life time.Duration, token uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.open && v.after >= token || v.known > token {
		return false // the second: who asks has been succeeded
	}
	if until := now.Add(life); until.After(v.until) {
		v.until = until
	}
	v.fromEarlier = false
	return true
}
