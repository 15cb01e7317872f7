// Package balancer decides which server a request goes to, or that it is refused, as one agent
// sees the fleet: tiers by what its own attempts met, among the best of them a hash of the
// prompt's shared parts under a cap of load, and of the few that come first the server where
// the request loses least by being late, by reading parts again and by what its reading costs
// others.
//
// All agents find the same order of servers for a key without talking; where a key is hot, more
// of that order share it. It is pure: times of one steady clock go in. A Picker is not safe for
// concurrent use.
package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

// Segment is a part of a prompt, by the id that clients give it.
type Segment = inference.Segment

// Load is what a server's answer tells of it.
type Load = inference.Load

// Request is one try of a client that is to be placed, for the first time or again.
type Request struct {
	Route           *config.Route
	Service         string // of the route's splits, the one that was drawn
	Model           string
	Segments        []Segment // in order; the last is the request's own, or its session's
	PromptTokens    int       // tokens
	MaxOutputTokens int       // tokens at the most
	TimeLeft        time.Duration
	LatencyTarget   time.Duration
	Elapsed         time.Duration // since the request was read
	Tried           []string      // ids of the instances that it was offered to
}

// Action is what is to become of a request.
type Action uint8

// The kinds of decisions.
const (
	Forward Action = iota // to Server; Attempt has begun and has to be ended
	Reject                // nothing has run; After is when there may be room
)

// Decision is what Place decided.
type Decision struct {
	Action     Action
	Instance   *registry.Instance
	Attempt    *Attempt
	Priority   int           // for the server, 0 the most urgent to 9
	RetryAfter time.Duration // honest advice to the client
	Reason     string        // of a refusal
}

// Options are what a Picker is told at its start.
type Options struct {
	Zone string // the agent's own
	Seed uint64 // of all its randomness
	// PrefixIndexBytes bounds what is remembered of the prompt parts that servers keep, over all
	// servers; 0: 4 MB.
	PrefixIndexBytes int
}

const (
	defaultPrefixIndexBytes = 4 << 20
	// minPrefixesPerServer is what is remembered of each server however many there are.
	minPrefixesPerServer = 16
	// statusPromptTokens is the tokens of the prompt that a view's estimate is for.
	statusPromptTokens = 1000
)

// Picker holds what one agent knows of the servers.
type Picker struct {
	options        Options
	rng            *rand.Rand
	services       map[string]*service
	servers        map[string]*server
	misdirected    map[string]uint64 // instances that answered 421, by id, with the call-seq they were listed by
	checkBudget    tokenBucket
	checksInFlight int
	failureRate    float64 // part of all attempts that fail

	prefixScratch []Segment // scratch
	tierScratch   []*server
	sampleScratch []*server
}

// service is the servers of one service.
type service struct {
	name              string
	configured        bool
	engineConfig      config.Engine // the zero value where it is no model service
	latency           *inference.LatencyModel
	servers           []*server // by id
	ring              []*server // by hash
	membershipChanged bool      // servers came or went since the list was taken
	inFlight          int
	keyLoads          keyLoads
	lateness          [priorityClasses]lateness
	queueingRatio     float64 // part of the loads told in which something waited
}

// server is one listed instance.
type server struct {
	policy.EndpointHealth
	service           *service
	instance          *registry.Instance
	ringHash          uint64
	inference         *inference.Server
	listedAt          time.Duration // listed
	inFlight          int
	openConnections   int           // the most in flight of late: as many connections may be open
	openConnectionsAt time.Duration // when it was
	slowStartUntil    time.Duration
	fullUntil         time.Duration
	lastResponseAt    time.Duration // when it last answered anything
	failureRate       float64       // part of its attempts that fail
	failureRateAt     time.Duration
	attempts          []*Attempt // oldest first
	checkInFlight     bool
	checkStartedAt    time.Duration
	listed            bool
}

// New returns a picker that knows no server.
func New(opt Options) *Picker {
	if opt.PrefixIndexBytes <= 0 {
		opt.PrefixIndexBytes = defaultPrefixIndexBytes
	}
	return &Picker{options: opt, rng: rand.New(rand.NewPCG(opt.Seed, inference.Mix64(opt.Seed))),
		services: map[string]*service{}, servers: map[string]*server{}, misdirected: map[string]uint64{},
		checkBudget: tokenBucket{rate: checkRate, burst: checkBurst, tokens: checkBurst}}
}

func (p *Picker) getOrCreateService(name string) *service {
	v := p.services[name]
	if v == nil {
		v = &service{name: name, latency: inference.NewLatencyModel()}
		p.services[name] = v
	}
	return v
}

// UpdateInstances takes the list of servers as it stands. New instances are Unknown, those that are
// not in it leave every tier at once.
func (p *Picker) UpdateInstances(now time.Duration, list *registry.List) {
	if list == nil {
		return
	}
	for id, s := range p.servers {
		if list.ByID[id] == nil {
			p.removeServer(s)
		}
	}
	for name, instances := range list.ByService {
		v := p.getOrCreateService(name)
		for _, in := range instances {
			if seq, ok := p.misdirected[in.ID]; ok && in.Seq <= seq {
				continue
			}
			delete(p.misdirected, in.ID)
			s := p.servers[in.ID]
			if s != nil && s.service != v {
				p.removeServer(s) // an id of another service is another server
				s = nil
			}
			if s == nil {
				p.addServer(now, v, in, len(list.ByID))
				continue
			}
			if !slices.Equal(s.instance.Models, in.Models) {
				s.inference.ResetCache()
			}
			s.instance = in
			s.inference.SetCapacity(v.capacityOf(in, p.prefixesPerServer(len(list.ByID))))
		}
	}
	for id := range p.misdirected {
		if list.ByID[id] == nil {
			delete(p.misdirected, id)
		}
	}
	for name, v := range p.services {
		if v.membershipChanged {
			p.allowChecks(now, v)
		}
		v.membershipChanged = false
		p.removeIfUnused(name, v)
	}
}

// removeIfUnused drops a service that nothing names any more.
func (p *Picker) removeIfUnused(name string, v *service) {
	if len(v.servers) == 0 && v.inFlight == 0 && !v.configured {
		delete(p.services, name)
	}
}

func (p *Picker) addServer(now time.Duration, v *service, in *registry.Instance, all int) {
	s := &server{EndpointHealth: policy.NewEndpointHealth(millis(now)), service: v, instance: in, ringHash: hashID(in.ID), listed: true,
		inference: inference.NewServer(v.capacityOf(in, p.prefixesPerServer(all)), v.latency), lastResponseAt: -1, listedAt: now, slowStartUntil: now + in.Cold}
	p.servers[in.ID], v.membershipChanged = s, true
	i, _ := slices.BinarySearchFunc(v.servers, s, compareByID)
	v.servers = slices.Insert(v.servers, i, s)
	i, _ = slices.BinarySearchFunc(v.ring, s, compareByRingHash)
	v.ring = slices.Insert(v.ring, i, s)
}

func (p *Picker) removeServer(s *server) {
	s.listed, s.service.membershipChanged = false, true
	delete(p.servers, s.instance.ID)
	if s.checkInFlight {
		s.checkInFlight = false
		p.checksInFlight--
	}
	is := func(x *server) bool { return x == s }
	s.service.servers = slices.DeleteFunc(s.service.servers, is)
	s.service.ring = slices.DeleteFunc(s.service.ring, is)
}

func compareByID(a, b *server) int { return strings.Compare(a.instance.ID, b.instance.ID) }

func compareByRingHash(a, b *server) int {
	if a.ringHash != b.ringHash {
		if a.ringHash < b.ringHash {
			return -1
		}
		return 1
	}
	return compareByID(a, b)
}

// UpdateConfig takes the configuration in force.
func (p *Picker) UpdateConfig(_ time.Duration, doc *config.Doc) {
	if doc == nil {
		return
	}
	for name, v := range p.services {
		v.configured = false
		if doc.Services[name] == nil {
			p.removeIfUnused(name, v)
		}
	}
	for name, c := range doc.Services {
		v := p.getOrCreateService(name)
		v.configured, v.engineConfig = true, config.Engine{}
		if c.Engine != nil {
			v.engineConfig = *c.Engine
		}
		for _, s := range v.servers {
			s.inference.SetCapacity(v.capacityOf(s.instance, p.prefixesPerServer(len(p.servers))))
		}
	}
}

func (v *service) capacityOf(in *registry.Instance, parts int) inference.Capacity {
	s := inference.Capacity{Slots: v.engineConfig.Slots, CacheTokens: v.engineConfig.CacheTokens, TokensPerEvent: v.engineConfig.Stride, MaxPrefixes: parts}
	if in.Slots > 0 {
		s.Slots = in.Slots
	}
	return s
}

// prefixesPerServer is how many prompt parts may be remembered of each server.
func (p *Picker) prefixesPerServer(servers int) int {
	return max(p.options.PrefixIndexBytes/inference.BytesPerPrefix/max(servers, 1), minPrefixesPerServer)
}

// ServerStatus is what the agent holds of one server, for operators: nothing decides by it.
type ServerStatus struct {
	ID       string        `json:"ID"`
	Service  string        `json:"Service"`
	Zone     string        `json:"Zone"`
	State    string        `json:"State"`
	InState  time.Duration `json:"InState"`
	Silent   bool          `json:"Silent"`
	Strikes  int           `json:"Strikes"`
	InFlight int           `json:"InFlight"`
	Unread   int           `json:"Unread"`
	Full     bool          `json:"Full"`
	Cold     bool          `json:"Cold"`
	Estimate time.Duration `json:"Estimate"` // to the first token of a short prompt
	Load     Load          `json:"Load"`
	LoadAge  time.Duration `json:"LoadAge"` // of Load; negative: none was told
}

// Snapshot lists what is known of the servers, by service and id.
func (p *Picker) Snapshot(now time.Duration) []ServerStatus {
	views := make([]ServerStatus, 0, len(p.servers))
	for _, v := range p.services {
		for _, s := range v.servers {
			view := ServerStatus{ID: s.instance.ID, Service: v.name, Zone: s.instance.Zone, State: policy.StateNames[s.State()],
				InState: now - duration(s.Since()), Silent: s.TimedOut(), Strikes: s.Ejections(), InFlight: s.inFlight,
				Unread: s.inference.OwnPrefills(), Full: now < s.fullUntil, Cold: now < s.slowStartUntil, LoadAge: -1}
			view.Estimate, _ = s.inference.EstimateFirstToken(now, nil, statusPromptTokens, 0)
			if load, age, ok := s.inference.Load(now); ok {
				view.Load, view.LoadAge = load, age
			}
			views = append(views, view)
		}
	}
	slices.SortFunc(views, func(a, b ServerStatus) int {
		return strings.Compare(a.Service+"\x00"+a.ID, b.Service+"\x00"+b.ID)
	})
	return views
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func hashID(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return inference.Mix64(h)
}
