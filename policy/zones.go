package policy

const (
	// zoneSuspicionCount is the number of unresponsive servers of a zone from which all of it is suspected.
	zoneSuspicionCount = 2
	// localWeightMin and localWeightMax bound how much more a server of the agent's own zone weighs:
	// crossing zones takes time and may have a price. localWeightStep is how fast it moves.
	localWeightMin, localWeightMax, localWeightStep = 1.5, 8.0, 0.1
)

// suspectZone takes all servers of a zone for unresponsive if several are, and none of the zone has responded
// since. A probe or a response clears those that were only suspected.
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
			srv.timedOutFrom > lastResponse {
			count++
		}
	}
	return count
}

// clearZoneSuspicion takes back a suspicion that a response from the zone has refuted.
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

// adjustLocalWeight moves the weight of the own zone's servers up while the part of the requests sent
// there and not answered in time is under the price of crossing zones, and down while it is above: one
// zone may have more traffic than its servers can serve.
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
