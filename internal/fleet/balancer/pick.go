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

// Part is a part of a prompt, by the id that clients give it.
type Part = inference.Part

// Load is what a server's answer tells of it.
type Load = inference.Load

// Request is one try of a client that is to be placed, for the first time or again.
type Request struct {
	Route    *config.Route
	Service  string // of the route's splits, the one that was drawn
	Model    string
	Parts    []Part // in order; the last is the request's own, or its session's
	Prompt   int    // tokens
	Out      int    // tokens at the most
	Left     time.Duration
	Setpoint time.Duration
	Elapsed  time.Duration // since the request was read
	Tried    []string      // ids of the instances that it was offered to
}

// Kind is what is to become of a request.
type Kind uint8

// The kinds of decisions.
const (
	Send   Kind = iota // to Server; Attempt has begun and has to be ended
	Refuse             // nothing has run; After is when there may be room
)

// Decision is what Place decided.
type Decision struct {
	Kind     Kind
	Server   *registry.Instance
	Attempt  *Attempt
	Priority int           // for the server, 0 the most urgent to 9
	After    time.Duration // honest advice to the client
	Why      string        // of a refusal
}

// Options are what a Picker is told at its start.
type Options struct {
	Zone string // the agent's own
	Seed uint64 // of all its randomness
	// PartBytes bounds what is remembered of the prompt parts that servers keep, over all
	// servers; 0: 4 MB.
	PartBytes int
}

const (
	defaultPartBytes = 4 << 20
	// leastParts is what is remembered of each server however many there are.
	leastParts = 16
	// shortPrompt is the tokens of the prompt that a view's estimate is for.
	shortPrompt = 1000
)

// Picker holds what one agent knows of the servers.
type Picker struct {
	opt      Options
	rng      *rand.Rand
	services map[string]*service
	byID     map[string]*server
	wrong    map[string]uint64 // instances that answered 421, by id, with the call-seq they were listed by
	checks   budget
	checking int
	failing  float64 // part of all attempts that fail

	chain []Part // scratch
	tier  []*server
	draw  []*server
}

// service is the servers of one service.
type service struct {
	name       string
	configured bool
	engine     config.Engine // the zero value where it is no model service
	speeds     *inference.Speeds
	servers    []*server // by id
	ring       []*server // by hash
	changed    bool      // servers came or went since the list was taken
	inflight   int
	keys       keys
	late       [urgencies]lateness
	waits      float64 // part of the loads told in which something waited
}

// server is one listed instance.
type server struct {
	policy.Tier
	service   *service
	inst      *registry.Instance
	hash      uint64
	engine    *inference.Server
	since     time.Duration // listed
	inflight  int
	conns     int           // the most in flight of late: as many connections may be open
	connsAt   time.Duration // when it was
	coldTo    time.Duration
	fullTo    time.Duration
	heard     time.Duration // when it last answered anything
	failing   float64       // part of its attempts that fail
	toldAt    time.Duration
	out       []*Attempt // oldest first
	checking  bool
	checkFrom time.Duration
	listed    bool
}

// New returns a picker that knows no server.
func New(opt Options) *Picker {
	if opt.PartBytes <= 0 {
		opt.PartBytes = defaultPartBytes
	}
	return &Picker{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, inference.Mix(opt.Seed))),
		services: map[string]*service{}, byID: map[string]*server{}, wrong: map[string]uint64{},
		checks: budget{rate: checkRate, most: checkBurst, have: checkBurst}}
}

func (p *Picker) service(name string) *service {
	v := p.services[name]
	if v == nil {
		v = &service{name: name, speeds: inference.NewSpeeds()}
		p.services[name] = v
	}
	return v
}

// SetList takes the list of servers as it stands. New instances are Unknown, those that are
// not in it leave every tier at once.
func (p *Picker) SetList(now time.Duration, list *registry.List) {
	if list == nil {
		return
	}
	for id, s := range p.byID {
		if list.ByID[id] == nil {
			p.unlist(s)
		}
	}
	for name, instances := range list.ByService {
		v := p.service(name)
		for _, in := range instances {
			if seq, ok := p.wrong[in.ID]; ok && in.Seq <= seq {
				continue
			}
			delete(p.wrong, in.ID)
			s := p.byID[in.ID]
			if s != nil && s.service != v {
				p.unlist(s) // an id of another service is another server
				s = nil
			}
			if s == nil {
				p.list(now, v, in, len(list.ByID))
				continue
			}
			if !slices.Equal(s.inst.Models, in.Models) {
				s.engine.Reset()
			}
			s.inst = in
			s.engine.Reshape(v.shape(in, p.partsFor(len(list.ByID))))
		}
	}
	for id := range p.wrong {
		if list.ByID[id] == nil {
			delete(p.wrong, id)
		}
	}
	for name, v := range p.services {
		if v.changed {
			p.refresh(now, v)
		}
		v.changed = false
		p.forget(name, v)
	}
}

// forget drops a service that nothing names any more.
func (p *Picker) forget(name string, v *service) {
	if len(v.servers) == 0 && v.inflight == 0 && !v.configured {
		delete(p.services, name)
	}
}

func (p *Picker) list(now time.Duration, v *service, in *registry.Instance, all int) {
	s := &server{Tier: policy.NewTier(millis(now)), service: v, inst: in, hash: hashID(in.ID), listed: true,
		engine: inference.NewServer(v.shape(in, p.partsFor(all)), v.speeds), heard: -1, since: now, coldTo: now + in.Cold}
	p.byID[in.ID], v.changed = s, true
	i, _ := slices.BinarySearchFunc(v.servers, s, byID)
	v.servers = slices.Insert(v.servers, i, s)
	i, _ = slices.BinarySearchFunc(v.ring, s, byHash)
	v.ring = slices.Insert(v.ring, i, s)
}

func (p *Picker) unlist(s *server) {
	s.listed, s.service.changed = false, true
	delete(p.byID, s.inst.ID)
	if s.checking {
		s.checking = false
		p.checking--
	}
	is := func(x *server) bool { return x == s }
	s.service.servers = slices.DeleteFunc(s.service.servers, is)
	s.service.ring = slices.DeleteFunc(s.service.ring, is)
}

func byID(a, b *server) int { return strings.Compare(a.inst.ID, b.inst.ID) }

func byHash(a, b *server) int {
	if a.hash != b.hash {
		if a.hash < b.hash {
			return -1
		}
		return 1
	}
	return byID(a, b)
}

// SetConf takes the configuration in force.
func (p *Picker) SetConf(_ time.Duration, doc *config.Doc) {
	if doc == nil {
		return
	}
	for name, v := range p.services {
		v.configured = false
		if doc.Services[name] == nil {
			p.forget(name, v)
		}
	}
	for name, c := range doc.Services {
		v := p.service(name)
		v.configured, v.engine = true, config.Engine{}
		if c.Engine != nil {
			v.engine = *c.Engine
		}
		for _, s := range v.servers {
			s.engine.Reshape(v.shape(s.inst, p.partsFor(len(p.byID))))
		}
	}
}

func (v *service) shape(in *registry.Instance, parts int) inference.Shape {
	s := inference.Shape{Slots: v.engine.Slots, CacheTokens: v.engine.CacheTokens, Stride: v.engine.Stride, MaxParts: parts}
	if in.Slots > 0 {
		s.Slots = in.Slots
	}
	return s
}

// partsFor is how many prompt parts may be remembered of each server.
func (p *Picker) partsFor(servers int) int {
	return max(p.opt.PartBytes/inference.BytesPerPart/max(servers, 1), leastParts)
}

// ServerView is what the agent holds of one server, for operators: nothing decides by it.
type ServerView struct {
	ID, Service, Zone string
	State             string
	InState           time.Duration
	Silent            bool
	Strikes           int
	InFlight, Unread  int
	Full, Cold        bool
	Estimate          time.Duration // to the first token of a short prompt
	Load              Load
	LoadAge           time.Duration // of Load; negative: none was told
}

// Snapshot lists what is known of the servers, by service and id.
func (p *Picker) Snapshot(now time.Duration) []ServerView {
	views := make([]ServerView, 0, len(p.byID))
	for _, v := range p.services {
		for _, s := range v.servers {
			view := ServerView{ID: s.inst.ID, Service: v.name, Zone: s.inst.Zone, State: policy.StateNames[s.State()],
				InState: now - duration(s.Since()), Silent: s.Silent(), Strikes: s.Strikes(), InFlight: s.inflight,
				Unread: s.engine.Unread(), Full: now < s.fullTo, Cold: now < s.coldTo, LoadAge: -1}
			view.Estimate, _ = s.engine.Estimate(now, nil, shortPrompt, 0)
			if load, age, ok := s.engine.Load(now); ok {
				view.Load, view.LoadAge = load, age
			}
			views = append(views, view)
		}
	}
	slices.SortFunc(views, func(a, b ServerView) int {
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
	return inference.Mix(h)
}
