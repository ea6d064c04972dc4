package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

func (e *explorer) restartedGrantor() rules.Grantor {
	return rules.RestartedGrantor(0, time.Duration(e.lease))
}

// voidingSteps adds the steps of a restarted controller that asks its peers whether they rely on
// grants: the peers' answers, and the step that voids the leases that its earlier incarnation may
// have granted.
func (e *explorer) voidingSteps(state *clusterState, node int) {
	self := &state.nodes[node]
	if !self.fromEarlier {
		return
	}
	for peer := range e.nodes {
		if peer == node || contains(self.relyOnNone, peer) || !state.nodes[peer].up {
			continue
		}
		if !e.reliesOnGrants(&state.nodes[peer]) {
			next := *state
			next.nodes[node].relyOnNone |= 1 << peer
			e.add(next, "controller %d (incarnation %d) answers controller %d that it relies on no grant", peer, state.nodes[peer].incarnation, node)
		}
	}
	if self.relyOnNone == e.peersOf(node) || e.without == AllPeersRelyOnNone && self.relyOnNone != 0 {
		next := *state
		restarted := &next.nodes[node]
		grantor := restarted.grantor()
		grantor.VoidEarlierGrants(0)
		restarted.setGrantor(grantor)
		e.add(next, "controller %d voids the leases that its earlier incarnation may have granted", node)
	}
}

// reliesOnGrants returns a peer's answer to a restarted controller.
func (e *explorer) reliesOnGrants(peer *nodeState) bool {
	validity := peer.validity()
	if e.without == InvalidStillRelies {
		return validity.Valid(0)
	}
	return !validity.ReliesOnNoGrant()
}
