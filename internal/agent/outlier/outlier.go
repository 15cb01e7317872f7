// Package outlier detects unhealthy report servers from the outcomes of one agent's own attempts in
// a sliding window. Its records are the evidence on which the agent votes; reports of other agents
// never enter it.
//
// It is a pure state machine: callers pass the time, as a duration since a fixed start on the
// monotonic clock. Memory is bounded by the number of hosts passed to SetHosts. An attempt counts only
// for the incarnation that it was sent to: a restarted process is a different host.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Host identifies one process of a report server.
type Host struct {
	ID string
	// Incarnation is the start time of the process as discovery reports it, in Unix ms; 0 if it has
	// been running for long. It only identifies the process and is never compared with a clock.
	Incarnation int64
}

// Outcome is the result of an attempt, as evidence of the health of its host.
type Outcome uint8

// The outcomes. Overloaded stands for a rejection for lack of capacity and for an attempt with too short
// a deadline. It counts neither for nor against the host, as a busy host is not unhealthy.
const (
	Success Outcome = iota
	Failure
	NoAnswer // no answer within the time in which other attempts are answered
	Slow     // a successful answer that took too long
	Overloaded
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return [...]string{"good", "failed", "silent", "slow", "full"}[o] }

// isFailure reports whether the outcome counts against its host.
func (o Outcome) isFailure() bool { return o == Failure || o == NoAnswer || o == Slow }

const (
	// buckets is the number of buckets of the window, which slides by one bucket at a time.
	buckets = 10
	// slowFactor and minSlowRatio define a slow answer: its latency is more than slowFactor times the
	// usual latency and more than minSlowRatio times its latency target.
	slowFactor, minSlowRatio = 3.0, 0.5
	// noAnswerFactor times the usual latency, or the latency target if that is less, is how long an
	// attempt must have waited to count as unanswered. Clients close to their deadline wait for less.
	noAnswerFactor = 4.0
	// minSlowDuration is how long all answers of a host must have been slow for it to count as unhealthy.
	// It is longer than the short pauses that hosts have.
	minSlowDuration = time.Second
	// latencySmoothing is the weight of a new answer in the moving average that is the usual latency.
	latencySmoothing = 0.02
)

// Record summarizes the attempts at a host in the window.
type Record struct {
	Attempts         int
	Failures         int
	LastFailure      Outcome       // outcome of the last failed attempt
	LastFailureAt    time.Duration // end of the last failed attempt
	LastFailureSent  time.Duration // when that attempt was sent
	FirstFailureSent time.Duration // when the first failed attempt since the last success was sent
	LastProbeSent    time.Duration // when the last answered health check was sent
	LastSuccessSent  time.Duration // when the last successful attempt was sent; never if there was none
}

// Log holds the attempts of one agent. It is not safe for concurrent use.
type Log struct {
	window          time.Duration
	hosts           map[string]*hostHistory
	zoneUtilization map[string]*utilization // by zone
	usualLatency    map[int]float64         // by class: moving average of the latency as a fraction of its target
}

// hostHistory holds the attempts at a host in the window.
type hostHistory struct {
	host             Host
	weight           float64
	zone             string
	bucketStart      [buckets]time.Duration // start of the interval that each bucket covers
	attempts         [buckets]int
	failures         [buckets]int
	lastFailure      Outcome
	lastFailureAt    time.Duration
	lastFailureSent  time.Duration
	firstFailureSent time.Duration
	lastProbeSent    time.Duration
	lastSuccessSent  time.Duration
}

// utilization is the moving average of the utilization that a zone's hosts report in health checks.
type utilization struct {
	mean  float64
	count int           // number of health checks in mean, at most utilizationSamples
	at    time.Duration // time of the last one
}

// utilizationSamples is the number of health checks over which the mean is taken: each further one has a
// weight of 1/utilizationSamples.
const utilizationSamples = 8

// addUtilization adds a report to the mean of a zone. A mean older than the window is restarted.
func (l *Log) addUtilization(zone string, value float64, at time.Duration) {
	u := l.zoneUtilization[zone]
	if u == nil || at-u.at > l.window {
		u = &utilization{}
		l.zoneUtilization[zone] = u
	}
	u.count = min(u.count+1, utilizationSamples)
	u.mean += (value - u.mean) / float64(u.count)
	u.at = at
}

// never is earlier than any time.
const never = time.Duration(-1 << 62)

// New returns an empty log with a window of the given length.
func New(window time.Duration) *Log {
	return &Log{window: window, hosts: map[string]*hostHistory{}, zoneUtilization: map[string]*utilization{},
		usualLatency: map[int]float64{}}
}

// SetHosts replaces the set of hosts and deletes the history of hosts that are no longer in it. A host
// with a new incarnation starts with an empty history.
func (l *Log) SetHosts(hosts []ListedHost) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		history := l.hosts[h.ID]
		if history == nil || history.host != h.Host {
			history = &hostHistory{host: h.Host, lastFailureAt: never, lastFailureSent: never, lastProbeSent: never,
				lastSuccessSent: never}
			l.hosts[h.ID] = history
		}
		history.weight, history.zone = h.Weight, h.Zone
	}
	for id := range l.hosts {
		if !listed[id] {
			delete(l.hosts, id)
		}
	}
}

// ListedHost is a host as discovery lists it.
type ListedHost struct {
	Host
	Zone   string
	Weight float64
}

// Observation is the result of one attempt of the agent.
type Observation struct {
	Host    Host
	Class   int
	Outcome Outcome
	// LatencyRatio is the latency of the attempt as a fraction of the latency target of its class. A
	// high ratio turns Success into Slow, and a low one NoAnswer into Overloaded.
	LatencyRatio float64
	// Sent is when the attempt was sent, Ended when it ended.
	Sent, Ended time.Duration
	// Probe marks a health check. Its success shows only that the process is running; its failure
	// counts like that of a request.
	Probe bool
	// Utilization is the utilization that the host reported in a health check; negative if it reported none.
	Utilization float64
}

// Observe records an attempt and returns the outcome that it counts as.
func (l *Log) Observe(observation Observation) Outcome {
	history := l.hosts[observation.Host.ID]
	if observation.Probe && observation.Outcome == Success {
		if history != nil && history.host == observation.Host {
			history.lastProbeSent = max(history.lastProbeSent, observation.Sent)
			if observation.Utilization >= 0 {
				l.addUtilization(history.zone, observation.Utilization, observation.Ended)
			}
		}
		return observation.Outcome
	}
	usual, known := l.usualLatency[observation.Class]
	if observation.Outcome == NoAnswer && !observation.Probe && observation.LatencyRatio < 1 &&
		(!known || observation.LatencyRatio < noAnswerFactor*usual) {
		return Overloaded
	}
	if observation.Outcome == Success {
		if known && observation.LatencyRatio > minSlowRatio && observation.LatencyRatio > slowFactor*usual {
			observation.Outcome = Slow
		}
		if !known {
			usual = observation.LatencyRatio
		}
		// Slow answers are included: otherwise the usual latency would never follow a fleet that became slow.
		l.usualLatency[observation.Class] = usual + latencySmoothing*(observation.LatencyRatio-usual)
	}
	if history == nil || history.host != observation.Host || observation.Outcome == Overloaded {
		return observation.Outcome
	}
	bucketLength := l.window / buckets
	i := int(observation.Ended/bucketLength) % buckets
	if start := observation.Ended - observation.Ended%bucketLength; history.bucketStart[i] != start {
		history.bucketStart[i], history.attempts[i], history.failures[i] = start, 0, 0
	}
	history.attempts[i]++
	if observation.Outcome.isFailure() {
		history.failures[i]++
		if history.lastFailureAt <= history.lastSuccessSent {
			history.firstFailureSent = observation.Sent
		}
		history.lastFailure, history.lastFailureAt, history.lastFailureSent = observation.Outcome,
			max(history.lastFailureAt, observation.Ended), max(history.lastFailureSent, observation.Sent)
	} else {
		// A success counts from when the attempt was sent, not from when it ended: an attempt that was
		// sent before a failure does not show that the host recovered after it.
		history.lastSuccessSent = max(history.lastSuccessSent, observation.Sent)
	}
	return observation.Outcome
}

// Record returns the record of a host, or false if that incarnation is not listed.
func (l *Log) Record(h Host, now time.Duration) (Record, bool) {
	history := l.hosts[h.ID]
	if history == nil || history.host != h {
		return Record{}, false
	}
	return history.record(now, l.window), true
}

func (h *hostHistory) record(now, window time.Duration) Record {
	r := Record{LastFailure: h.lastFailure, LastFailureAt: h.lastFailureAt, LastFailureSent: h.lastFailureSent,
		FirstFailureSent: h.firstFailureSent, LastProbeSent: h.lastProbeSent, LastSuccessSent: h.lastSuccessSent}
	for i := range buckets {
		if h.bucketStart[i]+window/buckets > now-window {
			r.Attempts += h.attempts[i]
			r.Failures += h.failures[i]
		}
	}
	return r
}

// Incarnation returns the process that is listed under a host ID, or false if there is none.
func (l *Log) Incarnation(id string) (Host, bool) {
	history := l.hosts[id]
	if history == nil {
		return Host{}, false
	}
	return history.host, true
}

// Weight returns the fraction that a host has of the weight of its zone, and the zone. The fraction is 0
// if that incarnation is not listed.
func (l *Log) Weight(h Host) (fraction float64, zone string) {
	history := l.hosts[h.ID]
	if history == nil || history.host != h {
		return 0, ""
	}
	total := 0.0
	for _, other := range l.hosts {
		if other.zone == history.zone {
			total += other.weight
		}
	}
	if total <= 0 {
		return 0, history.zone
	}
	return history.weight / total, history.zone
}

// Zone summarizes the attempts at a zone's hosts in the window.
type Zone struct {
	Name                string
	Weight              float64 // total weight of its hosts
	Observed, Unhealthy int     // hosts with attempts in the window, and the unhealthy ones of them
	WithFailures        int     // observed hosts with at least one failed attempt
	Attempts            int
	Failures            int     // failed attempts
	Utilization         float64 // mean utilization by the last health checks
	UtilizationSamples  int     // number of health checks in that mean
}

// Zones returns a summary of each zone with a listed host, ordered by name.
func (l *Log) Zones(now time.Duration) (out []Zone) {
	for _, history := range l.hosts {
		i, ok := slices.BinarySearchFunc(out, history.zone, func(z Zone,
			name string) int {
			return cmp.Compare(z.Name, name)
		})
		if !ok {
			out = slices.Insert(out, i, Zone{Name: history.zone})
		}
		out[i].Weight += history.weight
		if u := l.zoneUtilization[history.zone]; u != nil && now-u.at <= l.window {
			out[i].Utilization, out[i].UtilizationSamples = u.mean, u.count
		}
		if r := history.record(now, l.window); r.Attempts > 0 {
			out[i].Observed++
			out[i].Attempts += r.Attempts
			out[i].Failures += r.Failures
			if r.Failures > 0 {
				out[i].WithFailures++
			}
			if r.Unhealthy(now, l.window) {
				out[i].Unhealthy++
			}
		}
	}
	return out
}

// UnhealthyFraction returns the unhealthy fraction of the hosts with attempts in the window, and the
// number of those hosts. An observer to which most hosts look unhealthy is more likely to be at fault itself.
func (l *Log) UnhealthyFraction(now time.Duration) (fraction float64, observed int) {
	unhealthy := 0
	for _, history := range l.hosts {
		r := history.record(now, l.window)
		if r.Attempts == 0 {
			continue
		}
		observed++
		if r.Unhealthy(now, l.window) {
			unhealthy++
		}
	}
	if observed == 0 {
		return 0, 0
	}
	return float64(unhealthy) / float64(observed), observed
}

// Unhealthy reports whether the last attempt at the host failed, no longer than maxAge ago.
//
// One failure suffices. To a single agent it is weak evidence, as connections break at any host, but a
// majority of agents does not see one at the same time by chance, and waiting for a second failure at each
// agent would double the number of failed requests. Slowness counts only once it has lasted for
// minSlowDuration, because a short pause of a host looks slow to many agents at once. Waiting for that
// costs no request, as slow answers are successful.
func (r Record) Unhealthy(now, maxAge time.Duration) bool {
	sustained := r.LastFailure != Slow || r.LastFailureAt-r.FirstFailureSent >= minSlowDuration
	return r.Failures > 0 && sustained && r.LastFailureAt > r.LastSuccessSent && now-r.LastFailureAt <= maxAge
}

// Healthy reports whether the last attempt at the host succeeded, no longer than maxAge ago.
func (r Record) Healthy(now, maxAge time.Duration) bool {
	return r.LastSuccessSent > r.LastFailureAt && now-r.LastSuccessSent <= maxAge
}

// Suspects returns the unhealthy hosts, ordered by ID.
func (l *Log) Suspects(now, maxAge time.Duration) (out []Host) {
	for _, history := range l.hosts {
		if history.record(now, l.window).Unhealthy(now, maxAge) {
			out = append(out, history.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
