package controlplane

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// HasQuorum reports whether this process is a voter and was in contact with a majority of the voters
// in the last 400 ms.
func (m *Member) HasQuorum() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasQuorumLocked(now)
}

func (m *Member) hasQuorumLocked(now time.Time) bool {
	return m.peers.hasQuorum(&m.views.learned, now)
}

// tickLoop sends heartbeats, watches the disk and repairs the view.
func (m *Member) tickLoop(ctx context.Context) {
	interval := heartbeatInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-m.wakeups:
		case <-ctx.Done():
			return
		}
		interval = m.tick(time.Now(), interval)
		timer.Reset(interval)
	}
}

// tick sends heartbeats, starts disk checks and repairs the view, as far as they are due. interval is the
// scheduled time between the last tick and this one. tick returns the time until the next one.
func (m *Member) tick(now time.Time, interval time.Duration) time.Duration {
	m.mu.Lock()
	m.pauses.tick(now, interval)
	m.sendHeartbeatsLocked(now)
	m.checkDiskLocked(now)
	m.learnNewestLocked()
	interval = heartbeatInterval
	if !m.views.isVoter(m.self.ID) && !m.joiningLocked() {
		interval = idleTickInterval
	}
	m.mu.Unlock()
	m.repair(now)
	return interval
}

// wakeTicker requests an immediate tick.
func (m *Member) wakeTicker() {
	select {
	case m.wakeups <- struct{}{}:
	default: // already requested
	}
}

// joiningLocked reports whether this process asks to become a voter.
func (m *Member) joiningLocked() bool {
	if m.views.learned.Number == 0 || m.leaving || !m.diskMonitor.idPersisted {
		return false
	}
	if m.views.isVoter(m.self.ID) {
		return false
	}
	return m.self.Disk || m.views.learned.InMemory
}

// heartbeatIntervalLocked returns the time between two heartbeats to a voter; 0 if none are sent.
func (m *Member) heartbeatIntervalLocked() time.Duration {
	current := &m.views.learned
	if m.views.isVoter(m.self.ID) {
		return heartbeatInterval
	}
	if !m.joiningLocked() {
		return 0
	}
	isSelf := func(voter view.Peer) bool { return voter.Addr == m.self.Addr }
	if len(current.Voters) >= view.MaxVoters && !slices.ContainsFunc(current.Voters, isSelf) {
		return standbyInterval
	}
	return joiningInterval
}

// sendHeartbeatsLocked starts the heartbeats that are due. Of two voters the one with the lower ID sends
// them, as request and response carry the same information. The other one also sends heartbeats if it was
// not in contact for passiveContactLimit.
func (m *Member) sendHeartbeatsLocked(now time.Time) {
	interval := m.heartbeatIntervalLocked()
	if interval == 0 {
		return
	}
	isVoter := m.views.isVoter(m.self.ID)
	for _, voter := range m.views.learned.Voters {
		peer := m.peers.entry(voter, &m.views.learned, m.pauses.resumedAt, now)
		if peer == nil || peer.inFlight || now.Sub(peer.lastSent) < interval-heartbeatInterval/4 {
			continue
		}
		if isVoter && voter.ID < m.self.ID && now.Sub(peer.lastContact) < passiveContactLimit {
			continue
		}
		peer.inFlight, peer.lastSent = true, now
		m.spawnLocked(func(ctx context.Context) { m.exchangeHeartbeats(ctx, voter, peer) })
	}
}

// exchangeHeartbeats sends a heartbeat to a voter and catches up by its response.
func (m *Member) exchangeHeartbeats(ctx context.Context, voter view.Peer, peer *peerState) {
	answer, err := m.sendHeartbeat(ctx, voter)
	m.mu.Lock()
	peer.inFlight = false
	if errors.Is(err, syscall.ECONNREFUSED) {
		peer.refused(time.Now())
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	m.catchUp(ctx, answer)
}

// sendHeartbeat sends a heartbeat to a peer, and records and returns its response.
func (m *Member) sendHeartbeat(ctx context.Context, to view.Peer) (*heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	m.mu.Lock()
	request := m.heartbeatLocked(to.ID, sentAt)
	m.mu.Unlock()
	answer, err := call[heartbeat, heartbeat](ctx, m, to.Addr, callHeartbeat, request)
	if err != nil {
		return nil, err
	}
	m.recordHeartbeat(answer, sentAt)
	m.observeView(answer.NewerView)
	return answer, nil
}

// handleHeartbeat responds with a heartbeat, which includes the learned view if the sender's is older.
func (m *Member) handleHeartbeat(_ context.Context, request *heartbeat) (*heartbeat, error) {
	now := time.Now()
	m.recordHeartbeat(request, request.contactTime(now))
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.heartbeatLocked(request.Peer.ID, now)
	if request.View < m.views.learned.Number {
		learned := m.views.learned
		answer.NewerView = &learned
	}
	if m.register.lags(request) || m.register.diverges(request) {
		received := *request
		received.NewerView = nil
		m.spawnLocked(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			m.catchUp(ctx, &received)
		})
	}
	return answer, nil
}

// contactTime returns the time at which, according to the sender, it was last in contact with the receiver;
// zero if it never was, or not within maxContactAge.
func (h *heartbeat) contactTime(now time.Time) time.Time {
	if h.ContactAgeMs < 0 || h.ContactAgeMs >= maxContactAge.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(h.ContactAgeMs) * time.Millisecond)
}

// recordHeartbeat records a heartbeat of a peer. contactAt is a time at which the peer was in contact with
// this process; zero if none is known.
func (m *Member) recordHeartbeat(received *heartbeat, contactAt time.Time) {
	if received.Peer.ID == "" || received.Peer.Addr == "" || len(received.ConnectedTo) > maxPeers {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peer := m.peers.entry(received.Peer, &m.views.learned, m.pauses.resumedAt, now)
	if peer == nil {
		return
	}
	peer.lastHeartbeat = *received
	peer.lastHeartbeat.NewerView = nil
	if !contactAt.IsZero() && contactAt.After(peer.lastContact) {
		peer.contacted(contactAt, m.pauses.resumedAt, now)
	}
}

// heartbeatLocked returns the heartbeat to send to a peer.
func (m *Member) heartbeatLocked(to string, now time.Time) *heartbeat {
	learned := &m.views.learned
	replica := m.replicaLocked()
	message := &heartbeat{
		Peer:              m.self,
		View:              learned.Number,
		Accepted:          m.acceptor.undecided(learned.Number),
		Abandoned:         m.acceptor.abandoned(learned.Number, now),
		CommittedSeq:      m.register.committed.Seq,
		CommittedChecksum: m.register.checksum,
		ConnectedTo:       m.peers.reachable(learned, now),
		DiskUnhealthy:     m.diskUnhealthyLocked(now),
		Leaving:           m.leaving,
		Complete:          replica.Complete(),
		ContactAgeMs:      -1,
		UptimeMs:          now.Sub(m.pauses.resumedAt).Milliseconds(),
	}
	if peer := m.peers.byID[to]; peer != nil && !peer.lastContact.IsZero() {
		message.ContactAgeMs = now.Sub(peer.lastContact).Milliseconds()
	}
	return message
}
