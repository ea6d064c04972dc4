package model

import "time"

// leaderSteps adds the steps of a controller that holds the leadership: renewals and requests for
// peer leases.
func (e *explorer) leaderSteps(state *clusterState, controller int) {
	self := &state.controllers[controller]
	if !self.holdsTerm {
		return
	}
	e.renewSteps(state, controller)
	if self.validFor > 0 && (!self.requestingPeerLeases || self.requestAge > 0) {
		next := *state
		leader := &next.controllers[controller]
		leader.requestingPeerLeases, leader.requestAge, leader.grantedBy = true, 0, 0
		e.add(next, "controller %d requests leases from all peers", controller)
	}
	if self.requestingPeerLeases {
		e.peerLeaseSteps(state, controller)
	}
	if self.validFor == 0 {
		next := *state
		next.controllers[controller].giveUpTerm()
		e.add(next, "controller %d gives up the leadership", controller)
	}
}

// giveUpTerm ends a term for good. Responses that are still in flight to the leader are discarded.
func (c *controllerState) giveUpTerm() {
	c.holdsTerm, c.validFor, c.token = false, 0, 0
	c.renewalSucceeded, c.requestingPeerLeases, c.grantedBy = false, false, 0
	c.renewAge, c.requestAge = 0, 0
}

// renewSteps adds the steps in which a renewal succeeds in the store, and in which the leader
// receives the response.
func (e *explorer) renewSteps(state *clusterState, controller int) {
	self := &state.controllers[controller]
	alive := state.store.up && int(state.store.holder) == controller && state.store.incarnation == self.incarnation
	if alive && (!self.renewalSucceeded || self.renewAge > 0) {
		next := *state
		next.store.leaseLeft = e.leaseDuration
		next.controllers[controller].renewalSucceeded, next.controllers[controller].renewAge = true, 0
		e.add(next, "controller %d renews its lease", controller)
	}
	if self.renewalSucceeded {
		next := *state
		leader := &next.controllers[controller]
		leader.renewalSucceeded, leader.renewAge = false, 0
		validity := leader.validity()
		validity.ExtendByRenewal(e.sentAt(self.renewAge), e.validFor())
		leader.setValidity(validity)
		e.add(next, "controller %d learns that its renewal of %d ticks ago succeeded", controller, self.renewAge)
	}
}

// peerLeaseSteps adds the steps that follow a request for peer leases: each peer grants it, and the
// leader receives all grants.
func (e *explorer) peerLeaseSteps(state *clusterState, controller int) {
	self := &state.controllers[controller]
	for peer := range e.controllers {
		if peer != controller && !contains(self.grantedBy, peer) && state.controllers[peer].up {
			e.grantStep(state, controller, peer)
		}
	}
	if self.grantedBy != e.peersOf(controller) && (e.omittedGuard != AllPeersGrant || self.grantedBy == 0) {
		return
	}
	next := *state
	leader := &next.controllers[controller]
	leader.requestingPeerLeases, leader.requestAge, leader.grantedBy = false, 0, 0
	validity := leader.validity()
	if e.omittedGuard == GrantsNeedValidity {
		validity.ExtendByRenewal(e.sentAt(self.requestAge), e.validFor())
	} else {
		validity.ExtendByGrants(0, e.sentAt(self.requestAge), e.validFor())
	}
	leader.setValidity(validity)
	e.add(next, "controller %d has all grants that it requested %d ticks ago", controller, self.requestAge)
}

// grantStep adds the step in which a peer grants a leader's request. It is possible at any time,
// also while the store is available, because the store may refuse this peer alone.
func (e *explorer) grantStep(state *clusterState, leader, peer int) {
	next := *state
	grantingPeer := &next.controllers[peer]
	if grantingPeer.mayAct() && e.omittedGuard != LeaderGrantsNone {
		return
	}
	grantor := grantingPeer.grantor()
	pending := grantor.CampaignPending
	grantor.CampaignPending = pending && e.omittedGuard != PendingCampaignRefuses
	if e.omittedGuard == SucceededGetsNoGrant {
		grantor.HighestToken = 0
	}
	if !grantor.Grant(0, time.Duration(e.leaseDuration), uint64(state.controllers[leader].token)) {
		return
	}
	grantor.CampaignPending, grantor.HighestToken = pending, uint64(grantingPeer.highestToken)
	grantingPeer.setGrantor(grantor)
	next.controllers[leader].grantedBy |= 1 << peer
	e.add(next, "controller %d (incarnation %d) grants controller %d a lease", peer, grantingPeer.incarnation, leader)
}
