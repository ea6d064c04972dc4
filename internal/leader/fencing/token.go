// Package fencing holds the fencing token of a term: the number by which workers tell who may
// give commands. It is raised within the term so that workers refuse commands whose outcome is
// unknown from then on.
package fencing

import "time"

// Token is the fencing token of a term. It belongs to the leader's event loop.
type Token struct {
	// OfTerm is the token with which the term began. Heartbeats that show a lower one were
	// sent before, or may have been. It is raised if the store has lost the token.
	OfTerm uint64
	// Current is the highest token that is durable; at least OfTerm.
	Current  uint64
	Revision uint64 // of the token's key in the store

	RaisePending bool      // a higher token is to be written
	RaiseAbove   uint64    // the next token is above it, as a worker or the log shows it
	RaisedAt     time.Time // when a raise was last asked for

	// AcknowledgementsHeld says that an ended task cannot be cleared from its worker before
	// that has seen a higher token.
	AcknowledgementsHeld bool
}

// New makes the token of a term that begins with it.
func New(token, revision uint64) *Token {
	return &Token{OfTerm: token, Current: token, Revision: revision}
}

// Next is the token that a raise writes.
func (t *Token) Next() uint64 { return max(t.Current, t.RaiseAbove) + 1 }

// RequestRaise has a higher token written with the next transaction.
func (t *Token) RequestRaise() { t.RaisePending = true }

// RequestRaiseAbove has one written that is above a token that was seen.
func (t *Token) RequestRaiseAbove(seen uint64) {
	t.RaiseAbove = max(t.RaiseAbove, seen)
	t.RaisePending = true
}
