package model

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// maxStates returns the number of states that each exploration may reach: usual, which is small
// enough for CI, or OSPREYSLIP_MODEL_STATES for larger explorations, which memory limits.
func maxStates(t *testing.T, defaultStates int) int {
	t.Helper()
	value := os.Getenv("OSPREYSLIP_MODEL_STATES")
	if value == "" {
		return defaultStates
	}
	states, err := strconv.Atoi(value)
	if err != nil || states <= 0 {
		t.Fatalf("OSPREYSLIP_MODEL_STATES: %q is not a positive number of states", value)
	}
	return states
}

// Checks that with all guards, no two controllers may ever act as the leader at the same time.
func TestNeverTwoLeaders(t *testing.T) {
	for _, controllers := range []int{2, 3} {
		for slowController := range controllers {
			for _, start := range []Start{JustWon, OnPeerLeases} {
				t.Run(fmt.Sprintf("%d controllers, controller %d is slow, %s", controllers, slowController, start), func(t *testing.T) {
					t.Parallel()
					bounds := Bounds{Controllers: controllers, SlowController: slowController, LeaseDuration: 3, Start: start, MaxDepth: 100, MaxStates: maxStates(t, 250_000)}
					result := Explore(bounds, NoGuard)
					if len(result.Trace) > 0 {
						t.Error("two controllers may lead:\n" + result.text())
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

// Checks that each of these guards is necessary: without it, the exploration finds a state with
// two leaders.
func TestEachGuardIsNecessary(t *testing.T) {
	for _, test := range []struct {
		guard       Guard
		controllers int
		start       Start
	}{
		{WaitAfterRestart, 2, JustWon},
		{GrantForbidsCampaigns, 2, JustWon},
		{GrantsNeedValidity, 2, JustWon},
		{DriftIsDeducted, 2, JustWon},
		{CountFromSending, 2, JustWon},
		{AllPeersGrant, 3, JustWon},
		{AllPeersRelyOnNone, 3, OnPeerLeases},
	} {
		bounds := Bounds{Controllers: test.controllers, LeaseDuration: 3, Start: test.start, MaxDepth: 100, MaxStates: 200_000}
		result := Explore(bounds, test.guard)
		if len(result.Trace) == 0 {
			t.Errorf("without %q no two leaders were found in %d states, up to %d steps", test.guard, result.States, result.Depth)
		}
		t.Logf("without %q:\n%s", test.guard, result.text())
	}
}
