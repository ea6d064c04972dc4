package model

import "ospreyslip/internal/election/rules"

// arrivalSteps adds the steps in which a transaction of a controller reaches the store. The answer
// may arrive at any later time, or never.
func (e *explorer) arrivalSteps(state *clusterState, node int) {
	for slot, sent := range state.transactions[node] {
		if !sent.present {
			continue
		}
		next := *state
		next.transactions[node][slot] = transaction{}
		sender := &next.nodes[node]
		heard := sender.up && sender.incarnation == sent.incarnation
		if state.guardsHold(node, sent) {
			next.store.holder, next.store.incarnation = int8(node), sent.incarnation
			next.store.lease, next.store.token = sent.lease, sent.base+1
			if heard && !sender.held {
				sender.wonToken, sender.wonAge = sent.base+1, e.lease-sent.lease
			}
			e.add(next, "controller %d's transaction (incarnation %d) takes token %d", node, sent.incarnation, sent.base+1)
			continue
		}
		e.add(next, "controller %d's transaction (incarnation %d) fails, and the answer is lost", node, sent.incarnation)
		if heard && sender.campaignPending && sender.campaignBase == sent.base {
			grantor := sender.grantor()
			grantor.CampaignSettled()
			sender.setGrantor(grantor)
			e.add(next, "controller %d's transaction (incarnation %d) fails", node, sent.incarnation)
		}
	}
}

// guardsHold reports whether both keys are still as they were when the campaign read them.
func (s *clusterState) guardsHold(node int, sent transaction) bool {
	if s.store.token != sent.base {
		return false
	}
	if sent.ownIncarnation == 0 {
		return s.store.holder < 0
	}
	return int(s.store.holder) == node && s.store.incarnation == sent.ownIncarnation
}

// campaignSteps adds the steps of a controller that does not hold the leadership.
func (e *explorer) campaignSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	if self.held {
		return
	}
	if self.wonToken != 0 {
		e.winStep(state, node)
		return
	}
	store := &state.store
	ownKey := int(store.holder) == node && store.incarnation != self.incarnation
	bothInUse := state.transactions[node][0].present && state.transactions[node][1].present
	if store.up && (store.holder < 0 || ownKey) && store.token < maxToken && !bothInUse {
		e.campaignStep(state, node, ownKey)
	}
}

// campaignStep adds the step in which a controller reads that the key is free, or held by its own
// earlier incarnation, and sends the transaction of a campaign.
func (e *explorer) campaignStep(state *clusterState, node int, ownKey bool) {
	next := *state
	self := &next.nodes[node]
	base := uint64(state.store.token)
	grantor := self.grantor()
	grantor.ObserveToken(base)
	boundUntil := grantor.BoundUntil
	if e.bindsNothing(grantor) {
		grantor.BoundUntil = 0
	}
	if !grantor.BeginCampaign(0, ownKey, base) {
		return
	}
	grantor.BoundUntil = boundUntil
	self.setGrantor(grantor)

	sent := transaction{present: true, incarnation: self.incarnation, base: state.store.token, lease: e.lease}
	if ownKey {
		sent.ownIncarnation = state.store.incarnation
	}
	slot := 0
	if state.transactions[node][0].present {
		slot = 1
	}
	next.transactions[node][slot] = sent
	e.add(next, "controller %d (incarnation %d) campaigns after token %d", node, self.incarnation, state.store.token)
}

// bindsNothing reports whether the exploration omits the guard by which the grantor's promise
// delays campaigns.
func (e *explorer) bindsNothing(grantor rules.Grantor) bool {
	if grantor.FromEarlierIncarnation {
		return e.without == WaitAfterRestart
	}
	return e.without == GrantForbidsCampaigns
}

// winStep adds the step in which a controller learns that its campaign has succeeded.
func (e *explorer) winStep(state *clusterState, node int) {
	next := *state
	self := &next.nodes[node]
	grantor := self.grantor()
	grantor.CampaignSettled()
	grantor.ObserveToken(uint64(self.wonToken))
	self.setGrantor(grantor)
	validity := rules.LeaseValidity{Held: true}
	validity.ExtendByRenewal(e.sentAt(self.wonAge), e.validFor())
	self.setValidity(validity)
	self.token, self.wonToken, self.wonAge = self.wonToken, 0, 0
	e.add(next, "controller %d (incarnation %d) leads with token %d", node, self.incarnation, self.token)
}
