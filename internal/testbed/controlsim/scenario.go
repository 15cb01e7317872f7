package controlsim

import (
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ScenarioCount is the number of scenarios: one for each of the five kinds of failure ("points") that the operators
// describe as the worst, one with tenants, revoked keys and quotas, and one with lost zones and poor links.
const ScenarioCount = 7

const (
	// A seed has a large fleet if it is largeFleetEvery-1 modulo largeFleetEvery.
	largeFleetEvery = 16
	// A seed of scenario 4 makes more than a thousand updates if it is longRunEvery-1 modulo longRunEvery.
	longRunEvery = 8
	// In scenarios 2, 4 and 7 the operators and servers of a seed use HTTP if it is httpEvery-2 modulo httpEvery.
	// The regression seeds of these scenarios are not among them.
	httpEvery = 4
	// One in longBodyEvery seeds may have long configurations in its many updates; each such update takes the
	// simulation some milliseconds.
	longBodyEvery = 4
	// defaultZoneCount is the number of zones of most fleets; all of them are in one region.
	defaultZoneCount = 3
	// maxZonesPerRegion is the largest number of zones in a region of a fleet with several regions.
	maxZonesPerRegion = 2
	// regionCount is the number of regions of a fleet that has to tolerate the loss of one.
	regionCount = 3
	// recoveryTime is the time from the repair of a loss until the fleet has to tolerate the next loss.
	recoveryTime = 4 * time.Second
	// lowBandwidth is the bandwidth of a link of 10 Mbit/s, in bytes per second.
	lowBandwidth = 10_000_000 / 8
	// callWatchLead is the time from the separation of two machines until the faults that wait for a call of the
	// following view change begin to wait.
	callWatchLead = 300 * time.Millisecond
)

// scenario determines a run. It depends only on its number and the seed. A change of the order of the random draws
// changes the scenarios.
type scenario struct {
	number           int // 1 to ScenarioCount
	seed             uint64
	coreCount        int           // machines with a disk
	agentCount       int           // machines without a disk
	toleratedLosses  int           // number of machines that may be lost at once
	zoneCount        int           // zones that the machines are spread over
	zonesPerRegion   int           // zones that make up a region
	toleratedZones   int           // number of zones that may be lost at once
	toleratedRegions int           // number of regions that may be lost at once
	faultDuration    time.Duration // time in which faults begin
	quietPeriod      time.Duration // time without faults after faultDuration; the workload runs for half of it

	operatorCount     int
	serverCount       int
	maxHeartbeats     int // maximum number of heartbeats of a server before it drains
	echoClientCount   int
	tenantCount       int           // 0 if the configuration has no tenants
	updateInterval    time.Duration // mean pause between two operations of one operator
	readShare         float64       // fraction of reads among an operator's operations, 0 to 1
	lostResponseShare float64       // fraction of lost responses to updates, 0 to 1
	bodySize          int           // size of a configuration's padding, in bytes
	overHTTP          bool          // operators and servers use the control API over HTTP, not its backend
	bandwidth         int           // bytes per second and direction of a connection; 0 if unlimited
	coreProcessor     processor     // of each machine with a disk
	agentProcessor    processor     // of each machine without a disk
	memoryBytes       int64         // memory limit of each process; 0 for the lowest bounds that follow from a limit
	faults            []Fault
}

// tolerance returns the losses that the fleet has to tolerate.
func (s *scenario) tolerance() view.Tolerance {
	return view.Tolerance{Machines: s.toleratedLosses, Zones: s.toleratedZones, Regions: s.toleratedRegions}
}

// newScenario derives the scenario of a number and a seed.
func newScenario(number int, seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	s := scenario{number: number, seed: seed, coreCount: 3 + random.IntN(3), agentCount: 3 + random.IntN(4),
		toleratedLosses: 1, quietPeriod: 12 * time.Second, operatorCount: 2, serverCount: 2,
		updateInterval: 400 * time.Millisecond, readShare: 0.5, maxHeartbeats: 12,
		zoneCount: defaultZoneCount, zonesPerRegion: defaultZoneCount}
	if seed%largeFleetEvery == largeFleetEvery-1 {
		s.coreCount, s.agentCount = 5+random.IntN(5), 20+random.IntN(21)
	}
	s.overHTTP = seed%httpEvery == httpEvery-2 && (number == 2 || number == 4 || number == 7)
	switch number {
	case 1:
		s.longPartition(random)
	case 2:
		s.concurrentUpdates(random)
	case 3:
		s.consecutiveLosses(random)
	case 4:
		s.catchUp(random)
	case 5:
		s.connectionResets(random)
	case 6:
		s.tenantsUnderFaults(random)
	case 7:
		s.zonesAndPoorLinks(random)
	}
	return s
}

var (
	coreTargets = []Target{Head, Middle, Tail, Member}
	lossKinds   = []FaultKind{Kill, PowerLoss, Wipe, Replace, Terminate}
)

// pickOne picks one of several values with equal probability.
func pickOne[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// randomDuration draws from a uniform distribution, from shortest up to, but not including, longest.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// newPartition draws a partition of a machine of the core, in one direction or in both.
func (s *scenario) newPartition(random *rand.Rand, at, duration time.Duration) Fault {
	lost := pickOne(random, [2]bool{true, true}, [2]bool{true, false}, [2]bool{false, true})
	return Fault{Kind: Partition, Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at,
		Duration: duration, Outbound: lost[0], Inbound: lost[1], Reject: random.IntN(3) == 0,
		IncludesAgents: random.IntN(2) == 0}
}

// longPartition is scenario 1: a machine of the core is partitioned for about twenty seconds, operators update
// concurrently when it returns, and it, or another one, is partitioned again.
func (s *scenario) longPartition(random *rand.Rand) {
	s.operatorCount, s.serverCount, s.maxHeartbeats = 3, 10, 2
	s.faultDuration = 34 * time.Second
	first := s.newPartition(random, randomDuration(random, 2*time.Second, 4*time.Second),
		randomDuration(random, 17*time.Second, 22*time.Second))
	firstEnd := first.At + first.Duration
	second := s.newPartition(random, firstEnd+randomDuration(random, 50*time.Millisecond, 4*time.Second),
		randomDuration(random, time.Second, 4*time.Second))
	if random.IntN(2) == 0 {
		second.Target, second.Index = Member, first.Index
	}
	s.faults = []Fault{first, second}
	// Some agents end just after their relay was partitioned: what they have accepted must not be lost.
	for i := range random.IntN(4) {
		s.faults = append(s.faults, Fault{Kind: pickOne(random, Kill, PowerLoss), Target: Agent, Index: i,
			At:       first.At + randomDuration(random, 50*time.Millisecond, 900*time.Millisecond),
			Duration: randomDuration(random, time.Second, 3*time.Second)})
	}
}

// concurrentUpdates is scenario 2: operators update the same revision concurrently and retry updates whose responses
// were lost, while the head changes.
func (s *scenario) concurrentUpdates(random *rand.Rand) {
	s.operatorCount, s.updateInterval, s.readShare, s.lostResponseShare = 5, 200*time.Millisecond, 0.25, 0.4
	s.faultDuration = 20 * time.Second
	if random.IntN(3) == 0 {
		s.competingProposers(random)
		return
	}
	for at := 2 * time.Second; at < s.faultDuration-4*time.Second; at += randomDuration(random,
		2*time.Second, 5*time.Second) {
		f := s.newPartition(random, at, randomDuration(random, 300*time.Millisecond, 3*time.Second))
		f.Kind = pickOne(random, Partition, Kill, PowerLoss, Terminate, Pause, StallDisk)
		f.Target = pickOne(random, Head, Head, Middle, Tail)
		s.faults = append(s.faults, f)
	}
}

// competingProposers separates the ends of a chain of three, so that both propose a next view. The voter between them
// loses power just before or after its vote and is restarted at once. The head is isolated at the same time, so that
// this vote is the only reachable record of what the head had decided.
func (s *scenario) competingProposers(random *rand.Rand) {
	s.coreCount = 3
	template := Fault{Kind: Partition, Target: Head, Outbound: true, Inbound: true}
	for at := 2 * time.Second; at < s.faultDuration-6*time.Second; at += 6 * time.Second {
		separation := template
		separation.Peer, separation.At, separation.Duration = Tail, at,
			randomDuration(random, 1500*time.Millisecond, 3*time.Second)
		isolation := template
		isolation.At = at + callWatchLead
		isolation.Duration = randomDuration(random, time.Second, 3*time.Second)
		isolation.IncludesAgents = random.IntN(2) == 0
		loss := Fault{Kind: PowerLoss, Target: Middle, At: at + callWatchLead,
			Duration: randomDuration(random, time.Millisecond, 60*time.Millisecond)}
		for _, f := range []*Fault{&isolation, &loss} {
			f.AfterCall, f.CallTarget = "core.accept", Middle
			f.Delay = randomDuration(random, 400*time.Microsecond, 5*time.Millisecond)
		}
		if random.IntN(4) == 0 {
			loss.AfterCall = pickOne(random, "core.prepare", "core.learn", "core.push")
		}
		s.faults = append(s.faults, separation, isolation, loss)
	}
}

// consecutiveLosses is scenario 3: each loss begins exactly recoveryTime after the repair of the previous one,
// replacements fail, and members shut down; in the end all machines lose power.
func (s *scenario) consecutiveLosses(random *rand.Rand) {
	s.toleratedLosses = random.IntN(3)
	s.coreCount = max(3, 2*s.toleratedLosses+1+random.IntN(5))
	at := 4 * time.Second
	for range 4 {
		f := Fault{Kind: pickOne(random, lossKinds...), Target: pickOne(random, coreTargets...),
			Index: random.IntN(s.coreCount), At: at,
			Duration: randomDuration(random, 200*time.Millisecond, 4*time.Second)}
		s.faults = append(s.faults, f)
		if f.Kind == Replace && random.IntN(2) == 0 {
			s.faults = append(s.faults, Fault{Kind: PowerLoss, Target: Newest,
				At:       at + f.Duration + randomDuration(random, 100*time.Millisecond, 3*time.Second),
				Duration: 2 * time.Second})
			at += 5 * time.Second
		}
		at += f.Duration + recoveryTime
		if f.Kind == Terminate {
			at += handoverTimeout
		}
	}
	s.faultDuration = at
	s.faults = append(s.faults, newFleetOutage(random, at))
}

// newFleetOutage draws a power loss of all machines, which return in random order. The seeds that a machine has in its
// settings may all have been replaced before.
func newFleetOutage(random *rand.Rand, at time.Duration) Fault {
	return Fault{Kind: FleetOutage, Target: Member, Index: random.IntN(1 << 16), At: at,
		Duration: randomDuration(random, 100*time.Millisecond, 3*time.Second),
		Delay:    randomDuration(random, 0, 200*time.Millisecond)}
}

// catchUp is scenario 4: an operator makes hundreds of updates while machines restart, lose power and lose their disks.
func (s *scenario) catchUp(random *rand.Rand) {
	s.serverCount, s.operatorCount, s.readShare = 0, 1, 0.05
	s.faultDuration, s.updateInterval, s.bodySize = 30*time.Second, 50*time.Millisecond, 1<<10
	if s.seed%longRunEvery == longRunEvery-1 {
		s.faultDuration = 150 * time.Second
	}
	if random.IntN(4) == 0 {
		s.updateInterval, s.bodySize = 2*time.Second, 1<<20
	} else if random.IntN(2) == 0 {
		s.bandwidth = 640 << 10
	} else if s.seed%longBodyEvery == 0 {
		s.bodySize = 16 << 10 // long enough to be replicated as differences
	}
	for at := 2 * time.Second; at < s.faultDuration-8*time.Second; at += randomDuration(random,
		4*time.Second, 8*time.Second) {
		f := Fault{Kind: pickOne(random, Kill, PowerLoss, Wipe, Replace, SlowDisk, FullDisk),
			Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at,
			Duration: randomDuration(random, 200*time.Millisecond, 6*time.Second)}
		if random.IntN(4) == 0 {
			f.Kind, f.Target = Kill, Agent
		}
		s.faults = append(s.faults, f)
	}
	s.faults = append(s.faults, Fault{Kind: CoreOutage, Target: Head, At: s.faultDuration + time.Second,
		Duration: randomDuration(random, 200*time.Millisecond, 3*time.Second),
		Delay:    randomDuration(random, 0, 500*time.Millisecond)})
}

// connectionResets is scenario 5: connections between processes are reset, or their bytes delayed, while echo clients
// check that each response belongs to its call.
func (s *scenario) connectionResets(random *rand.Rand) {
	s.echoClientCount, s.lostResponseShare = 4, 0.3
	s.faultDuration = 15 * time.Second
	for at := 2 * time.Second; at < s.faultDuration-3*time.Second; at += randomDuration(random,
		100*time.Millisecond, 800*time.Millisecond) {
		f := s.newPartition(random, at, randomDuration(random, 20*time.Millisecond, 900*time.Millisecond))
		if f.Kind = pickOne(random, ResetConnections, ResetConnections, Partition); random.IntN(2) == 0 {
			f.Target = Agent
		}
		s.faults = append(s.faults, f)
	}
}

// tenantsUnderFaults is scenario 6: tenants send requests while keys are revoked and machines of the core are lost,
// partitioned or paused, or their disks fail; then the core loses power, with some seeds twice within a window of the
// quotas.
func (s *scenario) tenantsUnderFaults(random *rand.Rand) {
	s.serverCount, s.operatorCount, s.readShare = 0, 1, 0.1
	s.tenantCount, s.toleratedLosses = 1+random.IntN(4), 1
	s.faultDuration = 24 * time.Second
	for at := 4 * time.Second; at < s.faultDuration-6*time.Second; at += randomDuration(random,
		2*time.Second, 5*time.Second) {
		f := s.newPartition(random, at, randomDuration(random, 300*time.Millisecond, 8*time.Second))
		f.Kind = pickOne(random, Partition, Partition, Kill, PowerLoss, Terminate, Wipe, Replace, Pause,
			SlowDisk, StallDisk, FullDisk)
		if random.IntN(4) == 0 {
			f.Kind, f.Target = pickOne(random, Partition, Kill, PowerLoss, Pause), Agent
		}
		s.faults = append(s.faults, f)
	}
	outage := Fault{Kind: CoreOutage, Target: Head, At: s.faultDuration,
		Duration: randomDuration(random, 100*time.Millisecond, 2*time.Second),
		Delay:    randomDuration(random, 0, 300*time.Millisecond)}
	s.faults = append(s.faults, outage)
	if random.IntN(2) == 0 {
		outage.At += outage.Duration + randomDuration(random, 3*time.Second, 6*time.Second)
		s.faults = append(s.faults, outage)
	}
}

// placeInRegions spreads the machines of half of the seeds over several regions, one of which may be lost.
func (s *scenario) placeInRegions() {
	random := rand.New(rand.NewPCG(s.seed, regionCount))
	if random.IntN(2) == 0 {
		return
	}
	s.zonesPerRegion = 1 + random.IntN(maxZonesPerRegion)
	s.zoneCount, s.toleratedRegions = regionCount*s.zonesPerRegion, 1
}

// zonesAndPoorLinks is scenario 7: the zones, or whole regions, lose power one after the other, each recoveryTime after
// the repair of the previous one, while links lose segments or have a bandwidth of 10 Mbit/s; in the end all machines
// lose power.
func (s *scenario) zonesAndPoorLinks(random *rand.Rand) {
	s.placeInRegions()
	s.coreCount, s.agentCount = s.zoneCount*(2+random.IntN(2)), 3+random.IntN(7)
	if s.zoneCount > defaultZoneCount {
		s.coreCount = s.zoneCount // with more machines, not all would become voters
	}
	s.toleratedLosses, s.toleratedZones = 1, 1
	s.operatorCount, s.serverCount = 3, 4
	at := 4 * time.Second
	for zone := random.IntN(s.zoneCount); at < 28*time.Second; zone++ {
		outage := Fault{Kind: ZoneOutage, Target: Member, Index: zone, At: at,
			Duration: randomDuration(random, 200*time.Millisecond, 4*time.Second)}
		if s.toleratedRegions > 0 && random.IntN(2) == 0 {
			outage.Kind = RegionOutage
		}
		s.faults = append(s.faults, outage)
		at += outage.Duration + recoveryTime
	}
	s.faultDuration = at
	s.faults = append(s.faults, newFleetOutage(random, at))
	for at := 2 * time.Second; at < s.faultDuration; at += randomDuration(random, time.Second, 4*time.Second) {
		poor := Fault{Kind: PoorLinks, Target: pickOne(random, Member, Agent), Index: random.IntN(s.coreCount), At: at,
			Duration: randomDuration(random, time.Second, 6*time.Second), Loss: 0.05 * random.Float64()}
		if random.IntN(2) == 0 {
			poor.Bandwidth = lowBandwidth
		}
		s.faults = append(s.faults, poor)
	}
}
