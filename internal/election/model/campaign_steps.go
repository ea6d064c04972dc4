package model

import "ospreyslip/internal/election/rules"

// arrivals are transactions of a node that reach the state service. Its answer may be heard
// at any later time, or never.
func (e *explorer) arrivals(s *State, i int) {
	for j, t := range s.transactions[i] {
		if !t.present {
			continue
		}
		next := *s
		next.transactions[i][j] = transaction{}
		free := t.own == 0 && s.service.holder < 0 || t.own != 0 && int(s.service.holder) == i && s.service.life == t.own
		n := &next.nodes[i]
		mine := n.up && n.life == t.life
		if free && s.service.token == t.after {
			next.service.holder, next.service.life, next.service.lease, next.service.token = int8(i), t.life, t.grant, t.after+1
			if mine && !n.holding {
				n.taken, n.sentAgo = t.after+1, e.lease-t.grant
			}
			e.add(next, "node %d's transaction (life %d) takes token %d", i, t.life, t.after+1)
			continue
		}
		e.add(next, "node %d's transaction (life %d) fails, which nobody hears", i, t.life)
		if mine && n.open && n.after == t.after {
			g := n.giver()
			g.CampaignSettled()
			n.setGiver(g)
			e.add(next, "node %d's transaction (life %d) fails", i, t.life)
		}
	}
}

// campaignSteps are those of a node that does not hold the term.
func (e *explorer) campaignSteps(s *State, i int) {
	n := &s.nodes[i]
	if n.holding {
		return
	}
	if n.taken != 0 {
		e.hold(s, i)
		return
	}
	own := int(s.service.holder) == i && s.service.life != n.life
	busy := s.transactions[i][0].present && s.transactions[i][1].present
	if s.service.up && (s.service.holder < 0 || own) && s.service.token < mostTokens && !busy {
		e.campaign(s, i, own)
	}
}

// campaign reads that the term is free to take, and sends a transaction that takes it.
func (e *explorer) campaign(s *State, i int, own bool) {
	next := *s
	m := &next.nodes[i]
	g := m.giver()
	g.ObserveToken(uint64(s.service.token))
	until, earlier := g.BoundUntil, g.FromEarlierIncarnation
	if e.without == PromiseForbids && !earlier || e.without == WaitAfterRestart && earlier {
		g.BoundUntil = 0
	}
	if !g.BeginCampaign(0, own, uint64(s.service.token)) {
		return
	}
	g.BoundUntil = until
	m.setGiver(g)
	slot := 0
	if s.transactions[i][0].present {
		slot = 1
	}
	t := transaction{present: true, life: m.life, after: s.service.token, grant: e.lease}
	if own {
		t.own = s.service.life
	}
	next.transactions[i][slot] = t
	e.add(next, "node %d (life %d) campaigns after token %d", i, m.life, s.service.token)
}

// hold is that a node hears that it has taken the term.
func (e *explorer) hold(s *State, i int) {
	next := *s
	m := &next.nodes[i]
	g := m.giver()
	g.CampaignSettled()
	g.ObserveToken(uint64(m.taken))
	m.setGiver(g)
	c := rules.LeaseValidity{Held: true}
	c.ExtendByRenewal(e.sent(m.sentAgo), e.safe())
	m.setCoverage(c)
	m.token, m.taken, m.sentAgo = m.taken, 0, 0
	e.add(next, "node %d (life %d) holds the term with token %d", i, m.life, m.token)
}
