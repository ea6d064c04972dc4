package model

import (
	"fmt"
	"io"
)

// Bounds limit an exploration.
type Bounds struct {
	Nodes  int
	Slow   int // the node whose clock may lose ticks
	Lease  int // ticks
	Start  Start
	Depth  int // steps from the start
	States int // distinct ones, in all
}

// Result is what an exploration found.
type Result struct {
	States int
	Depth  int      // up to which all was explored
	Trace  []string // steps to a state with two leaders; empty if there is none
}

// known is a state that was reached, and how.
type known struct {
	state  State
	parent int32
	step   int32 // index among what may follow its parent
}

// Explore goes through all that may happen within the bounds, without one guard or with all.
func Explore(b Bounds, without Guard) Result {
	e := &explorer{nodes: b.Nodes, slow: b.Slow, lease: int8(b.Lease), without: without}
	reached := []known{{state: e.start(b.Start), parent: -1}}
	seen := map[State]struct{}{reached[0].state: {}}
	from := 0
	for depth := range b.Depth {
		end := len(reached)
		for at := from; at < end; at++ {
			s := reached[at].state
			for i, next := range e.after(&s) {
				if _, had := seen[next.next]; had {
					continue
				}
				seen[next.next] = struct{}{}
				reached = append(reached, known{next.next, int32(at), int32(i)})
				if next.next.leaders() > 1 {
					return Result{States: len(reached), Depth: depth + 1, Trace: e.trace(reached)}
				}
			}
			if len(reached) > b.States {
				return Result{States: len(reached), Depth: depth}
			}
		}
		if len(reached) == end {
			return Result{States: end, Depth: depth} // there is nothing else
		}
		from = end
	}
	return Result{States: len(reached), Depth: b.Depth}
}

// trace tells the steps to the last state reached.
func (e *explorer) trace(reached []known) (steps []string) {
	e.named = true
	for at := len(reached) - 1; reached[at].parent >= 0; at = int(reached[at].parent) {
		parent := reached[reached[at].parent].state
		steps = append([]string{e.after(&parent)[reached[at].step].what}, steps...)
	}
	return steps
}

// Print writes a result for people to read.
func (r Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%d states, all up to %d steps\n", r.States, r.Depth)
	for i, what := range r.Trace {
		fmt.Fprintf(to, "%3d  %s\n", i+1, what)
	}
}
