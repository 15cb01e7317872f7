package view

import (
	"fmt"
	"slices"
	"time"
)

// runWithLoss runs the simulation during a tolerated loss. If the loss lasts for at least ackTime, it
// checks that an update is committed meanwhile.
func (s *simulation) runWithLoss(duration time.Duration) {
	s.run(min(duration, tickInterval))
	ackedSeq := s.ackedSeq
	if s.run(duration - tickInterval); duration >= ackTime && s.ackedSeq == ackedSeq {
		s.fail("no update is committed during a tolerated loss, view %d", s.newest.Number)
	}
}

// presentMachines returns the machines that run, are connected and are not leaving.
func (s *simulation) presentMachines() (machines []*machine) {
	for _, m := range s.machines {
		if m.up && !m.partitioned && !m.leaving {
			machines = append(machines, m)
		}
	}
	return machines
}

func machineName(peer Peer) string { return peer.ID }
func zoneName(peer Peer) string    { return peer.Region + "/" + peer.Zone }
func regionName(peer Peer) string  { return peer.Region }

// toleratedLosses returns all losses that the control plane tolerates, each as a function that reports
// whether a peer is lost. These are losses of as many machines as the initial voters tolerate, losses of
// zones if the initial voters have no shortfall of machines and zones, and losses of regions if they have
// no shortfall at all.
func (s *simulation) toleratedLosses() (losses []func(Peer) bool) {
	losses = append(losses, func(Peer) bool { return false })
	losses = append(losses, s.lossesOf(machineName, s.tolerance.Machines-s.shortfall.Machines)...)
	if s.shortfall.Machines == 0 && s.shortfall.Zones == 0 {
		losses = append(losses, s.lossesOf(zoneName, s.tolerance.Zones)...)
	}
	if s.shortfall.None() {
		losses = append(losses, s.lossesOf(regionName, s.tolerance.Regions)...)
	}
	return losses
}

// lossesOf returns the loss of each combination of n machines, zones or regions.
func (s *simulation) lossesOf(nameOf func(Peer) string, n int) (losses []func(Peer) bool) {
	var names []string
	for _, m := range s.machines {
		if !m.decommissioned {
			names = append(names, nameOf(m.peer))
		}
	}
	slices.Sort(names)
	for _, lost := range subsets(slices.Compact(names), n) {
		losses = append(losses, func(peer Peer) bool { return slices.Contains(lost, nameOf(peer)) })
	}
	return losses
}

// subsets returns all subsets of n names, or the set of all names if there are no more than n.
func subsets(names []string, n int) (sets [][]string) {
	if n == 0 {
		return [][]string{nil}
	}
	if n >= len(names) {
		return [][]string{names}
	}
	for _, rest := range subsets(names[1:], n-1) {
		sets = append(sets, append([]string{names[0]}, rest...))
	}
	return append(sets, subsets(names[1:], n)...)
}

// missingTolerance returns why some tolerated loss would leave no quorum or no complete replica now. It
// returns "" if there is no such loss.
func (s *simulation) missingTolerance() (reason string) {
	v := s.newest
	voters, replicas := []Peer{}, []Peer{}
	for _, m := range s.presentMachines() {
		voter, found := v.Voter(m.peer.ID)
		if !found {
			continue
		}
		voters = append(voters, voter)
		if m.isComplete(v) && m.valueSeq >= s.ackedSeq {
			replicas = append(replicas, voter)
		}
	}
	for _, isLost := range s.toleratedLosses() {
		remaining := slices.DeleteFunc(slices.Clone(voters), isLost)
		if len(remaining) < v.Quorum() {
			return fmt.Sprintf("view %d of %s: only %s would remain of the voters",
				v.Number, joinIDs(v.Voters), joinIDs(remaining))
		}
		if len(slices.DeleteFunc(slices.Clone(replicas), isLost)) == 0 {
			return fmt.Sprintf("view %d: no replica would remain of %s", v.Number, joinIDs(replicas))
		}
	}
	return ""
}

// requireRecovery runs the simulation for recoveryTime, and checks that every tolerated loss is tolerated
// again then.
func (s *simulation) requireRecovery() {
	begin, recoveredAfter, ackedSeq := s.now, never, 0
	for s.now < begin+recoveryTime && s.failure == "" {
		if s.now == begin+recoveryTime-time.Second {
			ackedSeq = s.ackedSeq
		}
		if number := s.newest.Number; !s.tick() && recoveredAfter >= 0 && number == s.newest.Number {
			continue // nothing has changed
		}
		if s.missingTolerance() != "" {
			recoveredAfter = never
		} else if recoveredAfter < 0 {
			recoveredAfter = s.now - begin
		}
	}
	if reason := s.missingTolerance(); reason != "" {
		s.fail("not recovered: %s", reason)
	}
	if s.ackedSeq == ackedSeq {
		s.fail("no update was committed in the last second, view %d", s.newest.Number)
	}
	s.slowestRecovery = max(s.slowestRecovery, recoveredAfter)
}
