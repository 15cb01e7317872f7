package controlplane

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// handoverProgress is the state of a handover.
type handoverProgress uint8

const (
	handoverDone    handoverProgress = iota // the other members don't need this one
	handoverWaiting                         // a step is under way, or another member may take over
	handoverBlocked                         // there is no step to take or to wait for
)

// String returns the name of the state.
func (p handoverProgress) String() string {
	switch p {
	case handoverDone:
		return "done"
	case handoverWaiting:
		return "waiting"
	default:
		return "blocked"
	}
}

// Handover prepares the shutdown of the process: it removes this member from the chain and gives its vote
// to another process, as far as the remaining members suffice. While they are too few, it waits for a
// process that is joining or may return. It returns once this member is removed and the others have learned
// that, when there is nothing to wait for, or when ctx ends.
func (m *Member) Handover(ctx context.Context) {
	m.mu.Lock()
	joining := m.joiningLocked()
	m.leaving = true
	learned := m.views.learned
	m.mu.Unlock()
	_, voter := learned.Voter(m.self.ID)
	if !voter && !joining {
		return
	}
	m.announceLeaving(ctx, learned)
	if joining && !m.awaitAdmission(ctx) {
		return
	}
	for idle := 0; ctx.Err() == nil && idle < maxIdleHandoverSteps; {
		changed, progress := m.handoverStep(time.Now())
		switch progress {
		case handoverDone:
			m.announceUntilLearned(ctx)
			return
		case handoverWaiting:
			idle = 0
		case handoverBlocked:
			idle++
		}
		wait(ctx, handoverPollInterval, changed)
	}
}

// announceLeaving notifies the voters that this member is shutting down before it is removed, so that none
// of them adds it again. A voter that misses this may add it and remove it again.
func (m *Member) announceLeaving(ctx context.Context, current view.View) {
	ctx, cancel := context.WithTimeout(ctx, leavingNoticeTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, voter := range current.Voters {
		if voter.ID != m.self.ID {
			sent.Go(func() { _, _ = m.sendHeartbeat(ctx, voter) })
		}
	}
	sent.Wait()
}

// awaitAdmission waits for phaseTimeout at most and reports whether this joining process became a voter. A
// proposal that adds it may have been under way before the voters knew that it is shutting down.
func (m *Member) awaitAdmission(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		voter := m.views.isVoter(m.self.ID)
		changed := m.changed.wait()
		m.mu.Unlock()
		if voter {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// handoverStep proposes the next step of a handover if one is due. The returned channel is closed by the
// next change of the views or of the committed value.
func (m *Member) handoverStep(now time.Time) (<-chan struct{}, handoverProgress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed, learned := m.changed.wait(), m.views.learned
	if !m.views.isVoter(m.self.ID) {
		return changed, handoverDone
	}
	if m.proposer.active {
		return changed, handoverWaiting
	}
	health := m.healthLocked(now)
	inChain := learned.Position(m.self.ID) >= 0
	mayLeave := view.MayLeave(learned, m.self.ID, health, m.options.repairPolicy())
	if !inChain && mayLeave {
		return changed, handoverDone
	}
	if m.proposer.ready(now) && m.hasQuorumLocked(now) {
		step, due := view.Plan(learned, health, m.options.repairPolicy())
		if due && (inChain || step.View == nil || step.RemovedVoter == m.self.ID) {
			m.proposeLocked(step)
			return changed, handoverWaiting
		}
	}
	if inChain && !mayLeave {
		return changed, handoverWaiting
	}
	return changed, handoverBlocked
}

// announceUntilLearned sends the learned view to its voters. Until they have learned it, the decision may
// be known to this process alone, and its vote would be needed to recover it. Calls to voters that don't
// answer are repeated until a majority has learned the view.
func (m *Member) announceUntilLearned(ctx context.Context) {
	m.mu.Lock()
	learned := m.views.learned.Clone()
	m.mu.Unlock()
	missing := m.announceAndWait(ctx, learned, learned.Voters)
	for len(missing) > 0 && ctx.Err() == nil {
		missing = m.announceAndWait(ctx, learned, missing)
		if len(learned.Voters)-len(missing) >= learned.Quorum() {
			return
		}
		wait(ctx, announceRetryDelay, nil)
	}
}

// announceAndWait announces a view to voters, and returns those that did not acknowledge it.
func (m *Member) announceAndWait(ctx context.Context, decided view.View, voters []view.Peer) (missing []view.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	acknowledged := make([]bool, len(voters))
	var sent sync.WaitGroup
	for i, voter := range voters {
		if voter.ID == m.self.ID {
			acknowledged[i] = true
			continue
		}
		sent.Go(func() {
			_, err := call[view.View, empty](ctx, m, voter.Addr, callLearn, &decided)
			acknowledged[i] = err == nil
		})
	}
	sent.Wait()
	for i, voter := range voters {
		if !acknowledged[i] {
			missing = append(missing, voter)
		}
	}
	return missing
}
