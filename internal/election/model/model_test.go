package model

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// states is how many states each exploration may reach: few in CI, and as many as memory holds
// where OSPREYSLIP_MODEL_STATES says so.
func states(t *testing.T, usual int) int {
	t.Helper()
	v := os.Getenv("OSPREYSLIP_MODEL_STATES")
	if v == "" {
		return usual
	}
	n, err := strconv.Atoi(v)
	if err != nil || n <= 0 {
		t.Fatalf("OSPREYSLIP_MODEL_STATES: %q is no number of states", v)
	}
	return n
}

// With all guards, no two nodes may ever act as the leader at a time.
func TestNeverTwoLeaders(t *testing.T) {
	for _, nodes := range []int{2, 3} {
		for slow := range nodes {
			for _, from := range []Start{JustTaken, OnPromises} {
				t.Run(fmt.Sprintf("%d nodes, node %d is slow, %s", nodes, slow, from), func(t *testing.T) {
					t.Parallel()
					r := Explore(Bounds{Nodes: nodes, Slow: slow, Lease: 3, Start: from, Depth: 100, States: states(t, 250_000)}, NoGuard)
					if len(r.Trace) > 0 {
						t.Error("two leaders\n" + r.text())
					}
					t.Logf("%d states, all up to %d steps", r.States, r.Depth)
				})
			}
		}
	}
}

func (r Result) text() string {
	var b strings.Builder
	r.Print(&b)
	return b.String()
}

// Without any one of these guards there are two leaders: each is for something.
func TestEachGuardIsForSomething(t *testing.T) {
	for _, c := range []struct {
		guard Guard
		nodes int
		from  Start
	}{
		{WaitAfterRestart, 2, JustTaken},
		{PromiseForbids, 2, JustTaken},
		{CoveredWhenPromised, 2, JustTaken},
		{DriftIsTakenOff, 2, JustTaken},
		{CountFromSending, 2, JustTaken},
		{AllOthersPromise, 3, JustTaken},
		{AllAnswerIdle, 3, OnPromises},
	} {
		r := Explore(Bounds{Nodes: c.nodes, Lease: 3, Start: c.from, Depth: 100, States: 200_000}, c.guard)
		if len(r.Trace) == 0 {
			t.Errorf("without %q nothing goes wrong in %d states, up to %d steps", c.guard, r.States, r.Depth)
		}
		t.Logf("without %q:\n%s", c.guard, r.text())
	}
}
