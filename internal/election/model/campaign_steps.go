package model

import "ospreyslip/internal/election/rules"

// transactionArrivalSteps adds the steps in which a transaction of a controller reaches the store.
// The response may arrive at any later time, or never.
func (e *explorer) transactionArrivalSteps(state *clusterState, controller int) {
	for slot, txn := range state.transactions[controller] {
		if !txn.inFlight {
			continue
		}
		next := *state
		next.transactions[controller][slot] = transaction{}
		sender := &next.controllers[controller]
		senderRunning := sender.up && sender.incarnation == txn.incarnation
		if state.guardsHold(controller, txn) {
			next.store.holder, next.store.incarnation = int8(controller), txn.incarnation
			next.store.leaseLeft, next.store.token = txn.leaseLeft, txn.baseToken+1
			if senderRunning && !sender.holdsTerm {
				sender.wonToken, sender.wonAge = txn.baseToken+1, e.leaseDuration-txn.leaseLeft
			}
			e.add(next, "controller %d's transaction (incarnation %d) takes token %d", controller, txn.incarnation, txn.baseToken+1)
			continue
		}
		e.add(next, "controller %d's transaction (incarnation %d) fails, and the answer is lost", controller, txn.incarnation)
		if senderRunning && sender.campaignPending && sender.campaignBaseToken == txn.baseToken {
			grantor := sender.grantor()
			grantor.EndCampaign()
			sender.setGrantor(grantor)
			e.add(next, "controller %d's transaction (incarnation %d) fails", controller, txn.incarnation)
		}
	}
}

// guardsHold reports whether both keys are still as they were when the campaign read them.
func (s *clusterState) guardsHold(controller int, txn transaction) bool {
	if s.store.token != txn.baseToken {
		return false
	}
	if txn.holderIncarnation == 0 {
		return s.store.holder < 0
	}
	return int(s.store.holder) == controller && s.store.incarnation == txn.holderIncarnation
}

// campaignSteps adds the steps of a controller that does not hold the leadership.
func (e *explorer) campaignSteps(state *clusterState, controller int) {
	self := &state.controllers[controller]
	if self.holdsTerm {
		return
	}
	if self.wonToken != 0 {
		e.winStep(state, controller)
		return
	}
	store := &state.store
	ownKey := int(store.holder) == controller && store.incarnation != self.incarnation
	bothSlotsUsed := state.transactions[controller][0].inFlight && state.transactions[controller][1].inFlight
	if store.up && (store.holder < 0 || ownKey) && store.token < maxToken && !bothSlotsUsed {
		e.campaignStep(state, controller, ownKey)
	}
}

// campaignStep adds the step in which a controller reads that the key is free, or held by its own
// earlier incarnation, and sends the transaction of a campaign.
func (e *explorer) campaignStep(state *clusterState, controller int, ownKey bool) {
	next := *state
	self := &next.controllers[controller]
	baseToken := uint64(state.store.token)
	grantor := self.grantor()
	grantor.ObserveToken(baseToken)
	boundUntil := grantor.BoundUntil
	if e.isGrantIgnored(grantor) {
		grantor.BoundUntil = 0
	}
	if !grantor.StartCampaign(0, ownKey, baseToken) {
		return
	}
	grantor.BoundUntil = boundUntil
	self.setGrantor(grantor)

	txn := transaction{inFlight: true, incarnation: self.incarnation, baseToken: state.store.token, leaseLeft: e.leaseDuration}
	if ownKey {
		txn.holderIncarnation = state.store.incarnation
	}
	slot := 0
	if state.transactions[controller][0].inFlight {
		slot = 1
	}
	next.transactions[controller][slot] = txn
	e.add(next, "controller %d (incarnation %d) campaigns after token %d", controller, self.incarnation, state.store.token)
}

// isGrantIgnored reports whether the exploration omits the guard by which the grantor's promise
// delays campaigns.
func (e *explorer) isGrantIgnored(grantor rules.Grantor) bool {
	if grantor.BoundByEarlierIncarnation {
		return e.omittedGuard == WaitAfterRestart
	}
	return e.omittedGuard == GrantForbidsCampaigns
}

// winStep adds the step in which a controller learns that its campaign has succeeded.
func (e *explorer) winStep(state *clusterState, controller int) {
	next := *state
	self := &next.controllers[controller]
	grantor := self.grantor()
	grantor.EndCampaign()
	grantor.ObserveToken(uint64(self.wonToken))
	self.setGrantor(grantor)
	validity := rules.LeaseValidity{HoldsTerm: true}
	validity.ExtendByRenewal(e.sentAt(self.wonAge), e.validFor())
	self.setValidity(validity)
	self.token, self.wonToken, self.wonAge = self.wonToken, 0, 0
	e.add(next, "controller %d (incarnation %d) leads with token %d", controller, self.incarnation, self.token)
}
