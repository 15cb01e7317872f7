package controlplane

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// BenchmarkCommit measures the commit of one update by a chain of four on loopback, with files in memory and
// a configuration of 20 KB. The value's history of applied updates is full.
func BenchmarkCommit(b *testing.B) {
	cluster := newTestCluster(b, 4, 1)
	cluster.transition = func(_ []byte, update *chain.Update) ([]byte, int64, error) {
		revision, err := strconv.ParseInt(string(bytes.TrimSpace(update.Body)), 10, 64)
		return update.Body, revision, err
	}
	cluster.startAll(true)
	client := cluster.nodes[4]
	revision := int64(0)
	commit := func() {
		body := append([]byte(strconv.FormatInt(revision+1, 10)), bytes.Repeat([]byte{' '}, 20<<10)...)
		result := client.member.Submit(b.Context(), &chain.Update{IfMatch: revision, Body: body})
		require.Equal(b, chain.OutcomeCommitted, result.Outcome, result.Reason)
		revision++
	}
	client.waitUntil("the first view", client.knowsView)
	for range 1100 {
		commit()
	}
	for b.Loop() {
		commit()
	}
}
