package balancer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// connectionIdleTime is how long an idle connection is assumed to stay open.
	connectionIdleTime = 10 * time.Second
	// loadReportLifetime is how long a reported load is evidence that requests wait at a server.
	loadReportLifetime = time.Second
	// minQueueingRatio is the queueingRatio above which a single report of waiting requests is
	// evidence of load.
	minQueueingRatio = 0.5
)

// service holds the servers of one service and what is known about its requests.
type service struct {
	name         string
	configured   bool          // the current configuration contains the service
	engineConfig config.Engine // the zero value if the service has no inference engine
	latency      *inference.LatencyModel
	servers      []*server // sorted by ID
	ring         []*server // sorted by hash
	// membershipChanged is set if servers were added or removed since the previous list was applied.
	membershipChanged bool
	inFlight          int // attempts of this agent in flight
	keyLoads          keyLoads
	lateness          [priorityClasses]lateness
	queueingRatio     float64 // smoothed fraction of the reported loads in which requests waited
}

// server is an instance that is listed or that was listed when an attempt began.
type server struct {
	policy.EndpointHealth // health according to this agent's own attempts
	service               *service
	instance              *registry.Instance
	ringHash              uint64
	inference             *inference.Server
	listed                bool
	listedAt              time.Duration
	inFlight              int           // attempts of this agent in flight
	attempts              []*Attempt    // the attempts in flight, oldest first
	openConnections       int           // estimate: the largest recent number of attempts in flight
	openConnectionsAt     time.Duration // when openConnections was set
	slowStartUntil        time.Duration
	fullUntil             time.Duration // until when the server counts as full; zero if it never rejected
	lastResponseAt        time.Duration // time of the last response of any kind; negative if there was none
	failureRate           float64       // smoothed failure rate of its attempts
	failureRateAt         time.Duration // when failureRate was updated
	checkInFlight         bool
	checkStartedAt        time.Duration
}

func newServer(now time.Duration, svc *service, instance *registry.Instance, maxPrefixes int) *server {
	return &server{
		EndpointHealth: policy.NewEndpointHealth(millis(now)),
		service:        svc,
		instance:       instance,
		ringHash:       inference.HashString(instance.ID),
		inference:      inference.NewServer(svc.capacityOf(instance, maxPrefixes), svc.latency),
		listed:         true,
		listedAt:       now,
		slowStartUntil: now + instance.WarmUp,
		lastResponseAt: -1,
	}
}

// insert adds a server to the service.
func (v *service) insert(s *server) {
	v.membershipChanged = true
	i, _ := slices.BinarySearchFunc(v.servers, s, compareByID)
	v.servers = slices.Insert(v.servers, i, s)
	i, _ = slices.BinarySearchFunc(v.ring, s, compareByRingHash)
	v.ring = slices.Insert(v.ring, i, s)
}

// remove takes a server out of the service.
func (v *service) remove(s *server) {
	v.membershipChanged = true
	isServer := func(other *server) bool { return other == s }
	v.servers = slices.DeleteFunc(v.servers, isServer)
	v.ring = slices.DeleteFunc(v.ring, isServer)
}

func compareByID(a, b *server) int { return strings.Compare(a.instance.ID, b.instance.ID) }

func compareByRingHash(a, b *server) int {
	if a.ringHash != b.ringHash {
		return cmp.Compare(a.ringHash, b.ringHash)
	}
	return compareByID(a, b)
}

// capacityOf returns the instance's capacity: the number of slots as it reports it, if it does,
// everything else as configured.
func (v *service) capacityOf(instance *registry.Instance, maxPrefixes int) inference.Capacity {
	capacity := inference.Capacity{
		Slots:          v.engineConfig.Slots,
		CacheTokens:    v.engineConfig.CacheTokens,
		TokensPerEvent: v.engineConfig.TokensPerEvent,
		MaxPrefixes:    maxPrefixes,
	}
	if instance.Slots > 0 {
		capacity.Slots = instance.Slots
	}
	return capacity
}

// isLoaded reports whether at least half of the known slots are taken or requests wait at a server.
// Nothing is rejected for overload or lack of time unless it is true.
func (v *service) isLoaded(now time.Duration) bool {
	running, slots := 0, 0
	for _, s := range v.servers {
		running += max(s.inference.Running(now), s.inFlight)
		slots += s.inference.Slots()
		load, age, ok := s.inference.Load(now)
		if ok && age < loadReportLifetime && load.Waiting > 0 &&
			v.queueingRatio > minQueueingRatio && s.inference.QueuedPrefills(now) > 0 {
			return true
		}
	}
	return slots > 0 && 2*running >= slots
}

// addAttempt records that an attempt has begun.
func (s *server) addAttempt(now time.Duration, a *Attempt) {
	s.attempts = append(s.attempts, a)
	s.inFlight++
	s.service.inFlight++
	if s.inFlight >= s.openConnections || now-s.openConnectionsAt > connectionIdleTime {
		s.openConnections, s.openConnectionsAt = s.inFlight, now
	}
}

// removeAttempt records that an attempt has ended.
func (s *server) removeAttempt(a *Attempt) {
	s.inFlight--
	s.service.inFlight--
	if i := slices.Index(s.attempts, a); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
