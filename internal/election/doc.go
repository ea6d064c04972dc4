// Package election elects one leader among the controllers. The leader is the controller that
// holds a key tied to a lease in the key-value store. The transaction that takes the key also
// increments the fencing token, which workers compare. A term is the time for which one controller
// leads.
//
// While the store is unreachable, a leader continues on peer leases: each peer grants it one lease
// duration in which that peer does not campaign. The peers' protocol and the logs call a lease
// grant a "promise".
//
// The package has three layers. Package rules makes the decisions without I/O, locks or a clock,
// and package model explores them. lockedGrantor and lockedValidity add a mutex to the types of
// package rules. [Elector] adds the clock, the store and the loops: campaign.go wins a term,
// leadership.go runs it, and renewal.go renews its lease.
package election
