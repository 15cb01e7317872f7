package view

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two majorities of the same voters share one; half of an even number is none.
func TestMajority(t *testing.T) {
	t.Parallel()
	for voters, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 7: 4, 8: 5, 9: 5} {
		require.Equal(t, want, View{Voters: make([]Peer, voters)}.Quorum(), "%d voters", voters)
	}
}

// Half of the voters decide nothing, neither by promises nor by acceptances.
func TestHalfDecidesNothing(t *testing.T) {
	t.Parallel()
	base, ok := InitialView(peers("a b c d"), Tolerance{Machines: 1})
	require.True(t, ok)
	next := base.RemoveMember("d")
	ballot := ProposalNumber{Round: 1, Proposer: "a"}
	p := NewProposal(base, ballot, &next)
	for i, voter := range base.Voters[:3] {
		want := []ProposalState{Preparing, Preparing, Accepting}[i]
		require.Equal(t, want, p.HandlePromise(voter.ID, Response{OK: true, Promised: ballot}), fmt.Sprint(i+1, " promises"))
	}
	for i, voter := range base.Voters[:3] {
		want := []ProposalState{Accepting, Accepting, Decided}[i]
		require.Equal(t, want, p.HandleAcceptance(voter.ID, Response{OK: true, Promised: ballot}), fmt.Sprint(i+1, " acceptances"))
	}
}

// A member that does not hold everything never becomes the head.
func TestIncompleteMemberBecomesNoHead(t *testing.T) {
	t.Parallel()
	s := newScene(t, "a b c d")
	s.with("b", func(h *Health) { h.Complete = false })
	s.silent("a", policy.FailAfter)
	step, due := Plan(s.v, "c", s.health, policy)
	if due && step.View != nil {
		require.NotEqual(t, "b", step.View.Head().ID)
	}
}
