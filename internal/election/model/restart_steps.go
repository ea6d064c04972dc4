package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

func (e *explorer) restartedGrantor() rules.Grantor {
	return rules.RestartedGrantor(0, time.Duration(e.lease))
}

// voidingSteps are those of a restarted node that asks its peers whether they rely on grants: the
// answers, and that it voids what its earlier incarnation may have granted.
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
			e.add(next, "node %d (incarnation %d) answers node %d that it relies on no grant", peer, state.nodes[peer].incarnation, node)
		}
	}
	if self.relyOnNone == e.peersOf(node) || e.without == AllPeersRelyOnNone && self.relyOnNone != 0 {
		next := *state
		restarted := &next.nodes[node]
		grantor := restarted.grantor()
		grantor.VoidEarlierGrants(0)
		restarted.setGrantor(grantor)
		e.add(next, "node %d voids what its earlier incarnation may have granted", node)
	}
}

// reliesOnGrants is what a peer answers.
func (e *explorer) reliesOnGrants(peer *nodeState) bool {
	validity := peer.validity()
	if e.without == InvalidStillRelies {
		return validity.Valid(0)
	}
	return !validity.ReliesOnNoGrant()
}
