package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAcceptor(t *testing.T) {
	lowNumber, highNumber := ProposalNumber{Round: 1, Proposer: "a"}, ProposalNumber{Round: 1, Proposer: "b"}
	view2 := View{Number: 2}
	state, response := AcceptorState{}.Prepare(2, lowNumber)
	require.True(t, response.OK)
	_, response = state.Prepare(2, lowNumber)
	require.False(t, response.OK, "a number is promised once")
	state, response = state.Prepare(2, highNumber)
	require.True(t, response.OK)
	_, response = state.Accept(2, lowNumber, view2)
	require.False(t, response.OK)
	require.Equal(t, highNumber, response.Promised)
	state, response = state.Accept(2, highNumber, view2)
	require.True(t, response.OK)
	_, response = state.Accept(2, highNumber, view2)
	require.True(t, response.OK, "the same view is accepted again")
	_, response = state.Prepare(2, ProposalNumber{Round: 2})
	require.Equal(t, &view2, response.Accepted)
	require.Equal(t, highNumber, response.AcceptedNumber)
	_, response = state.Prepare(3, lowNumber)
	require.True(t, response.OK, "the next view is another instance")
	require.Nil(t, response.Accepted)
}
