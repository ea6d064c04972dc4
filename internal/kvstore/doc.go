// Package kvstore is the client of the consensus-backed key-value store that holds all durable
// records. It provides linearizable reads, transactions that are conditional on key revisions,
// leases that keys can be tied to, and watches. Operators know the store as the state service.
//
// The revision of the store counts its changes; the revision of a key is that of its last change.
//
// A failed request returns a [RequestError] that wraps one of the Err values of this package.
// Callers use errors.Is to learn whether the request was executed. The names that requests and
// responses have on the wire appear only in wire.go.
package kvstore
