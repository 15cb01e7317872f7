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
	// connectionIdleTime is how long an idle connection is taken to stay open.
	connectionIdleTime = 10 * time.Second
	// loadReportLifetime is how long a reported load proves that requests wait at a server.
	loadReportLifetime = time.Second
	// minQueueingRatio is the part of the reported loads that must have had waiting requests for
	// one such report to prove anything.
	minQueueingRatio = 0.5
)

// service is the servers of one service, and what is known of its requests.
type service struct {
	name         string
	configured   bool
	engineConfig config.Engine // the zero value where it is no model service
	latency      *inference.LatencyModel
	servers      []*server // by ID
	ring         []*server // by hash
	// membershipChanged is set when servers were added or removed since the list was applied.
	membershipChanged bool
	inFlight          int
	keyLoads          keyLoads
	lateness          [priorityClasses]lateness
	queueingRatio     float64 // part of the reported loads in which requests waited
}

// server is one listed instance, or one that was.
type server struct {
	policy.EndpointHealth // health, by this agent's own attempts
	service               *service
	instance              *registry.Instance
	ringHash              uint64
	inference             *inference.Server
	listed                bool
	listedAt              time.Duration
	inFlight              int
	attempts              []*Attempt    // in flight, oldest first
	openConnections       int           // estimate: the most requests in flight recently
	openConnectionsAt     time.Duration // when that was
	slowStartUntil        time.Duration
	fullUntil             time.Duration
	lastResponseAt        time.Duration // of anything that it answered; negative: never
	failureRate           float64       // of its attempts
	failureRateAt         time.Duration
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

// capacityOf is what an instance can hold, as it reports or else as configured.
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

// isLoaded reports whether half of the known slots are taken, or requests wait at a server.
// Below that nothing is rejected.
func (v *service) isLoaded(now time.Duration) bool {
	running, slots := 0, 0
	for _, s := range v.servers {
		running += max(s.inference.Running(now), s.inFlight)
		slots += s.inference.Slots()
		load, age, ok := s.inference.Load(now)
		if ok && age < loadReportLifetime && load.Waiting > 0 && v.queueingRatio > minQueueingRatio && s.inference.QueuedPrefills(now) > 0 {
			return true
		}
	}
	return slots > 0 && 2*running >= slots
}

// addAttempt records an attempt that begins.
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
