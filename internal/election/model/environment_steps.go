package model

// tickSteps adds the steps in which one tick passes. The slow clock may lose the tick.
func (e *explorer) tickSteps(state *clusterState) {
	next := *state
	next.tickStore()
	for node := range e.nodes {
		next.nodes[node].tick(e.lease)
	}
	next.sinceSlow = max(0, state.sinceSlow-1)
	e.add(next, "a tick passes")
	if state.sinceSlow == 0 && state.nodes[e.slowNode].up {
		next.nodes[e.slowNode] = state.nodes[e.slowNode]
		next.sinceSlow = e.lease
		e.add(next, "a tick passes, which controller %d's clock loses", e.slowNode)
	}
}

// tick advances a controller's clock by one tick. Ages are capped at a lease duration, because
// higher ages make no difference.
func (n *nodeState) tick(lease int8) {
	n.validFor, n.boundFor = max(0, n.validFor-1), max(0, n.boundFor-1)
	if n.wonToken != 0 {
		n.wonAge = min(lease, n.wonAge+1)
	}
	if n.renewed {
		n.renewAge = min(lease, n.renewAge+1)
	}
	if n.requesting {
		n.requestAge = min(lease, n.requestAge+1)
	}
	if n.boundFor == 0 {
		n.fromEarlier, n.relyOnNone = false, 0
	}
}

// tickStore advances the store's clock by one tick. Leases do not expire during an outage.
func (s *clusterState) tickStore() {
	if !s.store.up {
		return
	}
	if s.store.holder >= 0 {
		if s.store.lease--; s.store.lease <= 0 {
			s.store.holder, s.store.incarnation, s.store.lease = -1, 0, 0
		}
	}
	for node := range s.transactions {
		for slot := range s.transactions[node] {
			sent := &s.transactions[node][slot]
			if sent.lease = max(0, sent.lease-1); sent.lease == 0 {
				*sent = transaction{} // the store refuses a write under a lease that has ended
			}
		}
	}
}

// outageSteps adds the step that begins or ends an outage of the store. When the outage ends,
// every lease has its full duration again.
func (e *explorer) outageSteps(state *clusterState) {
	next := *state
	next.store.up = !state.store.up
	if state.store.up {
		e.add(next, "the store becomes unavailable")
		return
	}
	if next.store.holder >= 0 {
		next.store.lease = e.lease
	}
	for node := range next.transactions {
		for slot := range next.transactions[node] {
			if sent := &next.transactions[node][slot]; sent.present {
				sent.lease = e.lease
			}
		}
	}
	e.add(next, "the store becomes available")
}

// processSteps adds the step that ends a controller's process or starts its next incarnation.
// Answers that it has sent to others are still delivered.
func (e *explorer) processSteps(state *clusterState, node int) {
	next := *state
	self := &next.nodes[node]
	if state.nodes[node].up {
		if state.nodes[node].incarnation < maxIncarnation {
			*self = nodeState{incarnation: state.nodes[node].incarnation}
			e.add(next, "controller %d ends", node)
		}
		return
	}
	*self = nodeState{up: true, incarnation: state.nodes[node].incarnation + 1}
	self.setGrantor(e.restartedGrantor())
	e.add(next, "controller %d starts incarnation %d", node, self.incarnation)
}
