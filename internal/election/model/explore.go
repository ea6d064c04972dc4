package model

import (
	"fmt"
	"io"
	"slices"
)

// Bounds limit an exploration.
type Bounds struct {
	Controllers    int
	SlowController int // controller whose clock may lose ticks
	LeaseDuration  int // in ticks
	Start          Start
	MaxDepth       int // steps from the start
	MaxStates      int // distinct states in total
}

// Result is the result of an exploration.
type Result struct {
	States int      // distinct states that were reached
	Depth  int      // steps up to which all states were visited, or after which two leaders were found
	Trace  []string // steps to a state with two leaders; empty if none was found
}

// reachedState is a state that was reached, and the step that led to it.
type reachedState struct {
	state  clusterState
	parent int32 // index of the preceding state; -1 for the start
	step   int32 // index among the steps from the parent
}

// Explore visits all states that can be reached within the bounds, with one guard omitted or with
// all guards. It stops at the first state with two leaders.
func Explore(bounds Bounds, omittedGuard Guard) Result {
	search := &explorer{controllers: bounds.Controllers, slowController: bounds.SlowController, leaseDuration: int8(bounds.LeaseDuration), omittedGuard: omittedGuard}
	reached := []reachedState{{state: search.start(bounds.Start), parent: -1}}
	seen := map[clusterState]struct{}{reached[0].state: {}}
	frontier := 0 // index of the first state of the previous depth
	for depth := range bounds.MaxDepth {
		end := len(reached)
		for parent := frontier; parent < end; parent++ {
			state := reached[parent].state
			for i, step := range search.stepsFrom(&state) {
				if _, known := seen[step.next]; known {
					continue
				}
				seen[step.next] = struct{}{}
				reached = append(reached, reachedState{step.next, int32(parent), int32(i)})
				if step.next.leaders() > 1 {
					return Result{States: len(reached), Depth: depth + 1, Trace: search.trace(reached)}
				}
			}
			if len(reached) > bounds.MaxStates {
				return Result{States: len(reached), Depth: depth}
			}
		}
		if len(reached) == end {
			return Result{States: end, Depth: depth} // every state has been visited
		}
		frontier = end
	}
	return Result{States: len(reached), Depth: bounds.MaxDepth}
}

// trace returns the descriptions of the steps that lead to the last state reached.
func (e *explorer) trace(reached []reachedState) (steps []string) {
	e.describeSteps = true
	for at := len(reached) - 1; reached[at].parent >= 0; at = int(reached[at].parent) {
		parent := reached[reached[at].parent].state
		steps = append(steps, e.stepsFrom(&parent)[reached[at].step].description)
	}
	slices.Reverse(steps)
	return steps
}

// Print writes the result as text.
func (r Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%d states, all up to %d steps\n", r.States, r.Depth)
	for i, description := range r.Trace {
		fmt.Fprintf(to, "%3d  %s\n", i+1, description)
	}
}
