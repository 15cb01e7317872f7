package view

import (
	"slices"
	"time"
)

// injectFault injects a random fault and returns when the fault ends, which starts the recovery time.
func (s *simulation) injectFault() {
	switch s.random.IntN(9) {
	case 0, 1, 8:
		s.loseMachines()
	case 2:
		s.partitionMachines()
	case 3:
		s.replaceLostMachine()
	case 4:
		s.replaceMachinePlanned(false)
	case 5:
		s.replaceMachinePlanned(true)
	case 6:
		s.restartMachine()
	case 7:
		s.losePowerEverywhere()
	}
}

// pickLoss returns the present machines of a random loss that the initial voters tolerate.
func (s *simulation) pickLoss() (machines []*machine) {
	losses := s.toleratedLosses()
	isLost := losses[s.random.IntN(len(losses))]
	for _, m := range s.presentMachines() {
		if isLost(m.peer) {
			machines = append(machines, m)
		}
	}
	return machines
}

func (s *simulation) pickMachine() *machine {
	present := s.presentMachines()
	return present[s.random.IntN(len(present))]
}

// randomDuration returns a random duration in a range, in steps of the tick interval.
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64((longest-shortest)/tickInterval)+1))*tickInterval
}

// awaitStop runs the simulation until a machine that is shutting down has stopped.
func (s *simulation) awaitStop(m *machine) {
	for m.up && s.failure == "" {
		s.tick()
	}
}

// loseMachines kills the machines of a tolerated loss. Some of them lose their disk.
func (s *simulation) loseMachines() {
	lost := s.pickLoss()
	for _, m := range lost {
		s.stop(m)
	}
	s.runWithLoss(s.randomDuration(0, 6*time.Second))
	for _, m := range lost {
		s.start(m, s.random.IntN(2) == 0)
	}
}

// partitionMachines disconnects the machines of a tolerated loss for a while.
func (s *simulation) partitionMachines() {
	lost := s.pickLoss()
	for _, m := range lost {
		s.logf("partition %s", m.peer.ID)
		m.partitioned = true
	}
	s.runWithLoss(s.randomDuration(0, 6*time.Second))
	for _, m := range lost {
		m.partitioned, m.reconnectedAt = false, s.now
	}
}

// replaceLostMachine kills a machine that never comes back. Another machine of its zone replaces it, and
// may be killed for a while as it joins.
func (s *simulation) replaceLostMachine() {
	lost := s.pickLoss()
	if len(lost) == 0 {
		return
	}
	formerMachine := lost[0]
	s.stop(formerMachine)
	formerMachine.decommissioned = true
	s.run(s.randomDuration(0, 3*time.Second))
	replacement := s.addMachine(formerMachine.peer.Zone, formerMachine.peer.Region)
	s.start(replacement, false)
	if s.random.IntN(3) == 0 {
		s.run(s.randomDuration(0, 3*time.Second))
		s.stop(replacement)
		s.run(s.randomDuration(0, 2*time.Second))
		s.start(replacement, s.random.IntN(2) == 0)
	}
}

// replaceMachinePlanned starts a replacement of a machine and shuts the former machine down some time
// later. With killReplacement the replacement is killed shortly before that, if the tolerance allows it,
// and starts again once the former machine has stopped.
func (s *simulation) replaceMachinePlanned(killReplacement bool) {
	formerMachine := s.pickMachine()
	replacement := s.addMachine(formerMachine.peer.Zone, formerMachine.peer.Region)
	s.start(replacement, false)
	startedAt := s.now
	s.run(s.randomDuration(300*time.Millisecond, 6*time.Second))
	killReplacement = killReplacement && s.tolerance.Machines > s.shortfall.Machines
	if killReplacement {
		s.stop(replacement)
		s.run(s.randomDuration(0, time.Second))
	}
	s.terminate(formerMachine)
	s.awaitStop(formerMachine)
	formerMachine.decommissioned = true
	if killReplacement {
		s.start(replacement, s.random.IntN(2) == 0)
		return
	}
	// The former machine no longer counts as a loss if the replacement has had the recovery time to join.
	if s.now >= startedAt+recoveryTime {
		s.run(2 * tickInterval) // for heartbeats to propagate the newest view
		if reason := s.missingTolerance(); reason != "" {
			s.fail("right after a planned replacement: %s", reason)
		}
	}
}

// restartMachine restarts a process gracefully. Other machines may be down when it is terminated; they
// start again within its shutdown grace period.
func (s *simulation) restartMachine() {
	restarted := s.pickMachine()
	var lost []*machine
	if s.random.IntN(2) == 0 {
		lost = slices.DeleteFunc(s.pickLoss(), func(m *machine) bool { return m == restarted })
	}
	for _, m := range lost {
		s.stop(m)
	}
	if len(lost) > 0 {
		s.run(s.randomDuration(0, 2*time.Second))
	}
	s.terminate(restarted)
	s.run(s.randomDuration(0, 3*time.Second))
	for _, m := range lost {
		s.start(m, s.random.IntN(3) == 0)
	}
	s.awaitStop(restarted)
	s.run(s.randomDuration(0, time.Second))
	s.start(restarted, false)
}

func (s *simulation) losePowerEverywhere() {
	down := s.presentMachines()
	for _, m := range down {
		s.stop(m)
	}
	s.run(time.Second)
	for _, m := range down {
		s.start(m, false)
	}
}
