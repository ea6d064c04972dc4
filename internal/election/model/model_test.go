package model

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// maxStates is how many states each exploration may reach: few in CI, and as many as memory holds
// where OSPREYSLIP_MODEL_STATES says so.
func maxStates(t *testing.T, usual int) int {
	t.Helper()
	value := os.Getenv("OSPREYSLIP_MODEL_STATES")
	if value == "" {
		return usual
	}
	states, err := strconv.Atoi(value)
	if err != nil || states <= 0 {
		t.Fatalf("OSPREYSLIP_MODEL_STATES: %q is no number of states", value)
	}
	return states
}

// With all guards, no two nodes may ever act as the leader at a time.
func TestNeverTwoLeaders(t *testing.T) {
	for _, nodes := range []int{2, 3} {
		for slow := range nodes {
			for _, start := range []Start{JustWon, OnPeerLeases} {
				t.Run(fmt.Sprintf("%d nodes, node %d is slow, %s", nodes, slow, start), func(t *testing.T) {
					t.Parallel()
					bounds := Bounds{Nodes: nodes, SlowNode: slow, Lease: 3, Start: start, MaxDepth: 100, MaxStates: maxStates(t, 250_000)}
					result := Explore(bounds, NoGuard)
					if len(result.Trace) > 0 {
						t.Error("two leaders\n" + result.text())
					}
					t.Logf("%d states, all up to %d steps", result.States, result.Depth)
				})
			}
		}
	}
}

func (r Result) text() string {
	var text strings.Builder
	r.Print(&text)
	return text.String()
}

// Without any one of these guards there are two leaders: each is for something.
func TestEachGuardIsForSomething(t *testing.T) {
	for _, test := range []struct {
		guard Guard
		nodes int
		start Start
	}{
		{WaitAfterRestart, 2, JustWon},
		{GrantForbidsCampaigns, 2, JustWon},
		{GrantsNeedValidity, 2, JustWon},
		{DriftIsDeducted, 2, JustWon},
		{CountFromSending, 2, JustWon},
		{AllPeersGrant, 3, JustWon},
		{AllPeersRelyOnNone, 3, OnPeerLeases},
	} {
		bounds := Bounds{Nodes: test.nodes, Lease: 3, Start: test.start, MaxDepth: 100, MaxStates: 200_000}
		result := Explore(bounds, test.guard)
		if len(result.Trace) == 0 {
			t.Errorf("without %q nothing goes wrong in %d states, up to %d steps", test.guard, result.States, result.Depth)
		}
		t.Logf("without %q:\n%s", test.guard, result.text())
	}
}
