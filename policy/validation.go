package policy

// validateUnhealthy moves servers whose ejection time is over to UnhealthyPending, and probes pending ones.
// Each request triggers it.
func (b *Balancer) validateUnhealthy() {
	b.survey()
	for _, srv := range b.capacity.unhealthyServers {
		// One attempt that hangs must not exclude a server that answers others.
		free := len(srv.inFlight) == 0 || !srv.timedOut && b.toleratesFailures(srv)
		if srv.ready && free && srv.BeginValidation(b.ejectionTime(srv), b.now) {
			b.generation++
			b.fetchList()
		}
		if b.needsProbe(srv) && b.probes.available() {
			b.sendProbe(srv)
		}
	}
}

// needsProbe reports whether the server is to be validated by a probe. A probe only shows that the process
// runs, which is known of a server that answered. Probes of servers out of the site's reach would use up the
// budget.
func (b *Balancer) needsProbe(srv *server) bool {
	pending := srv.state == UnhealthyPending && srv.ready && srv.timedOut &&
		(b.overrides.reachableShare == 1 || b.effectiveShare(srv) > 0)
	return pending && b.settings.Limits.AllowProbes && !srv.probing
}

// onProbeEnded handles the end of a probe.
func (b *Balancer) onProbeEnded(event *Event) {
	srv := b.serverByAddr[event.Server]
	if srv == nil || !srv.probing {
		return
	}
	srv.probing = false
	b.probes.inFlight--
	if event.Status == OK && srv.samplingLoad { // servers under validation do not represent the fleet's load
		b.recordUtilization(srv, event.LoadReport)
	}
	srv.samplingLoad = false
	switch {
	case event.Status == NotSent || srv.state == Unhealthy: // nothing new is known
	case srv.state <= Unknown:
		if event.Status == Timeout || event.Status == ConnectFailed {
			b.transition(srv, UnhealthyPending) // it may only be stalled: a second probe decides
		}
	case event.Status == OK:
		b.onResponse(srv)
		b.transition(srv, Connected)
	case event.Status != Rejected:
		b.eject(srv, true)
	}
}
