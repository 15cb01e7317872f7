package policy

const (
	// maxEjections bounds the doubling of a server's ejection time, maxEjectionMs that time.
	maxEjections, maxEjectionMs = 5, 8000.0
	// successesPerEjection is the number of served attempts, for each ejection counted, after which one
	// ejection is forgotten.
	successesPerEjection = 16
)

// State is what an agent believes about a listed server.
type State uint8

// The four states, best first.
const (
	Connected        State = iota // it served an attempt
	Unknown                       // nothing is known of it
	UnhealthyPending              // it waits for validation by a request or a probe
	Unhealthy                     // ejected
)

// StateNames are the names of the states, by their number.
var StateNames = [...]string{"connected", "unknown", "unhealthy_pending", "unhealthy"}

// String is the state's name, or "invalid".
func (s State) String() string {
	if int(s) < len(StateNames) {
		return StateNames[s]
	}
	return "invalid"
}

// The priorities of EndpointHealth.Priority, best first.
const (
	priorityHealthy = iota
	priorityPending
	priorityUnhealthy
)

// EndpointHealth is the health of one server by the attempts of one caller (passive health checking with
// outlier ejection). Each caller ejects by itself. Times are milliseconds of a steady clock. The zero value
// is Connected; NewEndpointHealth gives Unknown. It is not safe for concurrent use.
type EndpointHealth struct {
	state     State
	since     float64 // when the state was entered
	timedOut  bool    // ejected for a time-out, not for a response
	ejections int     // ejections of late; each doubles the ejection time
	successes int     // served attempts since the last change of ejections
}

// NewEndpointHealth is the health of a server that is newly listed: Unknown.
func NewEndpointHealth(now float64) EndpointHealth { return EndpointHealth{state: Unknown, since: now} }

// State is the current state.
func (h *EndpointHealth) State() State { return h.state }

// Since is when the current state was entered, in milliseconds of the caller's clock.
func (h *EndpointHealth) Since() float64 { return h.since }

// TimedOut reports whether the server was ejected for a time-out; only a served request clears it.
func (h *EndpointHealth) TimedOut() bool { return h.timedOut }

// Ejections is the number of ejections of late; it sets the next ejection's time.
func (h *EndpointHealth) Ejections() int { return h.ejections }

// Transition enters a state; it reports whether priorities may have changed.
func (h *EndpointHealth) Transition(to State, now float64) bool {
	changed := h.state > Unknown || to > Unknown
	h.state, h.since = to, now
	return changed
}

// Priority is the server's tier, 0 the best. UnhealthyPending comes second until lapseMs have passed, and
// then counts as healthy: a request validates it.
func (h *EndpointHealth) Priority(now, lapseMs float64) int {
	switch {
	case h.state == Unhealthy:
		return priorityUnhealthy
	case h.state == UnhealthyPending && now-h.since < lapseMs:
		return priorityPending
	}
	return priorityHealthy
}

// RecordFailure ejects for a failed attempt. Failures while it is Unhealthy eject no second time; ejected
// reports whether this one did.
func (h *EndpointHealth) RecordFailure(timedOut bool, now float64) (ejected bool) {
	if h.state == Unhealthy {
		return false
	}
	h.Transition(Unhealthy, now)
	h.timedOut = timedOut
	return true
}

// RecordEjection makes the next ejection time longer.
func (h *EndpointHealth) RecordEjection() {
	h.ejections, h.successes = min(h.ejections+1, maxEjections), 0
}

// EjectionTime is how long, in milliseconds, the server stays Unhealthy: baseMs, doubled with each further
// ejection up to a bound, and no less than minMs.
func (h *EndpointHealth) EjectionTime(baseMs, minMs float64) float64 {
	doubled := baseMs * float64(int(1)<<max(h.ejections-1, 0))
	return max(min(doubled, maxEjectionMs), minMs)
}

// BeginValidation makes a server that was Unhealthy for ejectionMs UnhealthyPending, and reports whether it
// did.
func (h *EndpointHealth) BeginValidation(ejectionMs, now float64) bool {
	return h.state == Unhealthy && now-h.since >= ejectionMs && h.Transition(UnhealthyPending, now)
}

// RecordSuccess takes a served attempt. One that was sent before an ejection says nothing about what came
// after, and does not count. changed reports whether priorities may have changed.
func (h *EndpointHealth) RecordSuccess(sentAt, now float64) (counts, changed bool) {
	if h.state == Unhealthy && sentAt < h.since && !h.timedOut {
		return false, false
	}
	if h.state != Connected {
		changed = h.Transition(Connected, now)
	}
	if h.timedOut {
		h.timedOut, h.ejections = false, max(h.ejections-1, 0)
	}
	if h.successes++; h.successes >= successesPerEjection*h.ejections {
		h.successes, h.ejections = 0, max(h.ejections-1, 0)
	}
	return true, changed
}
