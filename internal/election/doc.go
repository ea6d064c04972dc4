// Package election elects the leader among the controllers: one node at a time holds a key that
// is tied to a lease in the key-value store. The fencing token, which workers compare, is a
// counter that the transaction raises which takes the key. One such time of leadership is a term.
//
// While the store is out of reach, a leader goes on by peer leases: every peer grants it one
// lease duration in which that peer does not campaign ("promise" on the peers' wire and in logs).
//
// The package is built in layers. Package rules decides, without I/O, locks or a clock, and is
// explored by package model. lockedGrantor and lockedValidity add a mutex to its types. [Elector]
// adds the clock, the store and the loops: campaign.go wins a term, leadership.go serves it, and
// renewal.go keeps its lease.
package election
