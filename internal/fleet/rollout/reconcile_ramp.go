package rollout

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// admitNewServers begins to ramp up new servers that have the target revision.
func (r *reconciliation) admitNewServers() {
	for i := range r.observation.Servers {
		s := &r.observation.Servers[i]
		if s.State != registry.Ready || r.record.draining(s.ID) != nil {
			continue
		}
		if s.Revision == r.record.targetRevision() {
			r.admitNewServer(s)
			continue
		}
		// A server that was handed over before a rollback comes up with the new revision: it is drained.
		if r.record.Phase == PhaseRollback && s.Revision == r.record.Spec.To && r.matchReplacement(s, true) {
			r.startDrain(s, DrainClosed)
		}
	}
}

func (r *reconciliation) admitNewServer(s *Server) {
	if r.record.hasFullShare(s.ID) || r.record.ramping(s.ID) != nil || len(r.record.Ramping) >= maxInTransition {
		return
	}
	r.markChanged()
	r.matchReplacement(s, false)
	r.record.Ramping = append(r.record.Ramping, RampingServer{ID: s.ID, Step: RampWarming, Since: r.record.Version})
	slices.SortFunc(r.record.Ramping, func(a, b RampingServer) int { return strings.Compare(a.ID, b.ID) })
	r.record.Replaced++
}

// matchReplacement ends the drain of the server that s replaces: the one at its address or, unless exact
// is set, one of its zone or else any. It returns false if there is no such drain.
func (r *reconciliation) matchReplacement(s *Server, exact bool) bool {
	const anywhere, sameZone, sameAddr = 1, 2, 3
	best, bestMatch := -1, 0
	for i, d := range r.record.Draining {
		match := anywhere
		switch {
		case d.Step != DrainReplacing:
			continue
		case d.Addr == s.Addr:
			match = sameAddr
		case exact:
			continue
		case d.Zone == s.Zone:
			match = sameZone
		}
		if match > bestMatch {
			best, bestMatch = i, match
		}
	}
	if best < 0 {
		return false
	}
	r.markChanged()
	r.record.Draining = slices.Delete(r.record.Draining, best, best+1)
	return true
}

// advanceRamping advances all ramps and removes those that are over.
func (r *reconciliation) advanceRamping() {
	var remaining []RampingServer
	for _, ramping := range r.record.Ramping {
		if r.advanceRamp(&ramping) {
			remaining = append(remaining, ramping)
		}
	}
	r.record.Ramping = remaining
}

// advanceRamp advances a ramp by at most one step. It returns false if the ramp is over.
func (r *reconciliation) advanceRamp(ramping *RampingServer) bool {
	s := r.servers[ramping.ID]
	if s == nil || s.State != registry.Ready {
		r.markChanged()
		return false
	}
	age := r.now - r.stepSince(ramping.ID, ramping.Step.String())
	if blocker := r.rampBlocker(ramping, age); blocker != nil {
		r.addWaitReason("%s stays at %s: %v", ramping.ID, ramping.Step, blocker)
		return true
	}
	r.markChanged()
	if ramping.Step == RampThird {
		r.record.addFullShare(ramping.ID)
		return false
	}
	ramping.Step, ramping.Since = ramping.Step+1, r.record.Version
	return true
}

// rampBlocker returns the reason why a server does not get its next share yet, or nil.
func (r *reconciliation) rampBlocker(ramping *RampingServer, age time.Duration) error {
	stage := seconds(r.record.Spec.Pace.StageSeconds)
	switch {
	case r.record.Paused:
		return errors.New("paused")
	case !r.acknowledged(ramping.Since):
		return errors.New(r.laggingAgents(ramping.Since))
	case age < stage:
		return errors.Errorf("for %v more", (stage - age).Round(time.Second))
	case r.record.Phase == PhaseRollback:
		return nil
	}
	if err := r.checkServerRequests(ramping); err != nil {
		return err
	}
	switch {
	case r.record.Verified || ramping.Step == RampWarming:
	case r.verdict.Ruling == RulingInconclusive: // until the new revision has passed once, servers wait here
		return errors.New(r.verdict.Reason)
	case r.verdict.Ruling == RulingPass:
		r.markChanged()
		r.record.Verified = true
	}
	return nil
}

// checkServerRequests returns an error if the server has served too few requests at its step, or if the
// number of failed ones is more than three standard deviations above what is tolerated.
func (r *reconciliation) checkServerRequests(ramping *RampingServer) error {
	const deviations, slack = 3, 0.005
	spec := &r.record.Spec.Judge
	var counts Counts
	if reported := r.observation.Reports.serverCounts[ramping.ID]; reported != nil {
		counts = *reported
	}
	baseline := r.stepBaseline[stepKey{ramping.ID, ramping.Step.String()}]
	served, failed := counts.Attempts-baseline.Attempts, counts.Failed-baseline.Failed
	if served < spec.MinServerRequests {
		return errors.Errorf("it served %d of %d requests", served, spec.MinServerRequests)
	}
	tolerated := float64(served) * (spec.MaxFailureIncrease + slack)
	if float64(failed) > tolerated+deviations*math.Sqrt(tolerated) {
		return errors.Errorf("%d of its %d requests failed", failed, served)
	}
	return nil
}
