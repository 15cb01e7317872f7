package policy

import "slices"

// trialTimeoutMs is how long a server remains due for a trial request.
const trialTimeoutMs = 2000.0

// Override is what the agents decided together about one server.
type Override struct {
	Server Addr
	// ShareFactor is the fraction of its share that the server gets from the agents of a site. Zero means
	// that it is ejected and only gets trials.
	ShareFactor float64
	// TrafficWeight is the server's weight for the site's traffic, relative to the mean. It is used if the
	// event is ZoneWeighted.
	TrafficWeight float64
	ExpiresMs     float64 // clock time from which the override no longer holds
	Trial         bool    // this agent must soon send the server one request that may be repeated
	Probe         bool    // this agent has to probe the server
}

// overrideState holds what the overrides decide for all servers together.
type overrideState struct {
	zoneWeighted   bool      // the overrides distribute traffic between zones
	reachableShare float64   // fraction of the fleet that the site reaches
	trials         []*server // servers that are due for a trial request
}

// onOverrides replaces all overrides: a server without one gets its entire share. Each override expires at
// its own time, even if the agents that decided it are gone.
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
		b.sendProbe(srv) // costs a token that requests earned, even if none is left
	}
	if override.Trial && srv.trialExpiresAt < b.now {
		srv.trialExpiresAt = b.now + trialTimeoutMs
		b.overrides.trials = append(b.overrides.trials, srv)
	}
}

// scaleDemand adapts the demand and the peak capacity to a change of the fraction of the fleet that the site
// reaches: servers out of reach take their share of both with them.
func (b *Balancer) scaleDemand(reachableShare float64) {
	factor := reachableShare / b.overrides.reachableShare
	if !(factor > 0) {
		return
	}
	b.admission.demand *= factor
	b.capacity.peak *= min(factor, 1)
	b.overrides.reachableShare = reachableShare
}

// pickTrial returns a server that is due for a trial request, or nil. Only the first attempt of a request
// that may be repeated is sent on trial.
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

// effectiveShare returns the fraction of its share that a server gets now; zero if an override ejects it.
func (b *Balancer) effectiveShare(srv *server) float64 {
	if b.now >= srv.overrideExpiresAt {
		return 1
	}
	return 1 - srv.withheldShare
}

// effectiveTrafficWeight returns the server's weight for the distribution of traffic between zones, which
// does not change its capacity.
func (b *Balancer) effectiveTrafficWeight(srv *server) float64 {
	if !b.overrides.zoneWeighted || b.now >= srv.overrideExpiresAt {
		return 1
	}
	return srv.trafficWeight
}
