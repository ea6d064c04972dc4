package emulator

import (
	"slices"
	"time"
)

// Fault is the treatment of a message by the network.
type Fault int

// Faults that a FaultRule can choose.
const (
	Deliver          Fault = iota // delivers the message without a fault
	RefuseConnection              // refuses the connection
	DropRequest                   // drops the request; the sender gets no response
	DropResponse                  // executes the request and drops the response
	DeliverLate                   // executes the request after the delay; the sender gets no response
	DeliverTwice                  // delivers the request and executes it again after the delay
	DeliverSlowly                 // executes the request after the delay and delivers the response
)

// FaultRule returns the fault of a message. It is called with the lock of the Network held, so it
// must not call the Network.
type FaultRule func(from, to, path string) Fault

// SetFaults sets the base fault rule. A nil rule delivers all messages.
func (n *Network) SetFaults(rule FaultRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.baseRule = rule
}

// AddFaults adds a rule to those in effect. The returned function removes it.
func (n *Network) AddFaults(rule FaultRule) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	addedRule := &rule
	n.addedRules = append(n.addedRules, addedRule)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.addedRules = slices.DeleteFunc(n.addedRules, func(r *FaultRule) bool { return r == addedRule })
	}
}

// faultOf returns the first fault that a rule in effect chooses for a message, or Deliver.
func (n *Network) faultOf(from, to, path string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.baseRule != nil {
		if fault := n.baseRule(from, to, path); fault != Deliver {
			return fault
		}
	}
	for _, addedRule := range n.addedRules {
		if fault := (*addedRule)(from, to, path); fault != Deliver {
			return fault
		}
	}
	return Deliver
}

func (n *Network) delayOf(from, to, path string) time.Duration {
	if n.DelayOf != nil {
		return n.DelayOf(from, to, path)
	}
	return n.Delay
}
