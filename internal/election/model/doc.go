// Package model explores, breadth first and exhaustively up to a bound, what the decisions of
// package election/rules lead to when controllers crash and restart, messages are lost, late or
// duplicated, the store is unreachable, and clocks run at different rates. It searches for a state
// in which two controllers may act as the leader. The decisions are the production code; the
// store, the messages and the clocks are modelled here.
//
// Time passes in ticks. A renewal of a leader's lease is valid for one tick less than the lease
// duration, counted from when it was requested. The clock of one controller may lose one tick in
// each lease duration, which is the drift that the difference of one tick allows for.
package model
