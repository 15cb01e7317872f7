package policy

const (
	// maxEjections limits the counted ejections, each of which after the first doubles the ejection time;
	// maxEjectionMs limits the ejection time.
	maxEjections, maxEjectionMs = 5, 8000.0
	// successesPerEjection times the counted ejections is the number of served attempts after which the
	// count decreases by one.
	successesPerEjection = 16
)

// State is what an agent believes about a listed server.
type State uint8

// The four states, best first.
const (
	Connected        State = iota // it served an attempt
	Unknown                       // nothing is known about it
	UnhealthyPending              // it waits for validation by a request or a probe
	Unhealthy                     // ejected
)

// StateNames holds the names of the states, indexed by State.
var StateNames = [...]string{"connected", "unknown", "unhealthy_pending", "unhealthy"}

// String returns the state's name, or "invalid".
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

// EndpointHealth is the health of one server as seen by one caller from its own attempts (passive health
// checking with outlier ejection). Callers eject independently of each other. Times are milliseconds of a
// monotonic clock. The zero value is Connected; NewEndpointHealth returns one that is Unknown. It is not safe
// for concurrent use.
type EndpointHealth struct {
	state     State
	since     float64 // when the state was entered
	timedOut  bool    // ejected for a timeout, not for a response
	ejections int     // number of recent ejections; each after the first doubles the ejection time
	successes int     // number of served attempts since ejections last changed
}

// NewEndpointHealth returns the health of a newly listed server: Unknown.
func NewEndpointHealth(now float64) EndpointHealth { return EndpointHealth{state: Unknown, since: now} }

// State returns the current state.
func (h *EndpointHealth) State() State { return h.state }

// Since returns when the current state was entered, in milliseconds of the caller's clock.
func (h *EndpointHealth) Since() float64 { return h.since }

// TimedOut reports whether the server was ejected for a timeout. Only a served request clears it.
func (h *EndpointHealth) TimedOut() bool { return h.timedOut }

// Ejections returns the number of recent ejections, which determines EjectionTime.
func (h *EndpointHealth) Ejections() int { return h.ejections }

// Transition enters a state and reports whether priorities may have changed.
func (h *EndpointHealth) Transition(to State, now float64) bool {
	changed := h.state > Unknown || to > Unknown
	h.state, h.since = to, now
	return changed
}

// Priority returns the server's health tier; 0 is the best. A server that is UnhealthyPending is in the
// second tier for pendingMs and then in the first, so that a request validates it.
func (h *EndpointHealth) Priority(now, pendingMs float64) int {
	switch {
	case h.state == Unhealthy:
		return priorityUnhealthy
	case h.state == UnhealthyPending && now-h.since < pendingMs:
		return priorityPending
	}
	return priorityHealthy
}

// RecordFailure ejects the server after a failed attempt, unless it is Unhealthy already; ejected reports
// whether it did.
func (h *EndpointHealth) RecordFailure(timedOut bool, now float64) (ejected bool) {
	if h.state == Unhealthy {
		return false
	}
	h.Transition(Unhealthy, now)
	h.timedOut = timedOut
	return true
}

// RecordEjection counts an ejection, which may double EjectionTime.
func (h *EndpointHealth) RecordEjection() {
	h.ejections, h.successes = min(h.ejections+1, maxEjections), 0
}

// EjectionTime returns how long, in milliseconds, the server stays Unhealthy: baseMs, doubled for each
// counted ejection after the first, at most maxEjectionMs and at least minMs.
func (h *EndpointHealth) EjectionTime(baseMs, minMs float64) float64 {
	doubled := baseMs * float64(int(1)<<max(h.ejections-1, 0))
	return max(min(doubled, maxEjectionMs), minMs)
}

// BeginValidation moves a server that has been Unhealthy for ejectionMs to UnhealthyPending, and reports
// whether it did.
func (h *EndpointHealth) BeginValidation(ejectionMs, now float64) bool {
	return h.state == Unhealthy && now-h.since >= ejectionMs && h.Transition(UnhealthyPending, now)
}

// RecordSuccess records a served attempt. An attempt that was sent before the server was ejected for a
// response does not count, as it says nothing about the time since. changed reports whether priorities may
// have changed.
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
