package gateway

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

const (
	// defaultHeaderTimeout bounds the time for the head of a request if the configuration has no limit.
	// readBodyTimeout bounds the time for its body.
	defaultHeaderTimeout, readBodyTimeout = 10 * time.Second, 10 * time.Second
	// defaultIdleTimeout is how long a client's connection stays open between requests if the
	// configuration has no limit.
	defaultIdleTimeout = 60 * time.Second
	// defaultHeaderBytes bounds the head of a request if the configuration has no limit. maxHeaderBytes is
	// the highest limit that takes effect.
	defaultHeaderBytes, maxHeaderBytes = 64 << 10, 256 << 10
	// defaultMaxBodyBytes bounds a request body if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
)

// clientLimits holds the limits for client connections and their requests.
type clientLimits struct {
	headerBytes   int64         // size of the head of a request
	bodyBytes     int64         // size of its body
	headerTimeout time.Duration // from the first byte of a head to its end
	idleTimeout   time.Duration // between two requests of a connection, and before the first
}

// limitsOf returns the limits of a configuration, which may be nil. Limits that it does not set have
// default values.
func limitsOf(document *config.Document) clientLimits {
	var configured config.Limits
	if document != nil {
		configured = document.Limits
	}
	return clientLimits{
		headerBytes:   min(positiveOr(configured.HeaderBytes, defaultHeaderBytes), maxHeaderBytes),
		bodyBytes:     positiveOr(configured.BodyBytes, defaultMaxBodyBytes),
		headerTimeout: positiveDuration(configured.HeaderMs, defaultHeaderTimeout),
		idleTimeout:   positiveDuration(configured.IdleMs, defaultIdleTimeout),
	}
}

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() clientLimits { return limitsOf(g.Config()) }

// positiveOr returns value if it is positive, otherwise fallback.
func positiveOr(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// positiveDuration returns a number of milliseconds as a duration of at most a year, or fallback if it is
// not positive.
func positiveDuration(ms int64, fallback time.Duration) time.Duration {
	const maxDuration = 365 * 24 * time.Hour
	if ms <= 0 {
		return fallback
	}
	return time.Duration(min(ms, maxDuration.Milliseconds())) * time.Millisecond
}
