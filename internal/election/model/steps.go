package model

import (
	"fmt"
	"time"

	"ospreyslip/internal/election/rules"
)

// Guard is a rule that can be left out, to show what it is for.
type Guard string

// The guards.
const (
	NoGuard              Guard = ""
	WaitAfterRestart     Guard = "a restarted node waits out what its earlier life may have promised"
	PromiseForbids       Guard = "a promise forbids campaigns"
	OpenCampaignRefuses  Guard = "no promise while a campaign of one's own may succeed"
	SucceededGetsNone    Guard = "no promise to a holder that has been succeeded"
	CoveredWhenPromised  Guard = "promises count only for a holder that is covered"
	DriftIsTakenOff      Guard = "a holder counts less than the lease"
	AllOthersPromise     Guard = "all others have to promise"
	HolderGivesNone      Guard = "a holder promises nothing"
	CountFromSending     Guard = "a holder counts from when it sent its request"
	AllAnswerIdle        Guard = "all others answer that they rely on no promise"
	UncoveredStillRelies Guard = "a holder that is not covered at the moment still relies on promises"
)

// Guards lists all of them.
var Guards = []Guard{
	WaitAfterRestart, PromiseForbids, OpenCampaignRefuses, SucceededGetsNone, CoveredWhenPromised, DriftIsTakenOff,
	AllOthersPromise, HolderGivesNone, CountFromSending, AllAnswerIdle, UncoveredStillRelies,
}

// step is one thing that may happen.
type step struct {
	what string
	next State
}

// explorer finds out what may follow a state.
type explorer struct {
	nodes   int
	slow    int  // the node whose clock may lose ticks
	lease   int8 // ticks
	without Guard
	named   bool // steps are told in words
	steps   []step
}

func (e *explorer) add(next State, format string, args ...any) {
	what := ""
	if e.named {
		what = fmt.Sprintf(format, args...)
	}
	e.steps = append(e.steps, step{what, next})
}

// after returns all that may happen next.
func (e *explorer) after(s *State) []step {
	e.steps = e.steps[:0]
	e.time(s)
	e.outage(s)
	for i := range e.nodes {
		if s.service.up {
			e.arrivals(s, i)
		}
		if s.nodes[i].up {
			e.campaignSteps(s, i)
			e.holderSteps(s, i)
			e.idleSteps(s, i)
		}
		e.lifeSteps(s, i)
	}
	return e.steps
}

// others is the set of all nodes but one.
func (e *explorer) others(i int) uint8 { return (1<<e.nodes - 1) &^ (1 << i) }

func has(set uint8, i int) bool { return set&(1<<i) != 0 }

// time lets a tick pass. The slow clock may lose it.
func (e *explorer) time(s *State) {
	next := *s
	next.tickService()
	for i := range e.nodes {
		next.nodes[i].tick(e.lease)
	}
	next.sinceSlow = max(0, s.sinceSlow-1)
	e.add(next, "a tick passes")
	if s.sinceSlow == 0 && s.nodes[e.slow].up {
		next.nodes[e.slow] = s.nodes[e.slow]
		next.sinceSlow = e.lease
		e.add(next, "a tick passes, which node %d's clock loses", e.slow)
	}
}

func (n *nodeState) tick(lease int8) {
	n.cover, n.left = max(0, n.cover-1), max(0, n.left-1)
	if n.taken != 0 {
		n.sentAgo = min(lease, n.sentAgo+1)
	}
	if n.renewed {
		n.renewAgo = min(lease, n.renewAgo+1)
	}
	if n.asking {
		n.askAgo = min(lease, n.askAgo+1)
	}
	if n.left == 0 {
		n.fromEarlier, n.idle = false, 0
	}
}

func (s *State) tickService() {
	if !s.service.up {
		return // leases do not end in an outage
	}
	if s.service.holder >= 0 {
		if s.service.lease--; s.service.lease <= 0 {
			s.service.holder, s.service.life, s.service.lease = -1, 0, 0
		}
	}
	for i := range s.transactions {
		for j := range s.transactions[i] {
			t := &s.transactions[i][j]
			if t.grant = max(0, t.grant-1); t.grant == 0 {
				*t = transaction{} // its lease is over: it would be refused
			}
		}
	}
}

// outage begins or ends one. At its end, every lease has its full time again.
func (e *explorer) outage(s *State) {
	next := *s
	next.service.up = !s.service.up
	if s.service.up {
		e.add(next, "the state service is away")
		return
	}
	if next.service.holder >= 0 {
		next.service.lease = e.lease
	}
	for i := range next.transactions {
		for j := range next.transactions[i] {
			if t := &next.transactions[i][j]; t.present {
				t.grant = e.lease
			}
		}
	}
	e.add(next, "the state service is back")
}

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
			g.Settled()
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
	g.Know(uint64(s.service.token))
	until, earlier := g.Until, g.FromEarlier
	if e.without == PromiseForbids && !earlier || e.without == WaitAfterRestart && earlier {
		g.Until = 0
	}
	if !g.Campaign(0, own, uint64(s.service.token)) {
		return
	}
	g.Until = until
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
	g.Settled()
	g.Know(uint64(m.taken))
	m.setGiver(g)
	c := rules.Cover{Holding: true}
	c.Renewed(e.sent(m.sentAgo), e.safe())
	m.setCoverage(c)
	m.token, m.taken, m.sentAgo = m.taken, 0, 0
	e.add(next, "node %d (life %d) holds the term with token %d", i, m.life, m.token)
}

// sent is when a request was sent, by the node's clock, which reads 0 now.
func (e *explorer) sent(ago int8) time.Duration {
	if e.without == CountFromSending {
		return 0
	}
	return -time.Duration(ago)
}

func (e *explorer) safe() time.Duration {
	if e.without == DriftIsTakenOff {
		return time.Duration(e.lease)
	}
	return time.Duration(e.lease) - 1
}
