package model

// tickSteps let a tick pass. The slow clock may lose it.
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
		e.add(next, "a tick passes, which node %d's clock loses", e.slowNode)
	}
}

// tick lets a tick pass on a node's clock. Ages beyond a lease duration make no difference.
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

// tickStore lets a tick pass on the store's clock. Leases do not end in an outage.
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
				*sent = transaction{} // without its lease, it would be refused
			}
		}
	}
}

// outageSteps begin or end an outage of the store. At its end, every lease has its full duration
// again.
func (e *explorer) outageSteps(state *clusterState) {
	next := *state
	next.store.up = !state.store.up
	if state.store.up {
		e.add(next, "the store is away")
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
	e.add(next, "the store is back")
}

// processSteps end a node's process, or begin its next incarnation. Its answers to others stay on
// their way.
func (e *explorer) processSteps(state *clusterState, node int) {
	next := *state
	self := &next.nodes[node]
	if state.nodes[node].up {
		if state.nodes[node].incarnation < maxIncarnation {
			*self = nodeState{incarnation: state.nodes[node].incarnation}
			e.add(next, "node %d ends", node)
		}
		return
	}
	*self = nodeState{up: true, incarnation: state.nodes[node].incarnation + 1}
	self.setGrantor(e.restartedGrantor())
	e.add(next, "node %d begins its incarnation %d", node, self.incarnation)
}
