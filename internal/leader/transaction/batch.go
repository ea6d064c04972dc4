// Package transaction builds the leader's guarded transactions, with callbacks for each outcome.
package transaction

import (
	"encoding/json"
	"slices"

	"ospreyslip/internal/kvstore"
)

// MaxBytes is the maximum size of the keys and values in a transaction: the protocol's limit for a
// request, less a quarter for guards and punctuation.
const MaxBytes = 64 << 10 * 3 / 4

// Batch is a guarded transaction and the callbacks for its outcomes. The leader has one transaction
// in flight; later changes go into the next one, so that a low write rate leads to larger
// transactions instead of longer queues. A Batch is not safe for concurrent use.
type Batch struct {
	Guards []kvstore.Guard
	Writes []kvstore.Write
	Bytes  int // of the keys and values

	onCommit   []func(revision uint64)
	onFailure  []func()
	onConflict map[string]func(revision uint64) // by key
}

// New returns an empty transaction.
func New() *Batch { return &Batch{onConflict: map[string]func(uint64){}} }

// Guard makes the transaction fail unless a key has the given revision.
func (b *Batch) Guard(key string, revision uint64) {
	b.Guards = append(b.Guards, kvstore.Guard{Key: key, Revision: revision})
}

// Set adds a write of a key, guarded by its last known revision. If that guard fails, onConflict
// is called with the revision that was found instead.
func (b *Batch) Set(key string, revision uint64, value json.RawMessage, onConflict func(revision uint64)) {
	b.Guard(key, revision)
	b.Writes = append(b.Writes, kvstore.Write{Set: key, Value: value})
	b.Bytes += 2*len(key) + len(value)
	b.onConflict[key] = onConflict
}

// Sets reports whether the transaction writes a key.
func (b *Batch) Sets(key string) bool {
	_, ok := b.onConflict[key]
	return ok
}

// OnCommit registers a function to be called if the transaction is executed.
func (b *Batch) OnCommit(f func(revision uint64)) { b.onCommit = append(b.onCommit, f) }

// OnFailure registers a function to be called if the transaction fails or its outcome is unknown.
func (b *Batch) OnFailure(f func()) { b.onFailure = append(b.onFailure, f) }

// Committed calls the OnCommit functions in the order in which they were registered.
func (b *Batch) Committed(revision uint64) {
	for _, f := range b.onCommit {
		f(revision)
	}
}

// Failed calls the OnFailure functions in reverse order, so that entries that are put back at the
// head of a queue keep their order.
func (b *Batch) Failed() {
	for _, f := range slices.Backward(b.onFailure) {
		f()
	}
}

// HandleConflict passes on the present revision of a key whose guard failed.
func (b *Batch) HandleConflict(key string, revision uint64) {
	if onConflict := b.onConflict[key]; onConflict != nil {
		onConflict(revision)
	}
}
