package agent

import (
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// A kept connection is used for most of the keepalive, and never so late that the request
// could meet the backend's close.
func TestConnectionsAreKeptForMostOfTheKeepalive(t *testing.T) {
	for _, c := range []struct {
		keepalive, connect float64
		want               time.Duration
	}{
		{10000, 100, 9375 * time.Millisecond},
		{2000, 100, 1800 * time.Millisecond},
		{300, 100, 150 * time.Millisecond},
		{0, 100, 0},
	} {
		if got := maxIdleTime(&policy.Limits{KeepaliveMs: c.keepalive, ConnectTimeoutMs: c.connect}); got != c.want {
			t.Errorf("keepalive %v ms, connect %v ms: kept for %v, want %v", c.keepalive, c.connect, got, c.want)
		}
	}
}
