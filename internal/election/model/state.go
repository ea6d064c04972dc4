package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

// MaxControllers is the largest cluster that can be explored.
const MaxControllers = 3

// Bounds of all explorations.
const (
	maxToken       = 3
	maxIncarnation = 2 // of each controller
)

// clusterState is the state of the whole cluster. It contains everything that determines the
// possible successors, so that equal states are explored only once.
type clusterState struct {
	store       storeState
	controllers [MaxControllers]controllerState
	// Each controller has two slots: one for its current incarnation and one for an earlier one.
	transactions      [MaxControllers][2]transaction
	untilNextLostTick int8 // ticks until the slow clock may lose another tick
}

// storeState is the key-value store.
type storeState struct {
	up          bool
	holder      int8 // controller that holds the key, or -1
	incarnation int8 // of the holder
	leaseLeft   int8 // ticks left of the holder's lease
	token       int8 // highest fencing token issued
}

// transaction is the transaction of a campaign in flight to the store. It may arrive at any later
// time, even after its sender has ended.
type transaction struct {
	inFlight    bool
	incarnation int8 // of its sender
	baseToken   int8 // fencing token of the leader that the campaign succeeds
	// holderIncarnation is the sender's earlier incarnation that held the key when it was read; 0
	// if the key was free.
	holderIncarnation int8
	leaseLeft         int8 // ticks left of the lease that was granted for the transaction
}

// controllerState is the state of one controller. Durations are ticks left, and ages are ticks
// passed, on its own clock. A lost message is modelled as one that stays in flight.
type controllerState struct {
	up          bool
	incarnation int8

	// A campaign that has succeeded, but whose outcome the controller does not know yet.
	wonToken int8 // 0 if there is none
	wonAge   int8 // age of the campaign's transaction

	// The state as a leader: rules.LeaseValidity and the requests that extend it.
	holdsTerm            bool
	token                int8
	validFor             int8
	renewalSucceeded     bool // a renewal has succeeded and its response is in flight
	renewAge             int8
	requestingPeerLeases bool // a request for peer leases is in flight
	requestAge           int8
	grantedBy            uint8 // peers that have granted; their responses may be in flight

	// The state as a peer: rules.Grantor and the peers' responses to a restarted controller.
	boundFor                  int8
	boundByEarlierIncarnation bool
	campaignPending           bool
	campaignBaseToken         int8
	highestToken              int8
	relyOnNoGrant             uint8 // peers that have responded that they rely on no grant
}

// grantor returns the controller's state as a peer, on a clock that reads 0.
func (c *controllerState) grantor() rules.Grantor {
	return rules.Grantor{
		BoundUntil: time.Duration(c.boundFor), BoundByEarlierIncarnation: c.boundByEarlierIncarnation,
		CampaignPending: c.campaignPending, CampaignBaseToken: uint64(c.campaignBaseToken), HighestToken: uint64(c.highestToken),
	}
}

// setGrantor stores the controller's state as a peer. It clears fields that no longer have a
// meaning, because states that differ only in such fields must be equal.
func (c *controllerState) setGrantor(grantor rules.Grantor) {
	c.boundFor, c.boundByEarlierIncarnation = int8(max(0, grantor.BoundUntil)), grantor.BoundByEarlierIncarnation
	c.campaignPending, c.campaignBaseToken = grantor.CampaignPending, int8(grantor.CampaignBaseToken)
	c.highestToken = int8(grantor.HighestToken)
	if !c.campaignPending {
		c.campaignBaseToken = 0
	}
	if !c.boundByEarlierIncarnation {
		c.relyOnNoGrant = 0
	}
}

// validity returns the controller's state as a leader, on a clock that reads 0.
func (c *controllerState) validity() rules.LeaseValidity {
	return rules.LeaseValidity{HoldsTerm: c.holdsTerm, ValidUntil: time.Duration(c.validFor)}
}

func (c *controllerState) setValidity(validity rules.LeaseValidity) {
	c.holdsTerm, c.validFor = validity.HoldsTerm, int8(max(0, validity.ValidUntil))
}

// mayAct reports whether the controller may act as the leader.
func (c *controllerState) mayAct() bool {
	validity := c.validity()
	return c.up && validity.Valid(0)
}

// leaders returns the number of controllers that may act as the leader.
func (s *clusterState) leaders() (count int) {
	for i := range s.controllers {
		if s.controllers[i].mayAct() {
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
	state := clusterState{store: storeState{up: true, holder: 0, incarnation: 1, leaseLeft: e.leaseDuration, token: 1}}
	for i := range e.controllers {
		state.controllers[i] = controllerState{up: true, incarnation: 1, highestToken: 1}
	}
	state.controllers[0].holdsTerm, state.controllers[0].token, state.controllers[0].validFor = true, 1, e.leaseDuration-1
	if start == OnPeerLeases {
		state.store.leaseLeft = 1
		for i := 1; i < e.controllers; i++ {
			state.controllers[i].boundFor = e.leaseDuration
		}
	}
	return state
}
