package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

// idleSteps are the answers to a restarted node that asks whether anybody relies on promises.
func (e *explorer) idleSteps(s *State, i int) {
	n := &s.nodes[i]
	if !n.fromEarlier {
		return
	}
	for j := range e.nodes {
		if j == i || has(n.idle, j) || !s.nodes[j].up {
			continue
		}
		c := s.nodes[j].coverage()
		relies := !c.ReliesOnNoGrant()
		if e.without == UncoveredStillRelies {
			relies = c.Valid(0)
		}
		if !relies {
			next := *s
			next.nodes[i].idle |= 1 << j
			e.add(next, "node %d (life %d) answers node %d that it relies on no promise", j, s.nodes[j].life, i)
		}
	}
	if n.idle == e.others(i) || e.without == AllAnswerIdle && n.idle != 0 {
		next := *s
		m := &next.nodes[i]
		g := m.giver()
		g.VoidEarlierGrants(0)
		m.setGiver(g)
		e.add(next, "node %d disregards what its earlier life may have promised", i)
	}
}

// lifeSteps are ends and new beginnings of a node's process. Its answers to others stay on
// their way.
func (e *explorer) lifeSteps(s *State, i int) {
	next := *s
	n := &next.nodes[i]
	if s.nodes[i].up {
		if s.nodes[i].life < mostLives {
			*n = nodeState{life: s.nodes[i].life}
			e.add(next, "node %d ends", i)
		}
		return
	}
	*n = nodeState{up: true, life: s.nodes[i].life + 1}
	n.setGiver(rules.RestartedGrantor(0, time.Duration(e.lease)))
	e.add(next, "node %d begins its life %d", i, n.life)
}
