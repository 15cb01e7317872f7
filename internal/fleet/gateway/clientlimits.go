package gateway

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

const (
	// defaultHeaderTime bounds the time for the head of a request where the configuration does not, and
	// readBodyTimeout that for its body.
	defaultHeaderTime, readBodyTimeout = 10 * time.Second, 10 * time.Second
	// defaultIdleTime is how long a client's connection stays open between requests where the
	// configuration does not say it.
	defaultIdleTime = 60 * time.Second
	// defaultHeaderBytes bounds the head of a request where the configuration does not, and maxHeaderBytes
	// where it allows more.
	defaultHeaderBytes, maxHeaderBytes = 64 << 10, 256 << 10
	// defaultMaxBodyBytes bounds a request body where the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
)

// clientLimits are the limits of clients that are in force.
type clientLimits struct {
	headerBytes int64         // of the head of a request
	bodyBytes   int64         // of its body
	headerTime  time.Duration // from the first byte of a head to its end
	idleTime    time.Duration // between two requests of a connection, and before the first
}

// limitsOf returns the limits of a configuration; nil is none yet. What it leaves out has a default.
func limitsOf(document *config.Document) clientLimits {
	var configured config.Limits
	if document != nil {
		configured = document.Limits
	}
	return clientLimits{
		headerBytes: min(positiveOr(configured.HeaderBytes, defaultHeaderBytes), maxHeaderBytes),
		bodyBytes:   positiveOr(configured.BodyBytes, defaultMaxBodyBytes),
		headerTime:  positiveTime(configured.HeaderMs, defaultHeaderTime),
		idleTime:    positiveTime(configured.IdleMs, defaultIdleTime),
	}
}

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() clientLimits { return limitsOf(g.Config()) }

func positiveOr(value, otherwise int64) int64 {
	if value > 0 {
		return value
	}
	return otherwise
}

// positiveTime returns a time in milliseconds, or otherwise if it is none. A longer one than maxClientTime
// is cut to it.
func positiveTime(ms int64, otherwise time.Duration) time.Duration {
	const maxClientTime = 365 * 24 * time.Hour
	if ms <= 0 {
		return otherwise
	}
	return time.Duration(min(ms, maxClientTime.Milliseconds())) * time.Millisecond
}
