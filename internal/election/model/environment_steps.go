package model

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
