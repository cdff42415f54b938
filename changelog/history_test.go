package changelog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// maxStates limits the states that explore visits. It is far above what the limits in the tests reach; an exploration that stops
// there is incomplete.
const maxStates = 400_000

// explore makes all moves within the limits in every order, starting after the moves in setup. It returns the number of states
// reached and, if an invariant is violated, the shortest history that violates one.
func explore(disabled DisabledSafeguards, setup []move, limits moveLimits) (states int, history []move, violation string) {
	type visitedState struct {
		cluster     *testCluster
		predecessor int // index in visited, or -1
		lastMove    move
	}
	initial := newTestCluster(disabled, smallRingBytes, 1, moveLimits{ticks: 99, commits: 99, leaderChanges: 9})
	for _, m := range setup {
		initial.apply(m)
	}
	initial.limits = limits
	visited, seen, h := []visitedState{{cluster: initial, predecessor: -1}}, map[uint64]bool{}, xxhash.New()
	for i := 0; i < len(visited) && i < maxStates; i++ {
		current := visited[i].cluster
		for _, m := range current.possibleMoves() {
			next := current.clone()
			next.apply(m)
			if next.violation != "" {
				for history = []move{m}; visited[i].predecessor >= 0; i = visited[i].predecessor {
					history = append([]move{visited[i].lastMove}, history...)
				}
				return len(seen), history, next.violation
			}
			if p := next.fingerprint(h); !seen[p] {
				seen[p] = true
				visited = append(visited, visitedState{next, i, m})
			}
		}
		visited[i].cluster = nil // releases the memory; all successors have been visited
	}
	return len(seen), nil, ""
}

const smallRingBytes = 45 // room for two changes

// faultFreeMoves are the kinds of moves that aren't faults.
var faultFreeMoves = []moveKind{moveTick, moveCommit, moveServeRequest, moveDeliverResponse}

// runRandomHistory makes random moves, within larger limits than explore can cover, until an invariant is violated.
func runRandomHistory(disabled DisabledSafeguards, seed uint64, moveCount int) (tc *testCluster, history []move) {
	rng := rand.New(rand.NewPCG(seed, 1))
	tc = newTestCluster(disabled, []int{0, smallRingBytes, 90, 1000}[rng.IntN(4)], 1+rng.IntN(2),
		moveLimits{ticks: 1 << 20, commits: 60, losses: 20, timeouts: 20, leaderChanges: 4, newEpochs: 2, restarts: 6, corruptions: 6})
	switch rng.IntN(4) {
	case 0: // no faults
		tc.limits = moveLimits{ticks: 1 << 20, commits: 60}
	case 1: // many restarts of relays and nodes
		tc.limits = moveLimits{ticks: 1 << 20, commits: 60, restarts: 40}
	}
	for range moveCount {
		possible := tc.possibleMoves()
		m := possible[rng.IntN(len(possible))]
		// Faults and commits are drawn less often, so that their limits aren't used up early in the history.
		for faultAllowed, commitAllowed := rng.IntN(12) == 0, rng.IntN(4) == 0; !faultAllowed && !slices.Contains(faultFreeMoves, m.kind) || !commitAllowed && m.kind == moveCommit; {
			m = possible[rng.IntN(len(possible))]
		}
		tc.apply(m)
		if history = append(history, m); tc.violation != "" {
			break
		}
	}
	return tc, history
}

// Random histories that are longer than explore can cover keep the invariants.
func TestClusterRandomHistoriesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if tc, history := runRandomHistory(DisabledSafeguards{}, rapid.Uint64().Draw(t, "seed"), 400); tc.violation != "" {
			t.Fatalf("%s after %v", tc.violation, history)
		}
	})
}

// Random histories in which nodes hardly apply or miss any events would keep the invariants without testing them. The seeds are fixed,
// so the counts are deterministic.
func TestClusterRandomHistoriesApplyAndMissEvents(t *testing.T) {
	eventsApplied, rangesMissed := 0, 0
	for seed := range uint64(100) {
		tc, history := runRandomHistory(DisabledSafeguards{}, seed, 400)
		if tc.violation != "" {
			t.Fatalf("seed %d: %s after %v", seed, tc.violation, history)
		}
		eventsApplied, rangesMissed = eventsApplied+tc.eventsApplied, rangesMissed+tc.rangesMissed
	}
	t.Logf("%d events applied, %d ranges reported as missed", eventsApplied, rangesMissed)
	if eventsApplied < 300 || rangesMissed < 300 {
		t.Errorf("%d events applied, %d ranges reported as missed in 100 histories, want at least 300 of each", eventsApplied, rangesMissed)
	}
}

// safeguards maps the name of each safeguard to the setting that disables it.
var safeguards = map[string]DisabledSafeguards{"garbled": {AcceptMalformed: true}, "epoch": {AcceptOldEpoch: true}, "missed": {HideMissedEvents: true}, "count-from-answer": {AgeFromResponseTime: true},
	"parent's age": {IgnoreParentAge: true}, "partial": {AgeFromPartialResponse: true}, "late": {AcceptStaleResponse: true}, "torn": {ApplyPartialState: true}, "ring": {StartRelayWithoutRing: true}, "drift": {IgnoreClockDrift: true}}

// A safeguard whose absence no random history detects could break unnoticed.
func TestClusterSafeguardDisabledViolatesInvariant(t *testing.T) {
	for name, disabled := range safeguards {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5_000) {
				if tc, history := runRandomHistory(disabled, seed, 400); tc.violation != "" {
					t.Logf("seed %d, %d moves: %s", seed, len(history), tc.violation)
					return
				}
			}
			t.Error("no history violates an invariant with the safeguard disabled")
		})
	}
}

// The exploration of TestClusterAllSmallHistoriesKeepInvariants could miss violations. With a safeguard disabled it must find one; the
// test omits safeguards whose absence takes longer histories to show.
func TestClusterSmallHistoriesSafeguardDisabledViolateInvariant(t *testing.T) {
	for name, limits := range map[string]moveLimits{"garbled": {ticks: 1, commits: 2, corruptions: 1}, "count-from-answer": {ticks: 2, commits: 1},
		"parent's age": {ticks: 3, commits: 1, leaderChanges: 1}, "partial": {ticks: 2, commits: 2}, "late": {ticks: 3, commits: 1, timeouts: 1},
		"missed": {ticks: 3, commits: 1, restarts: 1}, "torn": {ticks: 3, commits: 1, restarts: 1}, "drift": {ticks: 3, commits: 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, history, violation := explore(safeguards[name], upToDateMoves(3), limits)
			if t.Logf("%d states; %s after %v", states, violation, history); violation == "" {
				t.Error("no history violates an invariant with the safeguard disabled")
			}
		})
	}
}

// upToDateMoves returns moves that commit some changes and bring all children up to date.
func upToDateMoves(commits int) (moves []move) {
	pollAll := func() {
		moves = append(moves, move{kind: moveTick})
		for range 1 + relayCount { // messages arrive in the order of the requests
			moves = append(moves, move{kind: moveServeRequest}, move{kind: moveDeliverResponse})
		}
	}
	pollAll()
	pollAll()
	for range commits {
		moves = append(moves, move{kind: moveCommit})
		pollAll()
		pollAll()
	}
	return moves
}

// All histories within some limits keep the invariants. They start from a cluster of two relays and a node, which are up to date, with
// rings of two changes.
func TestClusterAllSmallHistoriesKeepInvariants(t *testing.T) {
	for _, limits := range []moveLimits{{ticks: 3, commits: 1}, {ticks: 2, commits: 2, timeouts: 1}, {ticks: 2, commits: 1, leaderChanges: 1}, {ticks: 2, commits: 1, newEpochs: 1},
		{ticks: 2, commits: 2, restarts: 1}, {ticks: 2, commits: 2, losses: 1, corruptions: 1}} {
		t.Run(fmt.Sprintf("%+v", limits), func(t *testing.T) {
			if testing.Short() {
				t.Skip("too many histories for the race detector")
			}
			t.Parallel()
			states, history, violation := explore(DisabledSafeguards{}, upToDateMoves(3), limits)
			t.Log(states, "states")
			if violation != "" || states >= maxStates {
				t.Errorf("%d states; %s after %v", states, violation, history)
			}
		})
	}
}
