package heapsize

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOf(t *testing.T) {
	const n = 8 << 20
	got := Of(func() any {
		_ = make([]byte, n) // garbage
		return make([]byte, n)
	})
	require.InDelta(t, n, got, n/8)
}
