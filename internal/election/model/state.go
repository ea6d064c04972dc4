// Package model explores, breadth first and exhaustively up to a bound, what the decisions
// of internal/termrules lead to when nodes crash and come back, messages are lost, late or
// doubled, the state service is away, and clocks run at different rates. It looks for two nodes
// that may act as the leader at a time.
package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

// MostNodes is the largest cluster that is explored.
const MostNodes = 3

// Time goes in ticks. A holder counts one tick less than the lease from when it sent its request.
// The clock of one node may lose one tick in each lease: that is the drift that the tick between
// the two makes up for.

// mostTokens and mostLives bound the exploration.
const (
	mostTokens = 3
	mostLives  = 2
)

// transaction is one that takes the term, on its way to the state service. It may arrive at any
// later time, also when its sender has ended.
type transaction struct {
	present bool
	life    int8
	after   int8 // the token that it builds on
	own     int8 // the life of its sender's that held the term when it was read; 0: nobody did
	grant   int8 // ticks left of the lease that was granted for it
}

// nodeState is one controller. Times are what is left, or has passed, by its own clock. A
// message that never comes is one that stays on its way.
type nodeState struct {
	up   bool
	life int8

	taken   int8 // the answer on its way says that its transaction took this token; 0: none
	sentAgo int8 // that transaction

	holding  bool
	token    int8
	cover    int8
	renewed  bool // the answer to a renewal is on its way
	renewAgo int8
	asking   bool // all others for promises
	askAgo   int8
	promised uint8 // nodes that have promised; their answers may be on their way still

	left        int8 // of its own promise
	fromEarlier bool
	open        bool
	after       int8
	known       int8
	idle        uint8 // nodes that have answered that they rely on no promise
}

// service is the state service.
type service struct {
	up     bool
	holder int8 // the node, or -1
	life   int8
	lease  int8
	token  int8
}

// State is the whole cluster at a moment.
type State struct {
	service service
	nodes   [MostNodes]nodeState
	// Two for each node: of its present life and of one before.
	transactions [MostNodes][2]transaction
	sinceSlow    int8 // ticks until the slow clock may lose another
}

func (n *nodeState) giver() rules.Grantor {
	return rules.Grantor{BoundUntil: time.Duration(n.left), FromEarlierIncarnation: n.fromEarlier, CampaignPending: n.open, CampaignBase: uint64(n.after), HighestToken: uint64(n.known)}
}

func (n *nodeState) setGiver(g rules.Grantor) {
	n.left, n.fromEarlier, n.open = int8(max(0, g.BoundUntil)), g.FromEarlierIncarnation, g.CampaignPending
	n.after, n.known = int8(g.CampaignBase), int8(g.HighestToken)
	if !n.open {
		n.after = 0
	}
	if !n.fromEarlier {
		n.idle = 0
	}
}

func (n *nodeState) coverage() rules.LeaseValidity {
	return rules.LeaseValidity{Held: n.holding, Until: time.Duration(n.cover)}
}

func (n *nodeState) setCoverage(c rules.LeaseValidity) {
	n.holding, n.cover = c.Held, int8(max(0, c.Until))
}

// acts tells whether a node may act as the leader.
func (n *nodeState) acts() bool {
	c := n.coverage()
	return n.up && c.Valid(0)
}

// Start is where an exploration begins.
type Start string

// The starts. Each can come about from the first one.
const (
	// JustTaken is a cluster in which node 0 has just taken the first term.
	JustTaken Start = "node 0 has just taken the first term"
	// OnPromises is one in which the service has refused node 0 for most of a lease, and all
	// others have just promised it not to take the term.
	OnPromises Start = "node 0 holds the first term by promises, its lease is about to end"
)

func (e *explorer) start(from Start) State {
	s := State{service: service{up: true, holder: 0, life: 1, lease: e.lease, token: 1}}
	for i := range e.nodes {
		s.nodes[i] = nodeState{up: true, life: 1, known: 1}
	}
	s.nodes[0].holding, s.nodes[0].token, s.nodes[0].cover = true, 1, e.lease-1
	if from == OnPromises {
		s.service.lease = 1
		for i := 1; i < e.nodes; i++ {
			s.nodes[i].left = e.lease
		}
	}
	return s
}

// leaders counts the nodes that may act as the leader.
func (s *State) leaders() (count int) {
	for i := range s.nodes {
		if s.nodes[i].acts() {
			count++
		}
	}
	return count
}
