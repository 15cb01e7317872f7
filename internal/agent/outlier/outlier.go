// Package outlier keeps what one agent saw of each report server of late, as a base for
// votes: what happened to attempts of its own, never what others tell.
//
// It is pure: times are given, as time since some start on the monotonic clock. It holds at
// most the hosts that it was told are listed. An attempt counts for the incarnation that it
// was sent to only: a process that started again is another host.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Host names one process of a report server.
type Host struct {
	ID string
	// Incarnation is when it started by the list, in Unix ms: a label, never compared to a
	// clock. 0 is long ago.
	Incarnation int64
}

// Outcome is how an attempt ended.
type Outcome uint8

// The kinds. Full, that a host says it has no room or was given too little time, is neither
// good nor bad: what is crowded is not sick.
const (
	Success Outcome = iota
	Failure
	NoAnswer // no answer in a time in which others answer
	Slow     // an answer, late
	Overloaded
)

// String names the kind as logs and metrics have it.
func (k Outcome) String() string { return [...]string{"good", "failed", "silent", "slow", "full"}[k] }

// isFailure tells whether the kind speaks against its host.
func (k Outcome) isFailure() bool { return k == Failure || k == NoAnswer || k == Slow }

const (
	// buckets is into how many parts the window is cut: a record's age is known to a part.
	buckets = 10
	// slowFactor and minSlowRatio are how many times the usual an answer must take to be slow, and
	// the least part of its aim: an answer that is well in its aim is none, however quick the
	// others are.
	slowFactor, minSlowRatio = 3.0, 0.5
	// noAnswerFactor is how many times the usual, or a whole aim, an attempt must have waited to
	// tell of silence: clients that come near their end leave less.
	noAnswerFactor = 4.0
	// minSlowDuration is how long all answers must have been slow: longer than hosts stand still.
	minSlowDuration = time.Second
	// latencySmoothing is the weight of one answer in what is usual.
	latencySmoothing = 0.02
)

// Record is what was seen of a host in the window.
type Record struct {
	Attempts         int
	Failures         int
	LastFailure      Outcome       // of the last bad one
	LastFailureAt    time.Duration // when the last bad one ended, and
	LastFailureSent  time.Duration // when it had been sent
	FirstFailureSent time.Duration // when the first bad one since the last good one was sent
	LastProbeSent    time.Duration // when the last probe that was answered was sent
	LastSuccessSent  time.Duration // when the last good one was sent; before all others: never
}

// Log is the evidence of one agent. It is not safe for concurrent use.
type Log struct {
	window          time.Duration
	hosts           map[string]*hostHistory
	zoneUtilization map[string]*utilization // by zone
	usualLatency    map[int]float64         // by class: part of its aim that an answer takes
}

type hostHistory struct {
	host             Host
	weight           float64
	zone             string
	bucketStart      [buckets]time.Duration // start of the part that a bucket counts
	attempts         [buckets]int
	failures         [buckets]int
	lastFailure      Outcome
	lastFailureAt    time.Duration
	lastFailureSent  time.Duration
	firstFailureSent time.Duration
	lastProbeSent    time.Duration
	lastSuccessSent  time.Duration
}

// utilization is how busy a zone's hosts said that they are: a running mean of the last probes.
type utilization struct {
	mean  float64
	count int
	at    time.Duration
}

// utilizationSamples is how many probes tell how busy a zone is.
const utilizationSamples = 8

func (l *Log) addUtilization(zone string, x float64, at time.Duration) {
	u := l.zoneUtilization[zone]
	if u == nil || at-u.at > l.window {
		u = &utilization{}
		l.zoneUtilization[zone] = u
	}
	u.count = min(u.count+1, utilizationSamples)
	u.mean += (x - u.mean) / float64(u.count)
	u.at = at
}

// never is a time before all others.
const never = time.Duration(-1 << 62)

// New returns an empty log that remembers attempts for so long.
func New(window time.Duration) *Log {
	return &Log{window: window, hosts: map[string]*hostHistory{}, zoneUtilization: map[string]*utilization{}, usualLatency: map[int]float64{}}
}

// SetHosts says which hosts there are, with weight and zone; others are forgotten. A host in
// a new incarnation starts with no record.
func (l *Log) SetHosts(hosts []ListedHost) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		history := l.hosts[h.ID]
		if history == nil || history.host != h.Host {
			history = &hostHistory{host: h.Host, lastFailureAt: never, lastFailureSent: never, lastProbeSent: never, lastSuccessSent: never}
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

// ListedHost is a host as the list has it.
type ListedHost struct {
	Host
	Zone   string
	Weight float64
}

// Observation is one attempt of the agent's own that ended.
type Observation struct {
	Host    Host
	Class   int
	Outcome Outcome
	// LatencyRatio is how long a good answer took, as a part of its class's aim; it may make it Slow.
	LatencyRatio float64
	// Sent is when it was sent, At when it ended.
	Sent, Ended time.Duration
	// Probe is no request. That it is answered says only that the process runs; that nothing
	// comes is silence as any.
	Probe bool
	// Utilization is how busy the host says that it is, of probes that tell; negative: not told.
	Utilization float64
}

// Observe takes an attempt and returns the kind that it counts as.
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
	if observation.Outcome == NoAnswer && !observation.Probe && observation.LatencyRatio < 1 && (!known || observation.LatencyRatio < noAnswerFactor*usual) {
		return Overloaded
	}
	if observation.Outcome == Success {
		if known && observation.LatencyRatio > minSlowRatio && observation.LatencyRatio > slowFactor*usual {
			observation.Outcome = Slow
		}
		if !known {
			usual = observation.LatencyRatio
		}
		// Slow ones move it too, or a fleet that is slow as a whole would never be usual.
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
		history.lastFailure, history.lastFailureAt, history.lastFailureSent = observation.Outcome, max(history.lastFailureAt, observation.Ended), max(history.lastFailureSent, observation.Sent)
	} else {
		// A good answer tells of the time it was sent at: what was sent before a failure says
		// nothing of what came after.
		history.lastSuccessSent = max(history.lastSuccessSent, observation.Sent)
	}
	return observation.Outcome
}

// Record is the record of a host; false if that incarnation is not listed.
func (l *Log) Record(h Host, now time.Duration) (Record, bool) {
	history := l.hosts[h.ID]
	if history == nil || history.host != h {
		return Record{}, false
	}
	return history.record(now, l.window), true
}

func (t *hostHistory) record(now, window time.Duration) Record {
	r := Record{LastFailure: t.lastFailure, LastFailureAt: t.lastFailureAt, LastFailureSent: t.lastFailureSent, FirstFailureSent: t.firstFailureSent, LastProbeSent: t.lastProbeSent, LastSuccessSent: t.lastSuccessSent}
	for i := range buckets {
		if t.bucketStart[i]+window/buckets > now-window {
			r.Attempts += t.attempts[i]
			r.Failures += t.failures[i]
		}
	}
	return r
}

// Incarnation is the listed incarnation of a host; false if it is not listed.
func (l *Log) Incarnation(id string) (Host, bool) {
	history := l.hosts[id]
	if history == nil {
		return Host{}, false
	}
	return history.host, true
}

// Weight is the part of its zone's listed weight that a host has, and its zone.
func (l *Log) Weight(h Host) (fraction float64, zone string) {
	history := l.hosts[h.ID]
	if history == nil || history.host != h {
		return 0, ""
	}
	total := 0.0
	for _, o := range l.hosts {
		if o.zone == history.zone {
			total += o.weight
		}
	}
	if total <= 0 {
		return 0, history.zone
	}
	return history.weight / total, history.zone
}

// Zone is what was met of a zone's hosts within the window.
type Zone struct {
	Name                string
	Weight              float64 // of its hosts, as listed
	Observed, Unhealthy int     // hosts met, and of them those whose record speaks against them
	WithFailures        int     // those that failed any attempt
	Attempts            int
	Failures            int     // of them the bad ones
	Utilization         float64 // how busy its hosts say that they are, mean of the last
	UtilizationSamples  int     // so many
}

// Zones are all that have a host listed, by name.
func (l *Log) Zones(now time.Duration) (out []Zone) {
	for _, t := range l.hosts {
		i, ok := slices.BinarySearchFunc(out, t.zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			out = slices.Insert(out, i, Zone{Name: t.zone})
		}
		out[i].Weight += t.weight
		if u := l.zoneUtilization[t.zone]; u != nil && now-u.at <= l.window {
			out[i].Utilization, out[i].UtilizationSamples = u.mean, u.count
		}
		if r := t.record(now, l.window); r.Attempts > 0 {
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

// UnhealthyFraction is the part of the hosts met within the window whose record speaks against them,
// by count, and how many were met. An observer to whom much looks bad is likely at fault
// itself.
func (l *Log) UnhealthyFraction(now time.Duration) (fraction float64, observed int) {
	unhealthy := 0
	for _, t := range l.hosts {
		r := t.record(now, l.window)
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

// Unhealthy tells whether a record speaks against its host: the last that was seen of it, no
// longer ago than age, was bad. For one agent that is little, as connections break on any host;
// that a majority has it so at a time is not chance, and waiting for a second failure of each
// would cost as many requests again. A host that stands still for a moment is slow to many at
// once, though: slowness counts once it lasted, and costs no request to wait for.
func (r Record) Unhealthy(now, maxAge time.Duration) bool {
	sustained := r.LastFailure != Slow || r.LastFailureAt-r.FirstFailureSent >= minSlowDuration
	return r.Failures > 0 && sustained && r.LastFailureAt > r.LastSuccessSent && now-r.LastFailureAt <= maxAge
}

// Healthy tells whether it speaks for its host: the last that was seen, no longer ago than age,
// was good.
func (r Record) Healthy(now, maxAge time.Duration) bool {
	return r.LastSuccessSent > r.LastFailureAt && now-r.LastSuccessSent <= maxAge
}

// Suspects are the hosts whose records speak against them, in the order of their names.
func (l *Log) Suspects(now, age time.Duration) (out []Host) {
	for _, t := range l.hosts {
		if t.record(now, l.window).Unhealthy(now, age) {
			out = append(out, t.host)
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
