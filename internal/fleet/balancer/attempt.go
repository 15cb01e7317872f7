package balancer

import (
	"net/http"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// fullBackoff is how long a server that rejected a request counts as full, on average.
	fullBackoff = 200 * time.Millisecond
	// A failed connect counts as a time-out if it took at least connectTimeoutThreshold, otherwise
	// as a refusal.
	connectTimeoutThreshold = 200 * time.Millisecond
	// queueingSmoothing is the weight of one reported load in service.queueingRatio.
	queueingSmoothing = 0.05
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded     Outcome = iota // the complete response arrived
	ClientError                  // a 4xx that is due to the request; says nothing about the server's health
	Rejected                     // the server was full and did not run the request; not a failure
	Misdirected                  // 421: another instance has the address, so the list is outdated
	ConnectFailed                // the connection was refused or not established in time
	Reset                        // the connection was closed or reset
	Timeout                      // no complete response arrived in time
	BadResponse                  // the response was truncated or malformed
	ServerError                  // a 5xx for a request that ran
	Cancelled                    // the client disconnected; says nothing about the server's health
)

var outcomeNames = [...]string{"succeeded", "client error", "rejected", "misdirected", "connect failed", "reset",
	"timeout", "bad response", "server error", "cancelled"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// mayHaveRun reports whether the server may have prefilled the prompt.
func (o Outcome) mayHaveRun() bool {
	switch o {
	case Rejected, Misdirected, ConnectFailed, ClientError:
		return false
	default:
		return true
	}
}

// Attempt is one attempt of a request at a server. Its methods take times of the Picker's clock and
// change the Picker: a caller that guards the Picker with a lock must hold it for them too.
type Attempt struct {
	picker         *Picker
	server         *server
	sequence       *inference.Sequence
	prefixes       []Segment
	sentAt         time.Duration
	targetAt       time.Duration // when the first token becomes late
	estimate       time.Duration // estimated time to the first token when the server was picked
	promptTokens   int
	instanceSeq    uint64 // the instance's sequence number when the server was picked
	status         int    // HTTP status of the response; zero before its header
	priorityClass  int
	responded      bool // part of a response has arrived
	firstEventSeen bool
	ended          bool
}

// Sent records that the request was written to the server.
func (a *Attempt) Sent(now time.Duration) {
	a.sentAt = now
	a.sequence.Sent(now)
}

// Headers records the response's header. The load is the one that it reports, or nil.
func (a *Attempt) Headers(now time.Duration, status int, load *Load) {
	a.recordResponse(now)
	a.status = status
	if load == nil || a.ended {
		return
	}
	a.server.inference.ObserveLoad(now, *load)
	waiting := 0.0
	if load.Waiting > 0 {
		waiting = 1
	}
	svc := a.server.service
	svc.queueingRatio += queueingSmoothing * (waiting - svc.queueingRatio)
}

// Events records n events of the response's stream.
func (a *Attempt) Events(now time.Duration, n int) {
	a.recordResponse(now)
	if !a.firstEventSeen {
		a.firstEventSeen = true
		a.server.service.lateness[a.priorityClass].recordObserved(now, now > a.targetAt)
	}
	a.sequence.Events(now, n)
}

// recordResponse records that the server answered the attempt.
func (a *Attempt) recordResponse(now time.Duration) {
	a.responded = true
	a.server.lastResponseAt = max(a.server.lastResponseAt, now)
}

// End records the end of the attempt; further calls do nothing.
func (a *Attempt) End(now time.Duration, outcome Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.server.removeAttempt(a)
	if outcome == Succeeded && !a.firstEventSeen {
		a.sequence.Events(now, 1)
	}
	a.sequence.End(now, outcome.mayHaveRun())
	if outcome == Misdirected {
		a.picker.removeMisdirected(a.server.instance.ID, a.instanceSeq)
	}
	if a.server.listed {
		a.updateHealth(now, outcome)
	}
}

// updateHealth updates the server's health from the outcome.
func (a *Attempt) updateHealth(now time.Duration, outcome Outcome) {
	s, p := a.server, a.picker
	switch outcome {
	case Succeeded:
		a.recordResponse(now)
		p.updateFailureRate(now, s, false)
		s.RecordSuccess(millis(a.sentAt), millis(now))
	case ClientError:
		a.recordResponse(now)
	case Rejected:
		a.recordResponse(now)
		// Agents that were rejected at the same moment must not all return at the same moment.
		s.fullUntil = now + duration(millis(fullBackoff)*(0.5+p.rng.Float64()))
	case ConnectFailed:
		p.markUnhealthy(now, s, now-a.sentAt >= connectTimeoutThreshold)
		p.allowChecks(now, s.service)
	case Reset, BadResponse, ServerError:
		s.lastResponseAt = max(s.lastResponseAt, now)
		if a.status != http.StatusGatewayTimeout { // 504: the client's deadline passed, not the server's fault
			p.markUnhealthy(now, s, false)
		}
	case Timeout:
		if a.timeoutBlamesServer(now) {
			p.markUnhealthy(now, s, true)
		}
	case Misdirected, Cancelled:
	}
}

// timeoutBlamesServer reports whether a time-out is the server's fault: the attempt had enough time
// for an answer, and the server has answered nothing since it was sent.
func (a *Attempt) timeoutBlamesServer(now time.Duration) bool {
	return !a.responded && a.server.lastResponseAt < a.sentAt && now-a.sentAt >= max(2*a.estimate, minUnresponsiveTime)
}
