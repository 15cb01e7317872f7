package policy

const (
	// zoneSuspicionCount is the number of unresponsive servers with which all servers of a zone are
	// suspected.
	zoneSuspicionCount = 2
	// localWeightMin and localWeightMax bound the factor on the weight of servers in the agent's own zone:
	// crossing zones takes time and may have a price. localWeightStep is the largest relative change by one
	// attempt.
	localWeightMin, localWeightMax, localWeightStep = 1.5, 8.0, 0.1
)

// suspectZone suspects all servers of a zone to be unresponsive if several of them are and no server of the
// zone has responded since. A response to a request or a probe clears the suspicion.
func (b *Balancer) suspectZone(zone int) {
	if b.unresponsiveIn(zone) < zoneSuspicionCount {
		return
	}
	for _, srv := range b.servers {
		if srv.zone == zone && srv.ready && srv.state <= Unknown {
			b.transition(srv, UnhealthyPending)
			srv.timedOut, srv.zoneSuspected = true, true
		}
	}
}

// unresponsiveIn counts the servers of a zone that timed out on attempts sent after its last response.
func (b *Balancer) unresponsiveIn(zone int) int {
	lastResponse := 0.0
	for _, srv := range b.servers {
		if srv.zone == zone && srv.ready {
			lastResponse = max(lastResponse, srv.lastResponseAt)
		}
	}
	count := 0
	for _, srv := range b.servers {
		if srv.zone == zone && srv.ready && srv.state >= UnhealthyPending && srv.timedOut &&
			srv.timedOutSentAt > lastResponse {
			count++
		}
	}
	return count
}

// clearZoneSuspicion clears the suspicion of a zone's servers after one of them has responded.
func (b *Balancer) clearZoneSuspicion(zone int) {
	for _, srv := range b.servers {
		if srv.zone != zone || !srv.zoneSuspected {
			continue
		}
		srv.zoneSuspected = false
		if srv.state == UnhealthyPending {
			b.transition(srv, Unknown)
			srv.timedOut = false
		}
	}
}

// adjustLocalWeight adjusts the weight of the servers in the agent's own zone: up while the fraction of the
// requests sent there that is not answered in time is below the price of crossing zones, and down while it is
// above. A zone may have more traffic than its servers can serve.
func (b *Balancer) adjustLocalWeight(srv *server, missed bool) {
	if srv.zone != b.settings.Zone {
		return
	}
	direction := b.settings.Prices.CrossZone
	if missed {
		direction--
	}
	b.localWeight = min(max(b.localWeight*(1+localWeightStep*direction), localWeightMin), localWeightMax)
}
