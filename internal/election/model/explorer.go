package model

import (
	"fmt"
	"time"
)

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
