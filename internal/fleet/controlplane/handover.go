package controlplane

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// handoverProgress is how far a handover is.
type handoverProgress uint8

const (
	handoverDone    handoverProgress = iota // the others don't need this member
	handoverWaiting                         // a step is under way, or another member may take over
	handoverBlocked                         // nothing can be done
)

// String is the progress's name.
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

// Handover prepares the end of the process: this member is left out of the chain and its vote is given
// to another one, as far as the others are enough. While they are too few it waits for one that is
// joining or may return. It returns once this member is out and the others have learned that, when
// there is nothing to wait for, or with ctx.
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

// announceLeaving tells the voters that this member is shutting down, before it is left out, so that
// none adds it again. One that misses it adds and drops it again.
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

// awaitAdmission reports whether a joining process that is shutting down became a voter by a proposal
// that was under way before the others knew.
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

// handoverStep proposes the next step of a handover. The channel is closed by the next change of the
// view.
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

// announceUntilLearned has the voters of the newest view learn it. Until they have, the decision may
// be known to this process alone, and its vote would be needed to find it out. Voters that don't
// answer are asked again, until a majority has learned it.
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
