package policy

import "slices"

// trialTimeoutMs is how long a server that is to get a trial request waits for one.
const trialTimeoutMs = 2000.0

// Override is what agents decided together of one server.
type Override struct {
	Server Addr
	// ShareFactor is the part of its share that the server gets from the agents of a site; 0: it is
	// ejected, and gets trials alone.
	ShareFactor float64
	// TrafficWeight is what it weighs for the site's traffic, as a part of the mean, where the event is
	// ZoneWeighted.
	TrafficWeight float64
	ExpiresMs     float64 // clock time from which the override no longer holds
	Trial         bool    // this agent has to send it one request soon that may be repeated
	Probe         bool    // this agent has to probe it
}

// overrideState is what was decided for all servers together.
type overrideState struct {
	zoneWeighted   bool      // traffic between zones is placed by the overrides
	reachableShare float64   // part of the fleet that the site reaches
	trials         []*server // that are to get a trial request
}

// onOverrides takes all overrides that hold: a server that is not named has its entire share. Each expires by
// itself, whatever becomes of those that decided it.
func (b *Balancer) onOverrides(event *Event) {
	for _, srv := range b.servers {
		srv.withheldShare, srv.trafficWeight = 0, 1
	}
	for i := range event.Overrides {
		b.applyOverride(&event.Overrides[i])
	}
	b.generation++
	b.overrides.zoneWeighted = event.ZoneWeighted
	b.scaleDemand(finiteOrZero(event.ReachableShare))
}

func (b *Balancer) applyOverride(override *Override) {
	srv := b.serverByAddr[override.Server]
	if srv == nil {
		return
	}
	srv.withheldShare = 1 - min(finiteOrZero(override.ShareFactor), 1)
	srv.trafficWeight = finiteOrZero(override.TrafficWeight)
	srv.overrideExpiresAt = finiteOrZero(override.ExpiresMs)
	if override.Probe && b.settings.Limits.AllowProbes && !srv.probing {
		b.sendProbe(srv) // at the expense of those that requests earn
	}
	if override.Trial && srv.trialExpiresAt < b.now {
		srv.trialExpiresAt = b.now + trialTimeoutMs
		b.overrides.trials = append(b.overrides.trials, srv)
	}
}

// scaleDemand follows a change of what the site reaches: what is out of reach takes its part of the demand
// with it, and of the capacity there was.
func (b *Balancer) scaleDemand(reachableShare float64) {
	factor := reachableShare / b.overrides.reachableShare
	if !(factor > 0) {
		return
	}
	b.admission.demand *= factor
	b.capacity.peak *= min(factor, 1)
	b.overrides.reachableShare = reachableShare
}

// pickTrial is a server that is to get a trial request, for a request that suits it: the first attempt of one
// that may be repeated.
func (b *Balancer) pickTrial(req *request) *server {
	b.overrides.trials = slices.DeleteFunc(b.overrides.trials,
		func(srv *server) bool { return srv.trialExpiresAt < b.now })
	if len(req.attempts) > 0 || b.settings.Classes[req.class].Idempotency == NonIdempotent {
		return nil
	}
	for _, srv := range b.overrides.trials {
		if b.maySend(req, srv, true) && len(srv.inFlight) == 0 && b.slowStartAllows(srv) {
			srv.trialExpiresAt = 0
			return srv
		}
	}
	return nil
}

// effectiveShare is the part of its weight that a server may have now; 0 is ejected.
func (b *Balancer) effectiveShare(srv *server) float64 {
	if b.now >= srv.overrideExpiresAt {
		return 1
	}
	return 1 - srv.withheldShare
}

// effectiveTraffic is what a server weighs beside its share where traffic is placed between zones; it is no
// part of its capacity.
func (b *Balancer) effectiveTraffic(srv *server) float64 {
	if !b.overrides.zoneWeighted || b.now >= srv.overrideExpiresAt {
		return 1
	}
	return srv.trafficWeight
}
