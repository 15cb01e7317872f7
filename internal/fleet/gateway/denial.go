package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// A configuration denies a request that it has no route for, whose API key it does not know, or that exceeds
// its limits. A newer configuration may allow that request. So a configuration denies requests only while it is
// known to be recent, as the core has confirmed; otherwise they are refused, which tells the client to try
// another agent. It is the rule by which a cache with leases may answer that something does not exist.

const (
	// minOutdatedRetryAfter is the shortest Retry-After of a request that a configuration that may be out of date
	// does not allow. outdatedRetrySpread is the upper bound of the random time that is added to it.
	minOutdatedRetryAfter, outdatedRetrySpread = 200 * time.Millisecond, 200 * time.Millisecond
	// deniedLogInterval is the shortest time between two log lines about denied requests.
	deniedLogInterval = time.Second
	// neverConfirmed is logged as the time since the last confirmation if there was none.
	neverConfirmed = -time.Second
)

// configDenialf returns the error of a request that the configuration does not allow.
func configDenialf(status int, format string, args ...any) error {
	return &requestError{status: status, message: fmt.Sprintf(format, args...), byConfig: true}
}

// ConfigMaxAge returns how old the last confirmation of a configuration may be when it denies a request.
// converge is the time after its acknowledgement from which each configuration has to be in force.
func ConfigMaxAge(converge time.Duration) time.Duration { return converge - clockMargin(converge) }

// configMayDeny reports whether the configuration is recent enough to deny a request that was received at the
// given time: every configuration that was acknowledged longer than denialMaxAge before it is included. The
// snapshot has to be loaded after this call.
func (g *Gateway) configMayDeny(receivedAt time.Time) bool {
	return g.configConfirmed(receivedAt, g.denialMaxAge)
}

// configConfirmed reports whether the core confirmed the configuration no longer than maxAge before a given
// time.
func (g *Gateway) configConfirmed(at time.Time, maxAge time.Duration) bool {
	if g.ConfigFreshAsOf == nil {
		return false
	}
	asOf := g.ConfigFreshAsOf()
	return !asOf.IsZero() && at.Sub(asOf) <= maxAge
}

// limitMayDeny reports whether the limit on the head of a request that is being received may deny it. The limits
// have to be loaded after this call.
func (g *Gateway) limitMayDeny() bool {
	return g.configMayDeny(time.Now()) && g.Config() != nil
}

// refuseOutdated refuses a request that the configuration, which may be out of date, does not allow. The client
// has to reconnect, perhaps to an agent whose configuration is confirmed.
func (g *Gateway) refuseOutdated(w http.ResponseWriter) {
	g.Counters.Outdated.Add(1)
	w.Header().Set("Connection", "close")
	g.refuse(w, minOutdatedRetryAfter+rand.N(outdatedRetrySpread), reasonOutdated)
}

// logDenial logs that a request was denied, at most once in deniedLogInterval.
func (g *Gateway) logDenial(status int, reason error) {
	g.deniedLog.Do(func() {
		revision, confirmed := int64(0), neverConfirmed
		if document := g.Config(); document != nil {
			revision = document.Revision
		}
		if g.ConfigFreshAsOf != nil {
			if asOf := g.ConfigFreshAsOf(); !asOf.IsZero() {
				confirmed = time.Since(asOf)
			}
		}
		logevent.RequestDenied.Log("status", status, "err", reason, "revision", revision, "confirmed", confirmed)
	})
}
