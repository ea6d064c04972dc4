package model

import (
	"fmt"
	"time"
)

// step is one thing that may happen in a state.
type step struct {
	description string // empty unless explorer.described
	next        clusterState
}

// explorer finds out what may follow a state. The order in which it does so is always the same:
// a trace names steps by their index.
type explorer struct {
	nodes     int
	slowNode  int  // whose clock may lose ticks
	lease     int8 // duration in ticks
	without   Guard
	described bool   // steps get descriptions, which takes long
	steps     []step // used again for each state
}

func (e *explorer) add(next clusterState, format string, args ...any) {
	description := ""
	if e.described {
		description = fmt.Sprintf(format, args...)
	}
	e.steps = append(e.steps, step{description, next})
}

// stepsFrom returns all that may happen next. The result is valid until the next call.
func (e *explorer) stepsFrom(state *clusterState) []step {
	e.steps = e.steps[:0]
	e.tickSteps(state)
	e.outageSteps(state)
	for node := range e.nodes {
		if state.store.up {
			e.arrivalSteps(state, node)
		}
		if state.nodes[node].up {
			e.campaignSteps(state, node)
			e.leaderSteps(state, node)
			e.voidingSteps(state, node)
		}
		e.processSteps(state, node)
	}
	return e.steps
}

// peersOf is the set of all nodes but one.
func (e *explorer) peersOf(node int) uint8 { return (1<<e.nodes - 1) &^ (1 << node) }

func contains(set uint8, node int) bool { return set&(1<<node) != 0 }

// sentAt is when a request was sent, by the node's clock, which reads 0 now.
func (e *explorer) sentAt(age int8) time.Duration {
	if e.without == CountFromSending {
		return 0
	}
	return -time.Duration(age)
}

// validFor is how long a renewal or a peer lease counts.
func (e *explorer) validFor() time.Duration {
	if e.without == DriftIsDeducted {
		return time.Duration(e.lease)
	}
	return time.Duration(e.lease) - 1
}
