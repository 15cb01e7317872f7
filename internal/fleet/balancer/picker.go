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
	// minPrefixesPerServer are tracked of each server, however many servers there are.
	minPrefixesPerServer = 16
	// maxMisdirected bounds the instances that are excluded from the list.
	maxMisdirected = 4096
)

// Options configure a Picker.
type Options struct {
	Zone string // the agent's own failure domain
	Seed uint64 // of all randomness
	// PrefixIndexBytes bounds the memory of the prefixes that are tracked, over all servers; 0
	// stands for 4 MiB.
	PrefixIndexBytes int
}

// Picker is what one agent knows of the servers, and picks among them. It is not safe for
// concurrent use.
type Picker struct {
	options  Options
	rng      *rand.Rand
	services map[string]*service
	servers  map[string]*server // listed ones, by instance ID
	// misdirected are the instances that answered 421, by ID, with the sequence number that they
	// were listed by. A list with the same number does not bring them back.
	misdirected    map[string]uint64
	checkBudget    tokenBucket
	checksInFlight int
	failureRate    float64 // of all attempts

	// Buffers of the current pick, to save allocations.
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

// getOrCreateService returns the service of that name.
func (p *Picker) getOrCreateService(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, latency: inference.NewLatencyModel()}
		p.services[name] = svc
	}
	return svc
}

// removeIfUnused forgets a service that has no servers, no attempts and no configuration.
func (p *Picker) removeIfUnused(svc *service) {
	if len(svc.servers) == 0 && svc.inFlight == 0 && !svc.configured {
		delete(p.services, svc.name)
	}
}

// UpdateConfig applies the configuration in force. Nil changes nothing.
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

// UpdateInstances applies the list of servers as it stands. New instances begin as Unknown; those
// that are not listed any more get nothing from now on. Nil changes nothing.
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

// updateInstance applies one item of a list of so many.
func (p *Picker) updateInstance(now time.Duration, svc *service, instance *registry.Instance, listed int) {
	if seq, ok := p.misdirected[instance.ID]; ok && instance.Seq <= seq {
		return
	}
	delete(p.misdirected, instance.ID)
	s := p.servers[instance.ID]
	if s != nil && s.service != svc {
		p.removeServer(s) // an ID in another service is another server
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

// addServer lists a new server.
func (p *Picker) addServer(now time.Duration, svc *service, instance *registry.Instance, listed int) {
	s := newServer(now, svc, instance, p.prefixesPerServer(listed))
	p.servers[instance.ID] = s
	svc.insert(s)
}

// removeServer takes a server off the list. Its attempts end without a verdict on it.
func (p *Picker) removeServer(s *server) {
	s.listed = false
	delete(p.servers, s.instance.ID)
	if s.checkInFlight {
		s.checkInFlight = false
		p.checksInFlight--
	}
	s.service.remove(s)
}

// removeMisdirected takes an instance out that is not at its address, unless it was listed anew
// since.
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

// prefixesPerServer is how many prompt prefixes may be tracked of each of so many servers.
func (p *Picker) prefixesPerServer(servers int) int {
	return max(p.options.PrefixIndexBytes/inference.BytesPerPrefix/max(servers, 1), minPrefixesPerServer)
}
