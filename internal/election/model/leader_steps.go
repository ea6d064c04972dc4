package model

import "time"

// leaderSteps adds the steps of a controller that holds the leadership: renewals and requests for
// peer leases.
func (e *explorer) leaderSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	if !self.held {
		return
	}
	e.renewSteps(state, node)
	if self.validFor > 0 && (!self.requesting || self.requestAge > 0) {
		next := *state
		leader := &next.nodes[node]
		leader.requesting, leader.requestAge, leader.granted = true, 0, 0
		e.add(next, "controller %d requests leases from all peers", node)
	}
	if self.requesting {
		e.peerLeaseSteps(state, node)
	}
	if self.validFor == 0 {
		next := *state
		next.nodes[node].giveUp()
		e.add(next, "controller %d gives up the leadership", node)
	}
}

// giveUp ends a term for good. Answers that are still in flight to the leader are discarded.
func (n *nodeState) giveUp() {
	n.held, n.validFor, n.token = false, 0, 0
	n.renewed, n.requesting, n.granted = false, false, 0
	n.renewAge, n.requestAge = 0, 0
}

// renewSteps adds the steps in which a renewal succeeds in the store, and in which the leader
// receives the answer.
func (e *explorer) renewSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	alive := state.store.up && int(state.store.holder) == node && state.store.incarnation == self.incarnation
	if alive && (!self.renewed || self.renewAge > 0) {
		next := *state
		next.store.lease = e.lease
		next.nodes[node].renewed, next.nodes[node].renewAge = true, 0
		e.add(next, "controller %d renews its lease", node)
	}
	if self.renewed {
		next := *state
		leader := &next.nodes[node]
		leader.renewed, leader.renewAge = false, 0
		validity := leader.validity()
		validity.ExtendByRenewal(e.sentAt(self.renewAge), e.validFor())
		leader.setValidity(validity)
		e.add(next, "controller %d learns that its renewal of %d ticks ago succeeded", node, self.renewAge)
	}
}

// peerLeaseSteps adds the steps that answer a request for peer leases: each peer grants it, and
// the leader receives all grants.
func (e *explorer) peerLeaseSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	for peer := range e.nodes {
		if peer != node && !contains(self.granted, peer) && state.nodes[peer].up {
			e.grantStep(state, node, peer)
		}
	}
	if self.granted != e.peersOf(node) && (e.without != AllPeersGrant || self.granted == 0) {
		return
	}
	next := *state
	leader := &next.nodes[node]
	leader.requesting, leader.requestAge, leader.granted = false, 0, 0
	validity := leader.validity()
	if e.without == GrantsNeedValidity {
		validity.ExtendByRenewal(e.sentAt(self.requestAge), e.validFor())
	} else {
		validity.ExtendByGrants(0, e.sentAt(self.requestAge), e.validFor())
	}
	leader.setValidity(validity)
	e.add(next, "controller %d has all grants that it requested %d ticks ago", node, self.requestAge)
}

// grantStep adds the step in which a peer grants a leader's request. It is possible at any time,
// also while the store is available, because the store may refuse this peer alone.
func (e *explorer) grantStep(state *clusterState, leader, peer int) {
	next := *state
	grantingPeer := &next.nodes[peer]
	if grantingPeer.mayAct() && e.without != LeaderGrantsNone {
		return
	}
	grantor := grantingPeer.grantor()
	pending := grantor.CampaignPending
	grantor.CampaignPending = pending && e.without != PendingCampaignRefuses
	if e.without == SucceededGetsNoGrant {
		grantor.HighestToken = 0
	}
	if !grantor.Grant(0, time.Duration(e.lease), uint64(state.nodes[leader].token)) {
		return
	}
	grantor.CampaignPending, grantor.HighestToken = pending, uint64(grantingPeer.highestToken)
	grantingPeer.setGrantor(grantor)
	next.nodes[leader].granted |= 1 << peer
	e.add(next, "controller %d (incarnation %d) grants controller %d a lease", peer, grantingPeer.incarnation, leader)
}
