package model

// tickSteps adds the steps in which one tick passes. The slow clock may lose the tick.
func (e *explorer) tickSteps(state *clusterState) {
	next := *state
	next.tickStore()
	for controller := range e.controllers {
		next.controllers[controller].tick(e.leaseDuration)
	}
	next.untilNextLostTick = max(0, state.untilNextLostTick-1)
	e.add(next, "a tick passes")
	if state.untilNextLostTick == 0 && state.controllers[e.slowController].up {
		next.controllers[e.slowController] = state.controllers[e.slowController]
		next.untilNextLostTick = e.leaseDuration
		e.add(next, "a tick passes, which controller %d's clock loses", e.slowController)
	}
}

// tick advances a controller's clock by one tick. Ages are capped at a lease duration, because
// higher ages make no difference.
func (c *controllerState) tick(leaseDuration int8) {
	c.validFor, c.boundFor = max(0, c.validFor-1), max(0, c.boundFor-1)
	if c.wonToken != 0 {
		c.wonAge = min(leaseDuration, c.wonAge+1)
	}
	if c.renewalSucceeded {
		c.renewAge = min(leaseDuration, c.renewAge+1)
	}
	if c.requestingPeerLeases {
		c.requestAge = min(leaseDuration, c.requestAge+1)
	}
	if c.boundFor == 0 {
		c.boundByEarlierIncarnation, c.relyOnNoGrant = false, 0
	}
}

// tickStore advances the store's clock by one tick. Leases do not expire during an outage.
func (s *clusterState) tickStore() {
	if !s.store.up {
		return
	}
	if s.store.holder >= 0 {
		if s.store.leaseLeft--; s.store.leaseLeft <= 0 {
			s.store.holder, s.store.incarnation, s.store.leaseLeft = -1, 0, 0
		}
	}
	for controller := range s.transactions {
		for slot := range s.transactions[controller] {
			txn := &s.transactions[controller][slot]
			if txn.leaseLeft = max(0, txn.leaseLeft-1); txn.leaseLeft == 0 {
				*txn = transaction{} // the store refuses a write under a lease that has expired
			}
		}
	}
}

// outageSteps adds the step that starts or ends an outage of the store. When the outage ends,
// every lease has its full duration again.
func (e *explorer) outageSteps(state *clusterState) {
	next := *state
	next.store.up = !state.store.up
	if state.store.up {
		e.add(next, "the store becomes unavailable")
		return
	}
	if next.store.holder >= 0 {
		next.store.leaseLeft = e.leaseDuration
	}
	for controller := range next.transactions {
		for slot := range next.transactions[controller] {
			if txn := &next.transactions[controller][slot]; txn.inFlight {
				txn.leaseLeft = e.leaseDuration
			}
		}
	}
	e.add(next, "the store becomes available")
}

// processSteps adds the step that ends a controller's process or starts its next incarnation.
// Responses that it has sent to others are still delivered.
func (e *explorer) processSteps(state *clusterState, controller int) {
	next := *state
	self := &next.controllers[controller]
	if state.controllers[controller].up {
		if state.controllers[controller].incarnation < maxIncarnation {
			*self = controllerState{incarnation: state.controllers[controller].incarnation}
			e.add(next, "controller %d ends", controller)
		}
		return
	}
	*self = controllerState{up: true, incarnation: state.controllers[controller].incarnation + 1}
	self.setGrantor(e.restartedGrantor())
	e.add(next, "controller %d starts incarnation %d", controller, self.incarnation)
}
