package model

import "time"

// leaderSteps are those of a node that holds the leadership: renewals, and peer leases in their
// place.
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
		e.add(next, "node %d requests leases of all peers", node)
	}
	if self.requesting {
		e.peerLeaseSteps(state, node)
	}
	if self.validFor == 0 {
		next := *state
		next.nodes[node].giveUp()
		e.add(next, "node %d gives the leadership up", node)
	}
}

// giveUp ends a term for good. What is on its way to the leader is for nobody any more.
func (n *nodeState) giveUp() {
	n.held, n.validFor, n.token = false, 0, 0
	n.renewed, n.requesting, n.granted = false, false, 0
	n.renewAge, n.requestAge = 0, 0
}

// renewSteps are that a renewal succeeds in the store, and that the leader hears of it.
func (e *explorer) renewSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	alive := state.store.up && int(state.store.holder) == node && state.store.incarnation == self.incarnation
	if alive && (!self.renewed || self.renewAge > 0) {
		next := *state
		next.store.lease = e.lease
		next.nodes[node].renewed, next.nodes[node].renewAge = true, 0
		e.add(next, "node %d renews", node)
	}
	if self.renewed {
		next := *state
		leader := &next.nodes[node]
		leader.renewed, leader.renewAge = false, 0
		validity := leader.validity()
		validity.ExtendByRenewal(e.sentAt(self.renewAge), e.validFor())
		leader.setValidity(validity)
		e.add(next, "node %d hears that it renewed %d ticks ago", node, self.renewAge)
	}
}

// peerLeaseSteps are the answers to one request for peer leases: that each peer grants, and that
// the leader has all grants.
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
	e.add(next, "node %d has all grants that it requested %d ticks ago", node, self.requestAge)
}

// grantStep is that a peer grants a leader's request. The store may refuse that peer alone, so
// that it may grant at any time.
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
	e.add(next, "node %d (incarnation %d) grants node %d a lease", peer, grantingPeer.incarnation, leader)
}
