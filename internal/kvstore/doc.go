// Package kvstore is the client of the consensus-backed key-value store in which all durable
// records are: linearizable reads, transactions that are conditional on the revisions of keys,
// leases that keys may be tied to, and watches. Operators know the store as the state service.
//
// A revision is the store's count of changes; a key's revision is that of its last change.
//
// Each call fails with a [RequestError], which wraps one of the Err values: callers ask for
// them with errors.Is to learn whether the request was executed. The names that requests and
// answers have on the wire are in wire.go only.
package kvstore
