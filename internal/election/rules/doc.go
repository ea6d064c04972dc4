// Package rules decides when a controller may lead, campaign or grant a peer lease, so that at
// most one controller leads at a time. The decisions use no I/O, locks or clock; times are
// readings of one controller's own monotonic clock.
//
// [LeaseValidity] is the leader's side. It tracks until when the leader may act, by renewals of
// its lease in the store or, while the store is unreachable, by lease grants of all peers.
// [Grantor] is the peer's side. By a grant, a peer promises the leader not to campaign for one
// lease duration. Since a grant binds only its grantor, a leader needs the grants of all peers; a
// grant is not a vote in a majority election.
//
// Package election runs these decisions, package election/model explores them exhaustively up to a
// bound, and docs/design.md ("Who leads") contains the proof.
package rules
