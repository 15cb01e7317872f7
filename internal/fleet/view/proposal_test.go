package view

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProposal(t *testing.T) {
	base, _ := InitialView(testPeers("a b c"), tolerateMachines(1))
	initialView, otherView := base.RemoveMember("a"), base.RemoveMember("c")
	number := ProposalNumber{Round: 2, Proposer: "a/1"}
	t.Run("initial view", func(t *testing.T) {
		p := NewProposal(base, number, &initialView)
		require.Equal(t, Preparing, p.HandlePromise("a", Response{OK: true}))
		require.Equal(t, Preparing, p.HandlePromise("a", Response{OK: true}), "a voter counts once")
		require.Equal(t, Preparing, p.HandlePromise("x", Response{OK: true}), "not a voter")
		require.Equal(t, Accepting, p.HandlePromise("b", Response{OK: true}))
		require.True(t, initialView.Equal(p.View))
		require.Equal(t, Accepting, p.HandleAcceptance("a", Response{OK: true}))
		require.Equal(t, Decided, p.HandleAcceptance("c", Response{OK: true}))
	})
	t.Run("an accepted view takes precedence", func(t *testing.T) {
		p := NewProposal(base, number, &initialView)
		p.HandlePromise("a", Response{
			OK: true, AcceptedNumber: ProposalNumber{Round: 1, Proposer: "c"}, Accepted: &otherView,
		})
		require.Equal(t, Accepting, p.HandlePromise("b", Response{
			OK: true, AcceptedNumber: ProposalNumber{Round: 1, Proposer: "b"}, Accepted: &initialView,
		}))
		require.True(t, otherView.Equal(p.View))
	})
	t.Run("contended", func(t *testing.T) {
		p := NewProposal(base, number, &initialView)
		require.Equal(t, Preparing, p.HandlePromise("a", Response{Promised: ProposalNumber{Round: 7}}))
		require.Equal(t, Contended, p.HandlePromise("b", Response{Promised: ProposalNumber{Round: 3}}))
		require.Equal(t, uint32(7), p.HighestSeen.Round)
	})
	t.Run("superseded", func(t *testing.T) {
		p := NewProposal(base, number, &initialView)
		require.Equal(t, Superseded, p.HandlePromise("a", Response{Newer: &otherView}))
		require.True(t, otherView.Equal(p.View))
	})
	t.Run("nothing to complete", func(t *testing.T) {
		p := NewProposal(base, number, nil)
		p.HandlePromise("a", Response{OK: true})
		require.Equal(t, Idle, p.HandlePromise("b", Response{OK: true}))
	})
}

// Half of the voters are no quorum, neither for promises nor for acceptances.
func TestHalfDecidesNothing(t *testing.T) {
	t.Parallel()
	base, ok := InitialView(testPeers("a b c d"), Tolerance{Machines: 1})
	require.True(t, ok)
	nextView := base.RemoveMember("d")
	number := ProposalNumber{Round: 1, Proposer: "a"}
	p := NewProposal(base, number, &nextView)
	for i, voter := range base.Voters[:3] {
		want := []ProposalState{Preparing, Preparing, Accepting}[i]
		require.Equal(t, want, p.HandlePromise(voter.ID, Response{OK: true, Promised: number}),
			fmt.Sprint(i+1, " promises"))
	}
	for i, voter := range base.Voters[:3] {
		want := []ProposalState{Accepting, Accepting, Decided}[i]
		require.Equal(t, want, p.HandleAcceptance(voter.ID, Response{OK: true, Promised: number}),
			fmt.Sprint(i+1, " acceptances"))
	}
}

func TestProposalStateNames(t *testing.T) {
	t.Parallel()
	for state, want := range map[ProposalState]string{
		Preparing:         "preparing",
		Accepting:         "accepting",
		Decided:           "decided",
		Contended:         "contended",
		Superseded:        "superseded",
		Idle:              "idle",
		ProposalState(99): "99",
	} {
		require.Equal(t, want, state.String())
	}
}
