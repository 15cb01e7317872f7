package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

const (
	// startupWait is how long a request waits for a process that starts. It is less than a quarter
	// of the shortest latency target of a route, so that a refusal still comes in time.
	startupWait = 90 * time.Millisecond
	// startupPoll is how often it is looked meanwhile whether the API keys are confirmed.
	startupPoll = 10 * time.Millisecond
	// startupTime is how long it takes until a process can serve that was started together with all
	// others; the core has to find itself first. A client that comes back sooner may be refused again.
	startupTime = 1500 * time.Millisecond
	// startupSpread is the time over which the clients that were refused are told to come back: not all
	// at once, when the process has just begun to serve.
	startupSpread = 700 * time.Millisecond
)

// isServable reports whether requests can be served: the snapshot is up to date and has a
// configuration and at least one server.
func isServable(snapshot *relay.Snapshot) bool {
	return snapshot.Synced && snapshot.Config != nil && snapshot.Servers != nil && len(snapshot.Servers.ByID) > 0
}

// Servable reports whether requests can be served.
func (g *Gateway) Servable() bool { return isServable(g.snapshot.Load()) }

// servableSnapshot returns the snapshot by which a request is handled that was received at a time, or the
// reason for which it is refused. It gives a process that starts up to startupWait.
func (g *Gateway) servableSnapshot(ctx context.Context, receivedAt time.Time) (snapshot *relay.Snapshot, refusal string) {
	snapshot, refusal = g.judgeSnapshot(receivedAt)
	if refusal == "" || !g.isStarting() {
		return snapshot, refusal
	}
	g.waitStarted(ctx)
	return g.judgeSnapshot(receivedAt)
}

// judgeSnapshot returns the newest snapshot, and why it can't be used for a request that was received at a
// time, "" if it can.
func (g *Gateway) judgeSnapshot(receivedAt time.Time) (snapshot *relay.Snapshot, refusal string) {
	confirmed := g.keysConfirmed(receivedAt) // of what is loaded after it
	snapshot = g.snapshot.Load()
	switch {
	case !isServable(snapshot):
		return nil, reasonStarting
	case !confirmed && snapshot.Config.HasTenants():
		return nil, reasonUnconfirmed
	}
	return snapshot, ""
}

// isStarting reports whether the process has not been able to serve yet.
func (g *Gateway) isStarting() bool { return !g.Servable() || !g.keysEverConfirmed() }

// keysEverConfirmed reports whether the API keys were confirmed since the start, if they have to be.
func (g *Gateway) keysEverConfirmed() bool {
	return g.keyMaxAge == 0 || g.KeysFreshAsOf != nil && !g.KeysFreshAsOf().IsZero()
}

// waitStarted waits until the process can serve, for startupWait at most.
func (g *Gateway) waitStarted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	select {
	case <-g.becameServable:
	case <-ctx.Done():
	}
	poll := time.NewTicker(startupPoll)
	defer poll.Stop()
	for g.isStarting() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// startupRetryAfter is when a client should come back that was refused by a process that may be starting.
func (g *Gateway) startupRetryAfter() time.Duration {
	if !g.isStarting() {
		return defaultRetryAfter
	}
	return max(startupTime-time.Since(g.startedAt), defaultRetryAfter) + rand.N(startupSpread)
}
