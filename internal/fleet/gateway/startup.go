package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

const (
	// startupWait is how long a request waits for a starting process. It is less than a quarter of the
	// shortest latency target of a route, so that a refusal still arrives in time.
	startupWait = 90 * time.Millisecond
	// startupPollInterval is how often a waiting request checks whether the API keys are confirmed.
	startupPollInterval = 10 * time.Millisecond
	// startupTime is how long a process needs until it can serve if all processes are started together;
	// the members of the core have to find each other first. A client that retries sooner may be refused
	// again.
	startupTime = 1500 * time.Millisecond
	// startupSpread is the upper bound of the random time that is added to the Retry-After of a starting
	// process. Otherwise all refused clients would return at once when it has just begun to serve.
	startupSpread = 700 * time.Millisecond
)

// isServable reports whether requests can be served: the snapshot is up to date and has a
// configuration and at least one server.
func isServable(snapshot *relay.Snapshot) bool {
	return snapshot.Synced && snapshot.Config != nil && snapshot.Servers != nil && len(snapshot.Servers.ByID) > 0
}

// Servable reports whether requests can be served.
func (g *Gateway) Servable() bool { return isServable(g.snapshot.Load()) }

// servableSnapshot returns the snapshot for handling a request that was received at the given time, or the
// reason for which the request is refused. While the process is starting, it waits up to startupWait.
func (g *Gateway) servableSnapshot(ctx context.Context, receivedAt time.Time) (snapshot *relay.Snapshot, refusal string) {
	snapshot, refusal = g.checkSnapshot(receivedAt)
	if refusal == "" || !g.isStarting() {
		return snapshot, refusal
	}
	g.waitStarted(ctx)
	return g.checkSnapshot(receivedAt)
}

// checkSnapshot returns the newest snapshot, or the reason why it can't be used for a request that was
// received at the given time. The reason is "" if it can.
func (g *Gateway) checkSnapshot(receivedAt time.Time) (snapshot *relay.Snapshot, refusal string) {
	confirmed := g.keysConfirmed(receivedAt) // before the snapshot is loaded
	snapshot = g.snapshot.Load()
	switch {
	case !isServable(snapshot):
		return nil, reasonStarting
	case !confirmed && snapshot.Config.HasTenants():
		return nil, reasonUnconfirmed
	}
	return snapshot, ""
}

// isStarting reports whether the process can't serve yet: it has no servable snapshot, or its API keys have
// never been confirmed.
func (g *Gateway) isStarting() bool { return !g.Servable() || !g.keysEverConfirmed() }

// keysEverConfirmed reports whether the API keys have been confirmed since the start, or need not be.
func (g *Gateway) keysEverConfirmed() bool {
	return g.keyMaxAge == 0 || g.ConfigFreshAsOf != nil && !g.ConfigFreshAsOf().IsZero()
}

// waitStarted waits until the process can serve, but at most for startupWait.
func (g *Gateway) waitStarted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	select {
	case <-g.becameServable:
	case <-ctx.Done():
	}
	poll := time.NewTicker(startupPollInterval)
	defer poll.Stop()
	for g.isStarting() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// startupRetryAfter returns the Retry-After of a request that servableSnapshot refuses. While the process is
// starting, it is the expected rest of the start plus a random time.
func (g *Gateway) startupRetryAfter() time.Duration {
	if !g.isStarting() {
		return defaultRetryAfter
	}
	return max(startupTime-time.Since(g.startedAt), defaultRetryAfter) + rand.N(startupSpread)
}
