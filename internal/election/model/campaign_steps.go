package model

import "ospreyslip/internal/election/rules"

// arrivalSteps are transactions of a node that reach the store. The answer may be heard at any
// later time, or never.
func (e *explorer) arrivalSteps(state *clusterState, node int) {
	for slot, t := range state.transactions[node] {
		if !t.present {
			continue
		}
		next := *state
		next.transactions[node][slot] = transaction{}
		sender := &next.nodes[node]
		heard := sender.up && sender.incarnation == t.incarnation
		if state.guardsHold(node, t) {
			next.store.holder, next.store.incarnation = int8(node), t.incarnation
			next.store.lease, next.store.token = t.lease, t.base+1
			if heard && !sender.held {
				sender.wonToken, sender.wonAge = t.base+1, e.lease-t.lease
			}
			e.add(next, "node %d's transaction (incarnation %d) takes token %d", node, t.incarnation, t.base+1)
			continue
		}
		e.add(next, "node %d's transaction (incarnation %d) fails, which nobody hears", node, t.incarnation)
		if heard && sender.campaignPending && sender.campaignBase == t.base {
			grantor := sender.grantor()
			grantor.CampaignSettled()
			sender.setGrantor(grantor)
			e.add(next, "node %d's transaction (incarnation %d) fails", node, t.incarnation)
		}
	}
}

// guardsHold tells whether a node's transaction finds both keys as they were when they were read.
func (s *clusterState) guardsHold(node int, t transaction) bool {
	if s.store.token != t.base {
		return false
	}
	if t.ownIncarnation == 0 {
		return s.store.holder < 0
	}
	return int(s.store.holder) == node && s.store.incarnation == t.ownIncarnation
}

// campaignSteps are those of a node that does not hold the leadership.
func (e *explorer) campaignSteps(state *clusterState, node int) {
	n := &state.nodes[node]
	if n.held {
		return
	}
	if n.wonToken != 0 {
		e.winStep(state, node)
		return
	}
	store := &state.store
	ownKey := int(store.holder) == node && store.incarnation != n.incarnation
	bothInUse := state.transactions[node][0].present && state.transactions[node][1].present
	if store.up && (store.holder < 0 || ownKey) && store.token < maxToken && !bothInUse {
		e.campaignStep(state, node, ownKey)
	}
}

// campaignStep is that a node reads that nobody leads, or its own earlier incarnation, and sends
// the transaction of a campaign.
func (e *explorer) campaignStep(state *clusterState, node int, ownKey bool) {
	next := *state
	n := &next.nodes[node]
	base := uint64(state.store.token)
	grantor := n.grantor()
	grantor.ObserveToken(base)
	boundUntil := grantor.BoundUntil
	if e.bindsNothing(grantor) {
		grantor.BoundUntil = 0
	}
	if !grantor.BeginCampaign(0, ownKey, base) {
		return
	}
	grantor.BoundUntil = boundUntil
	n.setGrantor(grantor)

	t := transaction{present: true, incarnation: n.incarnation, base: state.store.token, lease: e.lease}
	if ownKey {
		t.ownIncarnation = state.store.incarnation
	}
	slot := 0
	if state.transactions[node][0].present {
		slot = 1
	}
	next.transactions[node][slot] = t
	e.add(next, "node %d (incarnation %d) campaigns after token %d", node, n.incarnation, state.store.token)
}

// bindsNothing tells whether the guard is left out by which a grantor is bound.
func (e *explorer) bindsNothing(grantor rules.Grantor) bool {
	if grantor.FromEarlierIncarnation {
		return e.without == WaitAfterRestart
	}
	return e.without == GrantForbidsCampaigns
}

// winStep is that a node hears that its campaign has succeeded.
func (e *explorer) winStep(state *clusterState, node int) {
	next := *state
	n := &next.nodes[node]
	grantor := n.grantor()
	grantor.CampaignSettled()
	grantor.ObserveToken(uint64(n.wonToken))
	n.setGrantor(grantor)
	validity := rules.LeaseValidity{Held: true}
	validity.ExtendByRenewal(e.sentAt(n.wonAge), e.validFor())
	n.setValidity(validity)
	n.token, n.wonToken, n.wonAge = n.wonToken, 0, 0
	e.add(next, "node %d (incarnation %d) leads with token %d", node, n.incarnation, n.token)
}
