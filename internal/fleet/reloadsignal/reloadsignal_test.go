package reloadsignal

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A signal that arrives before Requests is called is not lost, and does not terminate the process.
func TestSignalBeforeAnyoneListens(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-Requests():
	case <-time.After(10 * time.Second):
		require.FailNow(t, "the signal was lost")
	}
}
