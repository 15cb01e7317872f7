package controlplane

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each process can confirm the newest value without reading it, and none that is cut off from a majority
// can.
func TestConfirm(t *testing.T) {
	t.Parallel()
	cluster, first := bootstrapped(t, 3, 1)
	seq, err := first.member.Confirm(context.Background())
	require.NoError(t, err)
	require.Equal(t, first.read().Seq, seq)
	first.submitInTime(first.read().Revision, first.read().Revision+1)
	newest := first.read().Seq
	require.Greater(t, newest, seq)
	for _, node := range cluster.nodes {
		confirmed, err := node.member.Confirm(context.Background())
		require.NoError(t, err)
		require.Equal(t, newest, confirmed)
	}
	tail := cluster.chainMember(2)
	cluster.setIsolated(tail, true, true)
	_, err = tail.member.Confirm(context.Background())
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
}
