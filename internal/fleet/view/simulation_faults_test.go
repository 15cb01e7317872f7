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
	presentMachines := s.presentMachines()
	return presentMachines[s.random.IntN(len(presentMachines))]
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
	lostMachines := s.pickLoss()
	for _, m := range lostMachines {
		s.stop(m)
	}
	s.runWithLoss(s.randomDuration(0, 6*time.Second))
	for _, m := range lostMachines {
		s.start(m, s.random.IntN(2) == 0)
	}
}

// partitionMachines disconnects the machines of a tolerated loss for a while.
func (s *simulation) partitionMachines() {
	lostMachines := s.pickLoss()
	for _, m := range lostMachines {
		s.logf("partition %s", m.peer.ID)
		m.partitioned = true
	}
	s.runWithLoss(s.randomDuration(0, 6*time.Second))
	for _, m := range lostMachines {
		m.partitioned, m.reconnectedAt = false, s.now
	}
}

// replaceLostMachine kills a machine that never comes back. Another machine of its zone replaces it, and
// may be killed for a while as it joins.
func (s *simulation) replaceLostMachine() {
	lostMachines := s.pickLoss()
	if len(lostMachines) == 0 {
		return
	}
	formerMachine := lostMachines[0]
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
	restartedMachine := s.pickMachine()
	var lostMachines []*machine
	if s.random.IntN(2) == 0 {
		lostMachines = slices.DeleteFunc(s.pickLoss(), func(m *machine) bool { return m == restartedMachine })
	}
	for _, m := range lostMachines {
		s.stop(m)
	}
	if len(lostMachines) > 0 {
		s.run(s.randomDuration(0, 2*time.Second))
	}
	s.terminate(restartedMachine)
	s.run(s.randomDuration(0, 3*time.Second))
	for _, m := range lostMachines {
		s.start(m, s.random.IntN(3) == 0)
	}
	s.awaitStop(restartedMachine)
	s.run(s.randomDuration(0, time.Second))
	s.start(restartedMachine, false)
}

func (s *simulation) losePowerEverywhere() {
	presentMachines := s.presentMachines()
	for _, m := range presentMachines {
		s.stop(m)
	}
	s.run(time.Second)
	for _, m := range presentMachines {
		s.start(m, false)
	}
}
