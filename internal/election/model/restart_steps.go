package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

func (e *explorer) restartedGrantor() rules.Grantor {
	return rules.NewRestartedGrantor(0, time.Duration(e.leaseDuration))
}

// voidGrantsSteps adds the steps of a restarted controller that asks its peers whether they rely on
// grants: the peers' responses, and the step that voids the leases that its earlier incarnation may
// have granted.
func (e *explorer) voidGrantsSteps(state *clusterState, controller int) {
	self := &state.controllers[controller]
	if !self.boundByEarlierIncarnation {
		return
	}
	for peer := range e.controllers {
		if peer == controller || contains(self.relyOnNoGrant, peer) || !state.controllers[peer].up {
			continue
		}
		if !e.reliesOnGrants(&state.controllers[peer]) {
			next := *state
			next.controllers[controller].relyOnNoGrant |= 1 << peer
			e.add(next, "controller %d (incarnation %d) answers controller %d that it relies on no grant", peer, state.controllers[peer].incarnation, controller)
		}
	}
	if self.relyOnNoGrant == e.peersOf(controller) || e.omittedGuard == AllPeersRelyOnNone && self.relyOnNoGrant != 0 {
		next := *state
		restarted := &next.controllers[controller]
		grantor := restarted.grantor()
		grantor.VoidEarlierGrants(0)
		restarted.setGrantor(grantor)
		e.add(next, "controller %d voids the leases that its earlier incarnation may have granted", controller)
	}
}

// reliesOnGrants reports whether a peer tells a restarted controller that it relies on grants.
func (e *explorer) reliesOnGrants(peer *controllerState) bool {
	validity := peer.validity()
	if e.omittedGuard == InvalidStillRelies {
		return validity.Valid(0)
	}
	return !validity.ReliesOnNoGrant()
}
