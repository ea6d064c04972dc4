// Package fencing tracks the fencing token of a term: a number that workers compare to reject
// commands from earlier leaders. Raising the token within the term makes workers also reject
// earlier commands of this leader whose outcome is unknown.
package fencing

import "time"

// Token is the fencing token of a term. It may be used only on the leader's event loop.
type Token struct {
	// TermToken is the token with which the term began. A heartbeat with a lower token was, or may
	// have been, sent before the term. TermToken is raised if the store has lost the token.
	TermToken uint64
	// Current is the highest durable token; it is never below TermToken.
	Current  uint64
	Revision uint64 // revision of the token's key in the store

	RaisePending     bool      // the next transaction has to write a higher token
	RaiseAbove       uint64    // the next token must exceed it; seen on a worker or in the log
	RaiseRequestedAt time.Time // when a raise was last requested

	// AcknowledgementsHeld is set while an ended task cannot be cleared from its worker until
	// that worker has seen a higher token.
	AcknowledgementsHeld bool
}

// New returns the Token of a term that begins with the given token, stored at the given revision.
func New(token, revision uint64) *Token {
	return &Token{TermToken: token, Current: token, Revision: revision}
}

// Next returns the token that the next raise writes.
func (t *Token) Next() uint64 { return max(t.Current, t.RaiseAbove) + 1 }

// RequestRaise requests that the next transaction write a higher token.
func (t *Token) RequestRaise() { t.RaisePending = true }

// RequestRaiseAbove requests that the next transaction write a token above seen.
func (t *Token) RequestRaiseAbove(seen uint64) {
	t.RaiseAbove = max(t.RaiseAbove, seen)
	t.RaisePending = true
}
