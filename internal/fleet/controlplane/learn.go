package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// View returns the newest view that this member has observed, and whether there is one.
func (m *Member) View() (view.View, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views.newest, m.views.newest.Number > 0
}

// IsVoter reports whether this process is a voter of the view that it has learned.
func (m *Member) IsVoter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views.isVoter(m.self.ID)
}

// handleView handles a viewRequest. It responds with the newest view if the caller has an older one.
func (m *Member) handleView(_ context.Context, request *viewRequest) (*viewResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &viewResponse{View: m.views.newerThan(request.Known)}, nil
}

// handleLearn learns a decided view. It responds once that view or a newer one is on disk.
func (m *Member) handleLearn(ctx context.Context, decided *view.View) (*empty, error) {
	return &empty{}, m.learnView(ctx, decided)
}

// observeView records a view that another process knows. This member acts on it only once it is learned.
func (m *Member) observeView(observed *view.View) {
	if observed == nil || observed.Validate() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.views.observe(observed) {
		m.changed.notify()
		m.wakeTicker()
	}
}

// learnView learns a decided view. If it returns nil, that view or a newer one is on disk. A nil view is
// ignored.
func (m *Member) learnView(ctx context.Context, decided *view.View) error {
	if decided == nil {
		return nil
	}
	if err := decided.Validate(); err != nil {
		return err
	}
	m.observeView(decided)
	m.mu.Lock()
	known := decided.Number <= m.views.learned.Number
	m.mu.Unlock()
	if known {
		return nil
	}
	if err := m.acquireWrite(ctx); err != nil {
		return err
	}
	defer m.releaseWrite()
	return m.persistView(decided)
}

// learnViewOrLog is learnView for callers that don't depend on the result. If the write fails, a later tick
// learns the view.
func (m *Member) learnViewOrLog(ctx context.Context, decided *view.View) {
	err := m.learnView(ctx, decided)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	logged := m.views.shouldLogFailure(now)
	m.mu.Unlock()
	if logged {
		logevent.ViewPersistFailed.Error(err, "view", decided.Number)
	}
}

// learnNewestLocked starts to learn the newest view if it was only observed. If the write fails, later
// ticks try again.
func (m *Member) learnNewestLocked() {
	if !m.views.behind() || m.views.learning {
		return
	}
	m.views.learning = true
	newest := m.views.newest
	m.spawnLocked(func(ctx context.Context) {
		m.learnViewOrLog(ctx, &newest)
		m.mu.Lock()
		m.views.learning = false
		m.mu.Unlock()
	})
}

// persistView writes a decided view to disk and then makes it the learned view. The caller holds the write
// token.
func (m *Member) persistView(decided *view.View) error {
	if decided.Number <= m.views.learned.Number { // changes only while the write token is held
		return nil
	}
	record, err := encode(decided)
	if err != nil {
		return err
	}
	if err := m.disk.Put(keyView, record); err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.views.learned
	m.views.learn(decided, now)
	m.peers.votersChanged(&former, &m.views.learned, m.pauses.resumedAt, now)
	m.proposer.learned(decided.Number)
	m.wakeTicker()
	m.changed.notify()
	logevent.ViewLearned.Log("view", decided.Number, "chain", chainAddresses(m.views.learned))
	m.logShortfallLocked()
	return nil
}

func chainAddresses(v view.View) []string {
	addresses := make([]string, len(v.Chain))
	for i, member := range v.Chain {
		addresses[i] = member.Addr
	}
	return addresses
}

// logShortfallLocked logs which of the tolerated losses the voters of the view would not survive. The same
// shortfall is not logged again.
func (m *Member) logShortfallLocked() {
	shortfall := m.views.learned.Shortfall(m.options.Tolerance)
	if !m.views.isVoter(m.self.ID) || shortfall == m.loggedShortfall {
		return
	}
	m.loggedShortfall = shortfall
	if !shortfall.None() {
		logevent.ToleranceShortfall.Log("view", m.views.learned.Number,
			"voters", len(m.views.learned.Voters), "losses", shortfall.String())
	}
}
