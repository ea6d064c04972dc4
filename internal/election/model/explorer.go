package model

import (
	"fmt"
	"time"
)

// step is an event that may happen in a state.
type step struct {
	description string // empty unless explorer.described is set
	next        clusterState
}

// explorer determines the possible successors of a state. Their order must be deterministic,
// because a trace identifies steps by their index.
type explorer struct {
	nodes     int
	slowNode  int  // controller whose clock may lose ticks
	lease     int8 // lease duration in ticks
	without   Guard
	described bool   // whether steps get descriptions, which are slow to format
	steps     []step // reused for each state
}

func (e *explorer) add(next clusterState, format string, args ...any) {
	description := ""
	if e.described {
		description = fmt.Sprintf(format, args...)
	}
	e.steps = append(e.steps, step{description, next})
}

// stepsFrom returns all steps that may happen in a state. The result is valid until the next call.
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

// peersOf returns the set of all controllers but one.
func (e *explorer) peersOf(node int) uint8 { return (1<<e.nodes - 1) &^ (1 << node) }

func contains(set uint8, node int) bool { return set&(1<<node) != 0 }

// sentAt returns when a request of the given age was sent, on the controller's clock, which always
// reads 0 at the present state.
func (e *explorer) sentAt(age int8) time.Duration {
	if e.without == CountFromSending {
		return 0
	}
	return -time.Duration(age)
}

// validFor returns how long a renewal or a peer lease is valid.
func (e *explorer) validFor() time.Duration {
	if e.without == DriftIsDeducted {
		return time.Duration(e.lease)
	}
	return time.Duration(e.lease) - 1
}
