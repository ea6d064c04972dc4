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
	maxIncarnation = 2 // of each controller
)

// clusterState is the state of the whole cluster. It contains everything that determines the
// possible successors, so that equal states are explored only once.
type clusterState struct {
	store storeState
	nodes [MaxNodes]nodeState
	// Each controller has two slots: one for its present incarnation and one for an earlier one.
	transactions [MaxNodes][2]transaction
	sinceSlow    int8 // ticks until the slow clock may lose another tick
}

// storeState is the key-value store.
type storeState struct {
	up          bool
	holder      int8 // controller that holds the key, or -1
	incarnation int8 // of the holder
	lease       int8 // ticks left of the holder's lease
	token       int8 // highest fencing token issued
}

// transaction is the transaction of a campaign in flight to the store. It may arrive at any later
// time, even after its sender has ended.
type transaction struct {
	present     bool
	incarnation int8 // of its sender
	base        int8 // fencing token of the leader that the campaign succeeds
	// ownIncarnation is the sender's earlier incarnation that held the key when it was read; 0 if
	// the key was free.
	ownIncarnation int8
	lease          int8 // ticks left of the lease that was granted for the transaction
}

// nodeState is the state of one controller. Durations are ticks left, and ages are ticks passed,
// on its own clock. A lost message is modelled as one that stays in flight.
type nodeState struct {
	up          bool
	incarnation int8

	// A campaign that has succeeded, but whose outcome the controller does not know yet.
	wonToken int8 // 0 if there is none
	wonAge   int8 // age of the campaign's transaction

	// The state as a leader: rules.LeaseValidity and the requests that extend it.
	held       bool
	token      int8
	validFor   int8
	renewed    bool // a renewal has succeeded and its answer is in flight
	renewAge   int8
	requesting bool // a request for peer leases is in flight
	requestAge int8
	granted    uint8 // peers that have granted; their answers may be in flight

	// The state as a peer: rules.Grantor and the answers to a restarted controller.
	boundFor        int8
	fromEarlier     bool
	campaignPending bool
	campaignBase    int8
	highestToken    int8
	relyOnNone      uint8 // peers that have answered that they rely on no grant
}

// grantor returns the state as a peer as a rules.Grantor whose clock reads 0.
func (n *nodeState) grantor() rules.Grantor {
	return rules.Grantor{
		BoundUntil: time.Duration(n.boundFor), FromEarlierIncarnation: n.fromEarlier,
		CampaignPending: n.campaignPending, CampaignBase: uint64(n.campaignBase), HighestToken: uint64(n.highestToken),
	}
}

// setGrantor stores the state as a peer. It clears fields that have no meaning any more, because
// states that differ only in such fields must be equal.
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

// validity returns the state as a leader as a rules.LeaseValidity on a clock that reads 0.
func (n *nodeState) validity() rules.LeaseValidity {
	return rules.LeaseValidity{Held: n.held, Until: time.Duration(n.validFor)}
}

func (n *nodeState) setValidity(validity rules.LeaseValidity) {
	n.held, n.validFor = validity.Held, int8(max(0, validity.Until))
}

// mayAct reports whether the controller may act as the leader.
func (n *nodeState) mayAct() bool {
	validity := n.validity()
	return n.up && validity.Valid(0)
}

// leaders returns the number of controllers that may act as the leader.
func (s *clusterState) leaders() (count int) {
	for i := range s.nodes {
		if s.nodes[i].mayAct() {
			count++
		}
	}
	return count
}

// Start is the initial state of an exploration.
type Start string

// The initial states. OnPeerLeases can be reached from JustWon.
const (
	// JustWon is the state in which controller 0 has just won the first term.
	JustWon Start = "controller 0 has just won the first term"
	// OnPeerLeases is the state in which the store has refused controller 0 for most of a lease
	// duration, and all peers have just granted it a lease.
	OnPeerLeases Start = "controller 0 holds the first term by peer leases, its lease is about to end"
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
