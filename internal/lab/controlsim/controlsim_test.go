package controlsim

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"chalkdoor.example/chalkdoor/internal/leak"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	leak.Main(m)
}

// A fixed set of seeds of each point breaks no promise.
func TestFixedSeeds(t *testing.T) {
	for seed := range uint64(6) {
		result := play(t, newSetup(1, seed))
		if len(result.Violations) > 0 {
			for _, e := range result.Events {
				t.Log(e)
			}
		}
		require.Empty(t, result.Violations)
		require.Greater(t, result.Orders, 10)
		require.Greater(t, result.Reads, 10)
		t.Logf("seed %d: %v, %d orders, %d reads", seed, result.Virtual, result.Orders, result.Reads)
	}
}
