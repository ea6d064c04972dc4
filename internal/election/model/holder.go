package model

import (
	"time"

	"ospreyslip/internal/election/rules"
)

// holderSteps are those of a node that holds the term: renewals, and promises in their place.
func (e *explorer) holderSteps(s *State, i int) {
	n := &s.nodes[i]
	if !n.holding {
		return
	}
	e.renewSteps(s, i)
	if n.cover > 0 && (!n.asking || n.askAgo > 0) {
		next := *s
		m := &next.nodes[i]
		m.asking, m.askAgo, m.promised = true, 0, 0
		e.add(next, "node %d asks all others for promises", i)
	}
	if n.asking {
		e.promiseSteps(s, i)
	}
	if n.cover == 0 {
		next := *s
		next.nodes[i].giveUp()
		e.add(next, "node %d gives the term up", i)
	}
}

// giveUp ends a term for good. What is on its way to the holder is for nobody any more.
func (n *nodeState) giveUp() {
	n.holding, n.cover, n.token = false, 0, 0
	n.renewed, n.asking, n.promised = false, false, 0
	n.renewAgo, n.askAgo = 0, 0
}

func (e *explorer) renewSteps(s *State, i int) {
	n := &s.nodes[i]
	alive := s.service.up && int(s.service.holder) == i && s.service.life == n.life
	if alive && (!n.renewed || n.renewAgo > 0) {
		next := *s
		next.service.lease = e.lease
		next.nodes[i].renewed, next.nodes[i].renewAgo = true, 0
		e.add(next, "node %d renews", i)
	}
	if n.renewed {
		next := *s
		m := &next.nodes[i]
		m.renewed, m.renewAgo = false, 0
		c := m.coverage()
		c.Renewed(e.sent(n.renewAgo), e.safe())
		m.setCoverage(c)
		e.add(next, "node %d hears that it renewed %d ticks ago", i, n.renewAgo)
	}
}

// promiseSteps are the answers of one round.
func (e *explorer) promiseSteps(s *State, i int) {
	n := &s.nodes[i]
	for j := range e.nodes {
		if j != i && !has(n.promised, j) && s.nodes[j].up {
			e.give(s, i, j)
		}
	}
	if n.promised != e.others(i) && (e.without != AllOthersPromise || n.promised == 0) {
		return
	}
	next := *s
	m := &next.nodes[i]
	m.asking, m.askAgo, m.promised = false, 0, 0
	c := m.coverage()
	if e.without == CoveredWhenPromised {
		c.Renewed(e.sent(n.askAgo), e.safe())
	} else {
		c.Promised(0, e.sent(n.askAgo), e.safe())
	}
	m.setCoverage(c)
	e.add(next, "node %d has all promises that it asked for %d ticks ago", i, n.askAgo)
}

// give has node j decide about node i's question. The service may refuse j alone, so that it
// may promise at any time.
func (e *explorer) give(s *State, i, j int) {
	next := *s
	giver := &next.nodes[j]
	if giver.acts() && e.without != HolderGivesNone {
		return
	}
	g := giver.giver()
	open := g.Open
	g.Open = open && e.without != OpenCampaignRefuses
	if e.without == SucceededGetsNone {
		g.Known = 0
	}
	if !g.Give(0, time.Duration(e.lease), uint64(s.nodes[i].token)) {
		return
	}
	g.Open, g.Known = open, uint64(giver.known)
	giver.setGiver(g)
	next.nodes[i].promised |= 1 << j
	e.add(next, "node %d (life %d) promises node %d not to take the term", j, giver.life, i)
}

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
		relies := !c.ReliesOnNothing()
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
		g.EarlierIsVoid(0)
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
	n.setGiver(rules.Restarted(0, time.Duration(e.lease)))
	e.add(next, "node %d begins its life %d", i, n.life)
}
