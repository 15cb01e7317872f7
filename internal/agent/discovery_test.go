package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// A discovery that answers every watch at once is not called in a tight loop.
func TestDiscoveryCallsAreLimited(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	d := newDiscoveryClient(ctx, server.Listener.Addr().String(), (&net.Dialer{}).DialContext)
	d.onList = func(*TargetList, bool, error) {}
	start := time.Now()
	d.watch(1, false)
	maxCalls := callBurst + int64(callsPerSecond*time.Since(start).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > maxCalls {
		t.Errorf("%d calls, want 2 to %d", n, maxCalls)
	}
}

// waitCalls waits until a number of calls has arrived, answered or not.
func (d *fakeDiscovery) waitCalls(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); d.callCount() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls, want %d", d.callCount(), n)
		}
	}
}

// The backoff grows up to a bound and differs between agents.
func TestWatchBackoff(t *testing.T) {
	for _, c := range []struct {
		failures    int
		least, most time.Duration
	}{{1, minWatchBackoff / 2, minWatchBackoff}, {3, 2 * minWatchBackoff, 4 * minWatchBackoff}, {1000,
		maxWatchBackoff / 2, maxWatchBackoff}} {
		seen := map[time.Duration]bool{}
		for range 100 {
			p := watchBackoff(c.failures)
			if seen[p] = true; p < c.least || p > c.most {
				t.Errorf("backoff of %v after %d failures, want %v to %v", p, c.failures, c.least, c.most)
			}
		}
		if len(seen) < 50 {
			t.Errorf("only %d of 100 backoffs differ after %d failures", len(seen), c.failures)
		}
	}
}
