package controlplane

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// One order through a chain of four on loopback, its files in memory, with a configuration of 20 KB
// and a full memory of taken orders.
func BenchmarkCommit(b *testing.B) {
	cluster := newTestCluster(b, 4, 1)
	cluster.check = func(_ []byte, o *chain.Update) ([]byte, int64, error) {
		revision, err := strconv.ParseInt(string(bytes.TrimSpace(o.Body)), 10, 64)
		return o.Body, revision, err
	}
	cluster.startAll(true)
	client := cluster.nodes[4]
	revision := int64(0)
	commit := func() {
		body := append([]byte(strconv.FormatInt(revision+1, 10)), bytes.Repeat([]byte{' '}, 20<<10)...)
		verdict := client.member.Submit(b.Context(), &chain.Update{IfMatch: revision, Body: body})
		require.Equal(b, chain.OutcomeCommitted, verdict.Kind, verdict.Reason)
		revision++
	}
	client.waitUntil("view 1", func() bool { _, known := client.member.View(); return known })
	for range 1100 {
		commit()
	}
	for b.Loop() {
		commit()
	}
}
