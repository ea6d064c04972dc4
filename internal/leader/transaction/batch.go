// Package transaction puts a guarded transaction of the leader together, with what follows
// from each of its outcomes.
package transaction

import (
	"encoding/json"
	"slices"

	"ospreyslip/internal/kvstore"
)

// MaxBytes is how much a transaction may write: the protocol's limit for a request, less a
// quarter for guards and punctuation.
const MaxBytes = 64 << 10 * 3 / 4

// Batch is a transaction with what follows from it. The leader has one at a time: what comes
// meanwhile goes into the next, so that a scarce write rate makes batches larger, not queues
// longer. It is used by one goroutine.
type Batch struct {
	Guards []kvstore.Guard
	Writes []kvstore.Write
	Bytes  int // of the keys and values

	onCommit  []func(revision uint64)
	onFailure []func()
	learn     map[string]func(revision uint64) // by key
}

// New makes an empty transaction.
func New() *Batch { return &Batch{learn: map[string]func(uint64){}} }

// Guard makes the transaction fail unless a key still has the revision.
func (b *Batch) Guard(key string, revision uint64) {
	b.Guards = append(b.Guards, kvstore.Guard{Key: key, Revision: revision})
}

// Set writes a key, guarded by its revision as known. Learn is called if the guard fails, with
// the revision that was found instead.
func (b *Batch) Set(key string, revision uint64, value json.RawMessage, learn func(revision uint64)) {
	b.Guard(key, revision)
	b.Writes = append(b.Writes, kvstore.Write{Set: key, Value: value})
	b.Bytes += 2*len(key) + len(value)
	b.learn[key] = learn
}

// Sets tells whether the transaction sets a key.
func (b *Batch) Sets(key string) bool {
	_, ok := b.learn[key]
	return ok
}

// OnCommit adds what follows if the transaction is executed.
func (b *Batch) OnCommit(f func(revision uint64)) { b.onCommit = append(b.onCommit, f) }

// OnFailure adds what follows if it is not, or nobody knows.
func (b *Batch) OnFailure(f func()) { b.onFailure = append(b.onFailure, f) }

// Committed carries out what follows from an execution at a revision, in the order added.
func (b *Batch) Committed(revision uint64) {
	for _, f := range b.onCommit {
		f(revision)
	}
}

// Failed carries out what follows from a failure, the latest first: what goes back to the
// head of a queue is in order then.
func (b *Batch) Failed() {
	for _, f := range slices.Backward(b.onFailure) {
		f()
	}
}

// Learn takes in the revision of a key whose guard has failed.
func (b *Batch) Learn(key string, revision uint64) {
	if learn := b.learn[key]; learn != nil {
		learn(revision)
	}
}
