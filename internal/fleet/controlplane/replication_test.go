package controlplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// Each member waits longer than the one after it, by more than the transfer time of the value between them, so that
// the member next to a fault detects it first.
func TestPushTimeoutsAllowForSlowLinks(t *testing.T) {
	for _, size := range []int{0, 100, 813 << 10, chain.MaxBody} {
		transfer := time.Duration(size) * time.Second / minLinkRate
		for length := 2; length <= 9; length++ {
			for position := 0; position < length-2; position++ {
				require.Greater(t, pushTimeoutAt(position, length, size), transfer+pushTimeoutAt(position+1, length, size))
			}
			require.Greater(t, pushTimeoutAt(length-2, length, size), transfer)
		}
	}
	require.Equal(t, pushTimeout, pushTimeoutAt(0, 3, 0))
}
