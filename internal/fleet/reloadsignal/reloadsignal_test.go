package reloadsignal

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The signal neither ends a process that has asked for nothing yet, nor is lost.
func TestSignalBeforeAnyoneListens(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-Requests():
	case <-time.After(10 * time.Second):
		require.FailNow(t, "the signal was lost")
	}
}
