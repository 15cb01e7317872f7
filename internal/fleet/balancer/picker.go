package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	defaultPrefixIndexBytes = 4 << 20
	// minPrefixesPerServer is the least number of prefixes that are tracked for each server, even
	// if PrefixIndexBytes is exceeded with many servers.
	minPrefixesPerServer = 16
	// maxMisdirected bounds the number of instances in Picker.misdirected.
	maxMisdirected = 4096
)

// Options configures a Picker.
type Options struct {
	Zone string // the agent's own failure domain
	Seed uint64 // seeds the random number generator
	// PrefixIndexBytes bounds the memory of the prefixes that are tracked, over all servers. Zero
	// means 4 MiB.
	PrefixIndexBytes int
}

// Picker holds what one agent knows about the servers and picks one for each request. It is not
// safe for concurrent use.
type Picker struct {
	options  Options
	rng      *rand.Rand
	services map[string]*service
	servers  map[string]*server // the listed servers by instance ID
	// misdirected holds the instances whose address answered 421: by ID, the sequence number that
	// they were listed with. Only a higher sequence number adds such an instance again.
	misdirected    map[string]uint64
	checkBudget    tokenBucket // limits the rate of health checks
	checksInFlight int
	failureRate    float64 // smoothed failure rate of the attempts at all servers

	// Buffers that are reused by each pick to save allocations.
	prefixScratch []Segment
	tierScratch   []*server
	sampleScratch []*server
}

// New returns a picker that knows no server.
func New(options Options) *Picker {
	if options.PrefixIndexBytes <= 0 {
		options.PrefixIndexBytes = defaultPrefixIndexBytes
	}
	return &Picker{
		options:     options,
		rng:         rand.New(rand.NewPCG(options.Seed, inference.Mix64(options.Seed))),
		services:    map[string]*service{},
		servers:     map[string]*server{},
		misdirected: map[string]uint64{},
		checkBudget: tokenBucket{rate: healthCheckRate, burst: healthCheckBurst, tokens: healthCheckBurst},
	}
}

// getOrCreateService returns the service of that name and creates it if it does not exist.
func (p *Picker) getOrCreateService(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, latency: inference.NewLatencyModel()}
		p.services[name] = svc
	}
	return svc
}

// removeIfUnused removes a service that has no servers, no attempts in flight and no configuration.
func (p *Picker) removeIfUnused(svc *service) {
	if len(svc.servers) == 0 && svc.inFlight == 0 && !svc.configured {
		delete(p.services, svc.name)
	}
}

// UpdateConfig applies the current configuration. Nil changes nothing.
func (p *Picker) UpdateConfig(_ time.Duration, document *config.Document) {
	if document == nil {
		return
	}
	for name, svc := range p.services {
		svc.configured = false
		if document.Services[name] == nil {
			p.removeIfUnused(svc)
		}
	}
	for name, configured := range document.Services {
		svc := p.getOrCreateService(name)
		svc.configured, svc.engineConfig = true, config.Engine{}
		if configured.Engine != nil {
			svc.engineConfig = *configured.Engine
		}
		for _, s := range svc.servers {
			s.inference.SetCapacity(svc.capacityOf(s.instance, p.prefixesPerServer(len(p.servers))))
		}
	}
}

// UpdateInstances applies the current list of servers. New instances begin in state Unknown.
// Instances that are no longer listed get no more requests. Nil changes nothing.
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
		svc := p.getOrCreateService(name)
		for _, instance := range instances {
			p.updateInstance(now, svc, instance, len(list.ByID))
		}
	}
	for id := range p.misdirected {
		if list.ByID[id] == nil {
			delete(p.misdirected, id)
		}
	}
	for _, svc := range p.services {
		if svc.membershipChanged {
			p.allowChecks(now, svc)
		}
		svc.membershipChanged = false
		p.removeIfUnused(svc)
	}
}

// updateInstance applies one item of the list of servers; listed is the length of that list.
func (p *Picker) updateInstance(now time.Duration, svc *service, instance *registry.Instance, listed int) {
	if seq, ok := p.misdirected[instance.ID]; ok && instance.Seq <= seq {
		return
	}
	delete(p.misdirected, instance.ID)
	s := p.servers[instance.ID]
	if s != nil && s.service != svc {
		p.removeServer(s) // the same ID in another service is another server
		s = nil
	}
	if s == nil {
		p.addServer(now, svc, instance, listed)
		return
	}
	if !slices.Equal(s.instance.Models, instance.Models) {
		s.inference.ResetCache()
	}
	s.instance = instance
	s.inference.SetCapacity(svc.capacityOf(instance, p.prefixesPerServer(listed)))
}

// addServer adds a newly listed server.
func (p *Picker) addServer(now time.Duration, svc *service, instance *registry.Instance, listed int) {
	s := newServer(now, svc, instance, p.prefixesPerServer(listed))
	p.servers[instance.ID] = s
	svc.insert(s)
}

// removeServer removes a server that is no longer listed. The outcomes of its attempts in flight
// are not recorded in its health.
func (p *Picker) removeServer(s *server) {
	s.listed = false
	delete(p.servers, s.instance.ID)
	if s.checkInFlight {
		s.checkInFlight = false
		p.checksInFlight--
	}
	s.service.remove(s)
}

// removeMisdirected removes an instance that is not at its address, unless it has been listed with
// a sequence number above seq since then.
func (p *Picker) removeMisdirected(id string, seq uint64) {
	s := p.servers[id]
	if s == nil || s.instance.Seq > seq {
		return
	}
	if len(p.misdirected) < maxMisdirected {
		p.misdirected[id] = seq
	}
	p.removeServer(s)
}

// prefixesPerServer returns how many prompt prefixes may be tracked for each server, given the
// number of servers.
func (p *Picker) prefixesPerServer(servers int) int {
	return max(p.options.PrefixIndexBytes/inference.BytesPerPrefix/max(servers, 1), minPrefixesPerServer)
}
