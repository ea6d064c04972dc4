package model

import "time"

// leaderSteps are those of a node that holds the leadership: renewals, and peer leases in their
// place.
func (e *explorer) leaderSteps(state *clusterState, node int) {
	n := &state.nodes[node]
	if !n.held {
		return
	}
	e.renewSteps(state, node)
	if n.validFor > 0 && (!n.requesting || n.requestAge > 0) {
		next := *state
		leader := &next.nodes[node]
		leader.requesting, leader.requestAge, leader.granted = true, 0, 0
		e.add(next, "node %d requests leases of all peers", node)
	}
	if n.requesting {
		e.peerLeaseSteps(state, node)
	}
	if n.validFor == 0 {
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
	n := &state.nodes[node]
	alive := state.store.up && int(state.store.holder) == node && state.store.incarnation == n.incarnation
	if alive && (!n.renewed || n.renewAge > 0) {
		next := *state
		next.store.lease = e.lease
		next.nodes[node].renewed, next.nodes[node].renewAge = true, 0
		e.add(next, "node %d renews", node)
	}
	if n.renewed {
		next := *state
		leader := &next.nodes[node]
		leader.renewed, leader.renewAge = false, 0
		validity := leader.validity()
		validity.ExtendByRenewal(e.sentAt(n.renewAge), e.validFor())
		leader.setValidity(validity)
		e.add(next, "node %d hears that it renewed %d ticks ago", node, n.renewAge)
	}
}

// peerLeaseSteps are the answers to one request for peer leases: that each peer grants, and that
// the leader has all grants.
func (e *explorer) peerLeaseSteps(state *clusterState, node int) {
	n := &state.nodes[node]
	for peer := range e.nodes {
		if peer != node && !contains(n.granted, peer) && state.nodes[peer].up {
			e.grantStep(state, node, peer)
		}
	}
	if n.granted != e.peersOf(node) && (e.without != AllPeersGrant || n.granted == 0) {
		return
	}
	next := *state
	leader := &next.nodes[node]
	leader.requesting, leader.requestAge, leader.granted = false, 0, 0
	validity := leader.validity()
	if e.without == GrantsNeedValidity {
		validity.ExtendByRenewal(e.sentAt(n.requestAge), e.validFor())
	} else {
		validity.ExtendByGrants(0, e.sentAt(n.requestAge), e.validFor())
	}
	leader.setValidity(validity)
	e.add(next, "node %d has all grants that it requested %d ticks ago", node, n.requestAge)
}

// grantStep is that a peer grants a leader's request. The store may refuse that peer alone, so
// that it may grant at any time.
func (e *explorer) grantStep(state *clusterState, leader, peer int) {
	next := *state
	n := &next.nodes[peer]
	if n.mayAct() && e.without != LeaderGrantsNone {
		return
	}
	grantor := n.grantor()
	pending := grantor.CampaignPending
	grantor.CampaignPending = pending && e.without != PendingCampaignRefuses
	if e.without == SucceededGetsNoGrant {
		grantor.HighestToken = 0
	}
	if !grantor.Grant(0, time.Duration(e.lease), uint64(state.nodes[leader].token)) {
		return
	}
	grantor.CampaignPending, grantor.HighestToken = pending, uint64(n.highestToken)
	n.setGrantor(grantor)
	next.nodes[leader].granted |= 1 << peer
	e.add(next, "node %d (incarnation %d) grants node %d a lease", peer, n.incarnation, leader)
}
