package emulator

import (
	"slices"
	"time"
)

// Fault is what happens to a message.
type Fault int

// The faults.
const (
	Deliver          Fault = iota
	RefuseConnection       // the connection is refused
	DropRequest            // nothing arrives and nothing comes back
	DropResponse           // it is executed, but the answer never comes
	DeliverLate            // it is executed after the lateness, when nobody waits any more
	DeliverTwice           // it is delivered, and executed once more after the lateness
	DeliverSlowly          // it arrives, and its answer comes, after the lateness
)

// FaultRule decides what happens to a message. It is called with the network's lock held.
type FaultRule func(from, to, path string) Fault

// SetFaults sets the rule that decides each message's fate; nil delivers all.
func (n *Network) SetFaults(rule FaultRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = rule
}

// AddFaults adds a rule to those in force, until it is ended.
func (n *Network) AddFaults(rule FaultRule) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	added := &rule
	n.addedFaults = append(n.addedFaults, added)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.addedFaults = slices.DeleteFunc(n.addedFaults, func(r *FaultRule) bool { return r == added })
	}
}

// faultOf returns what happens to a message: the first fault by any rule in force.
func (n *Network) faultOf(from, to, path string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.faults != nil {
		if fault := n.faults(from, to, path); fault != Deliver {
			return fault
		}
	}
	for _, added := range n.addedFaults {
		if fault := (*added)(from, to, path); fault != Deliver {
			return fault
		}
	}
	return Deliver
}

func (n *Network) latenessOf(from, to, path string) time.Duration {
	if n.LatenessOf != nil {
		return n.LatenessOf(from, to, path)
	}
	return n.Lateness
}
