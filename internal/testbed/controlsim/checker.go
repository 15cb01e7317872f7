package controlsim

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// maxViolations bounds the violations that one run reports.
	maxViolations = 16
	// propagationTimeout bounds the time from the acknowledgement of an update, or a drain, until the processes of all
	// healthy machines know it.
	propagationTimeout = 2 * time.Second
	// healthyPeriod is the time without faults after which a machine counts as healthy.
	healthyPeriod = 4 * time.Second
	// updateAckTimeout bounds the time that an update takes while the core is stable.
	updateAckTimeout = 4 * time.Second
	// stablePeriod is the time before an update in which no fault begins or ends if the core counts as stable.
	stablePeriod = 4 * time.Second
	// neverReturned is the return time, in nanoseconds, of an update with unknown outcome, which may take effect at any
	// later time.
	neverReturned = 1 << 60
)

// Violation is a violated guarantee of the control plane.
type Violation struct {
	Seed    uint64
	At      time.Duration // virtual time since the start of the run
	Machine string        // name of the machine, or of the affected part of the fleet
	What    string
}

func (v Violation) String() string {
	return fmt.Sprintf("seed %d at %v, %s: %s", v.Seed, v.At, v.Machine, v.What)
}

// checker checks a run against the guarantees of the control plane. Its methods may be called concurrently.
type checker struct {
	sim *simulation

	mu            sync.Mutex
	violations    []Violation
	history       []porcupine.Operation
	views         map[uint64]view.View // by number
	configs       map[uint64]string    // ids of the updates, by the sequence numbers of their configurations
	ackedRevision int64                // highest acknowledged revision
	updates       int                  // committed updates
	reads         int                  // answered reads
	drains        int                  // acknowledged drains
	calls         int                  // answered echo calls
	tenants       tenantHistory
}

func newChecker(s *simulation) *checker {
	return &checker{sim: s, views: map[uint64]view.View{}, configs: map[uint64]string{},
		tenants: tenantHistory{admitted: map[int][]admission{}, outcomes: map[refusal]int{}}}
}

func (c *checker) reportViolation(machine, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolationLocked(machine, format, args...)
}

func (c *checker) reportViolationLocked(machine, format string, args ...any) {
	v := Violation{Seed: c.sim.scenario.seed, At: c.sim.elapsed(), Machine: machine, What: fmt.Sprintf(format, args...)}
	c.sim.logEvent("VIOLATION %s: %s", v.Machine, v.What)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, v)
	}
}

// viewLearned checks a view that a process has learned: all processes must learn the same view for a number.
func (c *checker) viewLearned(p *process, v view.View) {
	if p.ended.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.views[v.Number]
	if !ok {
		c.views[v.Number] = v.Clone()
		c.sim.logEvent("view %d: %s", v.Number, c.sim.describeView(v))
		return
	}
	if !known.Equal(v) {
		c.reportViolationLocked(p.machine.name, "view %d is %s here and %s elsewhere", v.Number, c.sim.describeView(v),
			c.sim.describeView(known))
	}
}

// configApplied checks the configuration that a process has applied: it must not be older than the previous one, and
// all processes must apply the same configuration for a sequence number.
func (c *checker) configApplied(p *process, snapshot *relay.Snapshot) {
	if p.ended.Load() {
		return
	}
	previous := p.snapshot.Swap(snapshot)
	if previous != nil && previous.ConfigSeq == snapshot.ConfigSeq {
		return
	}
	if previous != nil && snapshot.ConfigSeq < previous.ConfigSeq {
		c.reportViolation(p.machine.name, "goes back from configuration %d to %d", previous.ConfigSeq,
			snapshot.ConfigSeq)
	}
	if snapshot.Config == nil {
		return
	}
	id := updateID(snapshot.Config.Raw())
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.configs[snapshot.ConfigSeq]; ok && known != id {
		c.reportViolationLocked(p.machine.name, "configuration %d is %q here and %q elsewhere", snapshot.ConfigSeq, id,
			known)
	}
	c.configs[snapshot.ConfigSeq] = id
	c.sim.logEvent("%s applies configuration %d, revision %d", p.machine.name, snapshot.ConfigSeq,
		snapshot.Config.Revision)
}

// checkHistory checks that the operators' updates and reads are linearizable.
func (c *checker) checkHistory() {
	c.mu.Lock()
	history := slices.Clone(c.history)
	c.mu.Unlock()
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		c.reportViolation("operators", "the history of %d updates and reads is not linearizable", len(history))
	}
}

// recordOperation adds an update or a read, which was called at a virtual time and returns now, to the history.
func (c *checker) recordOperation(operator int, input any, output response, calledAt time.Duration) {
	op := porcupine.Operation{ClientId: operator, Input: input, Call: int64(calledAt), Output: output,
		Return: int64(c.sim.elapsed())}
	if output.outcome == chain.OutcomeUnknown {
		op.Return = neverReturned
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, op)
	if update, isUpdate := input.(updateInput); !isUpdate {
		c.reads++
	} else if output.outcome == chain.OutcomeCommitted {
		c.updates++
		c.ackedRevision = max(c.ackedRevision, update.revision)
		c.revisionAcknowledgedLocked(update.revision)
	}
}

// updateCompleted checks an update after its last attempt: a committed update must be replicated, and propagated within
// propagationTimeout. The outcome must be known if the core was stable.
func (c *checker) updateCompleted(update updateInput, output response, calledAt time.Duration) {
	elapsed := c.sim.elapsed() - calledAt
	switch {
	case output.outcome == chain.OutcomeCommitted:
		c.checkReplicas(update.revision)
		c.checkLater(propagationTimeout, func(acked time.Time) { c.checkPropagated(update.revision, acked) })
	case output.outcome != chain.OutcomeUnknown || elapsed < updateAckTimeout:
	case c.sim.stableBetween(calledAt-stablePeriod, calledAt+updateAckTimeout):
		c.reportViolation("operators", "update %s was not answered within %v although the core was stable",
			update.id, elapsed)
	case c.sim.scenario.toleratedZones > 0:
		c.reportViolation("operators",
			"update %s was not answered within %v although only a tolerated zone or region is lost", update.id, elapsed)
	}
}

// checkReplicas checks that an acknowledged update is on enough disks, in enough zones and regions.
func (c *checker) checkReplicas(revision int64) {
	if c.sim.diskLostSince(time.Now().Add(-healthyPeriod)) {
		return // a replica may have been on that disk
	}
	var replicas []view.Peer
	for _, m := range c.sim.coreMachines() {
		state, err := controlplane.InspectRecords(m.media.read)
		if err != nil {
			c.reportViolation(m.name, "%v", err)
		} else if state.Record.Value.Revision >= revision {
			replicas = append(replicas, view.Peer{ID: m.name, Addr: m.host.addr, Zone: m.zone, Region: m.region})
		}
	}
	required := c.sim.newestView().RequiredSpread(c.sim.scenario.tolerance())
	if spread := view.SpreadOf(replicas); !spread.Covers(required) {
		c.reportViolation("core", "revision %d is acknowledged with replicas of spread %+v, not %+v", revision, spread,
			required)
	}
}

// checkLater calls a check after a delay, unless the run ends before. The check gets the time of the call of
// checkLater.
func (c *checker) checkLater(delay time.Duration, check func(since time.Time)) {
	since := time.Now()
	c.sim.checks.Go(func() {
		if sleep(c.sim.checkCtx, delay); c.sim.checkCtx.Err() == nil {
			check(since)
		}
	})
}

// checkPropagated checks that the healthy machines have applied an acknowledged revision. While all machines of the
// core are without power, and shortly after, no machine can send the revision to an agent; the check is repeated later
// in this case.
func (c *checker) checkPropagated(revision int64, acked time.Time) {
	if c.sim.coreLostSince(acked.Add(-recoveryTime)) {
		c.checkLater(propagationTimeout, func(since time.Time) { c.checkPropagated(revision, since) })
		return
	}
	for _, p := range c.sim.healthySince(acked.Add(-healthyPeriod)) {
		if s := p.snapshot.Load(); s == nil || s.Config == nil || s.Config.Revision < revision {
			c.reportViolation(p.machine.name, "revision %d is not in force %v after its acknowledgement", revision,
				propagationTimeout)
		}
	}
}

// drainAcknowledged counts an acknowledged drain, and checks after propagationTimeout that the healthy machines no
// longer list the server.
func (c *checker) drainAcknowledged(id string) {
	c.mu.Lock()
	c.drains++
	c.mu.Unlock()
	c.sim.logEvent("the drain of %s is acknowledged", id)
	c.checkLater(propagationTimeout, func(acked time.Time) {
		for _, p := range c.sim.healthySince(acked.Add(-healthyPeriod)) {
			if s := p.snapshot.Load(); s != nil && s.Servers != nil && s.Servers.ByID[id] != nil {
				c.reportViolation(p.machine.name, "%s is listed %v after its drain was acknowledged", id,
					propagationTimeout)
			}
		}
	})
}

// callCompleted counts an echo call if it was answered.
func (c *checker) callCompleted(answered bool) {
	if answered {
		c.mu.Lock()
		c.calls++
		c.mu.Unlock()
	}
}

// highestAckedRevision returns the highest revision that was acknowledged to an operator; 0 if there is none.
func (c *checker) highestAckedRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ackedRevision
}
