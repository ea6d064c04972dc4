// Package rules holds the decisions by which at most one node leads at a time. They are pure:
// no I/O, no locks, and times are readings of one node's own monotonic clock.
//
// [LeaseValidity] is a leader's side: until when it may act, by renewals of its lease in the
// store or, while the store is out of reach, by lease grants of all peers. [Grantor] is a peer's
// side: a lease grant is its promise to the leader not to campaign for one lease duration. The
// promise binds the grantor alone, so that a leader needs the grants of all peers; it is no vote,
// by which a majority would elect somebody.
//
// Package election runs these decisions, package election/model explores them exhaustively up to
// a bound, and docs/design.md ("Who leads") has the proof.
package rules
