package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

// MaxNodes is the largest cluster that can be explored.
const MaxNodes = 3

// Bounds of all explorations.
const (
	maxToken       = 3
	maxIncarnation = 2 // of each node
)

// clusterState is the whole cluster at a moment. Two that are equal have the same future.
type clusterState struct {
	store storeState
	nodes [MaxNodes]nodeState
	// Two for each node: of its present incarnation and of one before.
	transactions [MaxNodes][2]transaction
	sinceSlow    int8 // ticks until the slow clock may lose another
}

// storeState is the key-value store.
type storeState struct {
	up          bool
	holder      int8 // the node that holds the key, or -1
	incarnation int8 // of the holder
	lease       int8 // ticks left of the holder's lease
	token       int8 // highest fencing token issued
}

// transaction is that of a campaign, on its way to the store. It may arrive at any later time,
// also when its sender has ended.
type transaction struct {
	present     bool
	incarnation int8 // of its sender
	base        int8 // the fencing token that it succeeds
	// ownIncarnation is the sender's earlier one that held the key when it was read; 0: nobody did.
	ownIncarnation int8
	lease          int8 // ticks left of the lease that was granted for it
}

// nodeState is one controller. Times are ticks that are left, or have passed, by its own clock. A
// message that never comes is one that stays on its way.
type nodeState struct {
	up          bool
	incarnation int8

	// The campaign whose success the node has yet to hear of.
	wonToken int8 // 0: none
	wonAge   int8 // of its transaction

	// As the leader: rules.LeaseValidity, and requests that extend it.
	held       bool
	token      int8
	validFor   int8
	renewed    bool // the answer to a renewal is on its way
	renewAge   int8
	requesting bool // peer leases
	requestAge int8
	granted    uint8 // peers that have granted; their answers may be on their way still

	// As a peer: rules.Grantor, and what an incarnation that has just begun has heard.
	boundFor        int8
	fromEarlier     bool
	campaignPending bool
	campaignBase    int8
	highestToken    int8
	relyOnNone      uint8 // peers that have answered that they rely on no grant
}

// grantor is the node's state as rules has it, at reading 0 of its clock.
func (n *nodeState) grantor() rules.Grantor {
	return rules.Grantor{
		BoundUntil: time.Duration(n.boundFor), FromEarlierIncarnation: n.fromEarlier,
		CampaignPending: n.campaignPending, CampaignBase: uint64(n.campaignBase), HighestToken: uint64(n.highestToken),
	}
}

// setGrantor stores a grantor. What has no meaning any more is zeroed, so that states that
// differ in nothing else are equal.
func (n *nodeState) setGrantor(grantor rules.Grantor) {
	n.boundFor, n.fromEarlier = int8(max(0, grantor.BoundUntil)), grantor.FromEarlierIncarnation
	n.campaignPending, n.campaignBase = grantor.CampaignPending, int8(grantor.CampaignBase)
	n.highestToken = int8(grantor.HighestToken)
	if !n.campaignPending {
		n.campaignBase = 0
	}
	if !n.fromEarlier {
		n.relyOnNone = 0
	}
}

// validity is the node's state as rules has it, at reading 0 of its clock.
func (n *nodeState) validity() rules.LeaseValidity {
	return rules.LeaseValidity{Held: n.held, Until: time.Duration(n.validFor)}
}

func (n *nodeState) setValidity(validity rules.LeaseValidity) {
	n.held, n.validFor = validity.Held, int8(max(0, validity.Until))
}

// mayAct tells whether a node may act as the leader.
func (n *nodeState) mayAct() bool {
	validity := n.validity()
	return n.up && validity.Valid(0)
}

// leaders counts the nodes that may act as the leader.
func (s *clusterState) leaders() (count int) {
	for i := range s.nodes {
		if s.nodes[i].mayAct() {
			count++
		}
	}
	return count
}

// Start is where an exploration begins.
type Start string

// The starts. The second can come about from the first.
const (
	// JustWon is a cluster in which node 0 has just won the first term.
	JustWon Start = "node 0 has just won the first term"
	// OnPeerLeases is one in which the store has refused node 0 for most of a lease duration,
	// and all peers have just granted it a lease.
	OnPeerLeases Start = "node 0 holds the first term by peer leases, its lease is about to end"
)

func (e *explorer) start(start Start) clusterState {
	state := clusterState{store: storeState{up: true, holder: 0, incarnation: 1, lease: e.lease, token: 1}}
	for i := range e.nodes {
		state.nodes[i] = nodeState{up: true, incarnation: 1, highestToken: 1}
	}
	state.nodes[0].held, state.nodes[0].token, state.nodes[0].validFor = true, 1, e.lease-1
	if start == OnPeerLeases {
		state.store.lease = 1
		for i := 1; i < e.nodes; i++ {
			state.nodes[i].boundFor = e.lease
		}
	}
	return state
}
