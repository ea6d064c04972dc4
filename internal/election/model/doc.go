// Package model explores, breadth first and exhaustively up to a bound, what the decisions of
// package election/rules lead to when nodes crash and restart, messages are lost, late or
// doubled, the store is out of reach, and clocks run at different rates. It looks for two nodes
// that may act as the leader at a time. The decisions are the code that runs; the store, messages
// and clocks around them are modelled here.
//
// Time goes in ticks. A leader's lease counts for one tick less than its duration from when it
// was requested. The clock of one node may lose one tick in each lease duration: that is the
// drift which the tick between the two makes up for.
package model
