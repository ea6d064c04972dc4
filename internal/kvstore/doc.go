// Package kvstore speaks to the state service: a small key-value store with
// strong consistency, guarded transactions, leases and watches.
package kvstore
