package model

import (
	"fmt"
	"time"
)

// step is an event that may happen in a state.
type step struct {
	description string // empty unless explorer.describeSteps is set
	next        clusterState
}

// explorer determines the possible successors of a state. Their order must be deterministic,
// because a trace identifies steps by their index.
type explorer struct {
	controllers    int
	slowController int  // controller whose clock may lose ticks
	leaseDuration  int8 // in ticks
	omittedGuard   Guard
	describeSteps  bool   // whether steps get descriptions, which are slow to format
	steps          []step // reused for each state
}

func (e *explorer) add(next clusterState, format string, args ...any) {
	description := ""
	if e.describeSteps {
		description = fmt.Sprintf(format, args...)
	}
	e.steps = append(e.steps, step{description, next})
}

// stepsFrom returns all steps that may happen in a state. The result is valid until the next call.
func (e *explorer) stepsFrom(state *clusterState) []step {
	e.steps = e.steps[:0]
	e.tickSteps(state)
	e.outageSteps(state)
	for controller := range e.controllers {
		if state.store.up {
			e.transactionArrivalSteps(state, controller)
		}
		if state.controllers[controller].up {
			e.campaignSteps(state, controller)
			e.leaderSteps(state, controller)
			e.voidGrantsSteps(state, controller)
		}
		e.processSteps(state, controller)
	}
	return e.steps
}

// peersOf returns the set of all controllers but one.
func (e *explorer) peersOf(controller int) uint8 { return (1<<e.controllers - 1) &^ (1 << controller) }

func contains(set uint8, controller int) bool { return set&(1<<controller) != 0 }

// sentAt returns when a request of the given age was sent, on the controller's clock, which always
// reads 0 in the current state.
func (e *explorer) sentAt(age int8) time.Duration {
	if e.omittedGuard == CountFromSending {
		return 0
	}
	return -time.Duration(age)
}

// validFor returns how long a renewal or a peer lease is valid.
func (e *explorer) validFor() time.Duration {
	if e.omittedGuard == DriftIsDeducted {
		return time.Duration(e.leaseDuration)
	}
	return time.Duration(e.leaseDuration) - 1
}
