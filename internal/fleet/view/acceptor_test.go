package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAcceptor(t *testing.T) {
	low, high := ProposalNumber{Round: 1, Proposer: "a"}, ProposalNumber{Round: 1, Proposer: "b"}
	view2 := View{Number: 2}
	state, response := AcceptorState{}.Prepare(2, low)
	require.True(t, response.OK)
	_, response = state.Prepare(2, low)
	require.False(t, response.OK, "a number is promised once")
	state, response = state.Prepare(2, high)
	require.True(t, response.OK)
	_, response = state.Accept(2, low, view2)
	require.False(t, response.OK)
	require.Equal(t, high, response.Promised)
	state, response = state.Accept(2, high, view2)
	require.True(t, response.OK)
	_, response = state.Accept(2, high, view2)
	require.True(t, response.OK, "the same view is accepted again")
	_, response = state.Prepare(2, ProposalNumber{Round: 2})
	require.Equal(t, &view2, response.Accepted)
	require.Equal(t, high, response.AcceptedNumber)
	_, response = state.Prepare(3, low)
	require.True(t, response.OK, "the next view is another instance")
	require.Nil(t, response.Accepted)
}
