package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// repair proposes the next repair step of the view when it is this member's turn: the first healthy member
// of the proposer order proposes at once, and each further one later.
func (m *Member) repair(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasQuorumLocked(now) || !m.proposer.ready(now) || m.views.behind() {
		return
	}
	health := m.healthLocked(now)
	m.sendSnapshotLocked(now, health)
	learned := m.views.learned
	step, due := view.Plan(learned, health, m.options.repairPolicy())
	if !due {
		m.proposer.clearPending()
		return
	}
	if m.proposer.due(step, proposerRank(&learned, m.self.ID, health), now) {
		m.proposeLocked(step)
	}
}

// healthLocked returns the health of all known members, by ID, for planning the next view.
func (m *Member) healthLocked(now time.Time) map[string]view.Health {
	learned := &m.views.learned
	health := make(map[string]view.Health, len(m.peers.byID)+1)
	for id, peer := range m.peers.byID {
		health[id] = peer.health(learned, m.pauses.resumedAt, now)
	}
	replica := m.replicaLocked()
	uptime := now.Sub(m.pauses.resumedAt)
	health[m.self.ID] = view.Health{
		Peer:          m.self,
		StableFor:     max(1, uptime),
		DiskUnhealthy: m.diskUnhealthyLocked(now),
		Leaving:       m.leaving,
		ConnectedTo:   m.peers.reachable(learned, now),
		Uptime:        uptime,
		Complete:      replica.Complete(),
		Undecided:     m.acceptor.abandoned(learned.Number, now),
	}
	return health
}

// proposerRank returns the number of healthy voters that propose repairs before the one with the given ID.
func proposerRank(current *view.View, id string, health map[string]view.Health) int {
	rank := 0
	for _, candidate := range proposerOrder(current) {
		if candidate == id {
			break
		}
		if h, known := health[candidate]; known && h.SinceContact < peerTimeout && !h.DiskUnhealthy && !h.Leaving {
			rank++
		}
	}
	return rank
}

// proposerOrder returns the IDs of the voters in the order in which they propose repairs: the members of the
// chain, head first, and then the other voters.
func proposerOrder(current *view.View) []string {
	order := make([]string, 0, len(current.Voters))
	for _, member := range current.Chain {
		order = append(order, member.ID)
	}
	for _, voter := range current.Voters {
		if current.Position(voter.ID) < 0 {
			order = append(order, voter.ID)
		}
	}
	return order
}

// sendSnapshotLocked sends the value directly to a member of the chain that is not complete, if this member
// is the first available one that is complete. The value may be unable to reach that member through the
// chain: a member in between may have failed, and is removed only once the joining member is complete.
func (m *Member) sendSnapshotLocked(now time.Time, health map[string]view.Health) {
	replica := m.replicaLocked()
	if m.sendingSnapshot || !replica.Complete() || now.Sub(m.views.learnedAt) < snapshotDelay {
		return
	}
	members := replica.View.Chain
	for _, predecessor := range members[:replica.View.Position(m.self.ID)] {
		if h := health[predecessor.ID]; h.Complete && isAvailable(h) {
			return
		}
	}
	for _, member := range members {
		if h := health[member.ID]; !h.Complete && isAvailable(h) && m.inViewLocked(member.ID, replica.View.Number) {
			m.sendingSnapshot = true
			m.spawnLocked(func(ctx context.Context) { m.sendSnapshot(ctx, member, replica) })
			return
		}
	}
}

// isAvailable reports whether a member answers and its disk takes writes.
func isAvailable(health view.Health) bool {
	return health.SinceContact < peerTimeout && !health.DiskUnhealthy
}

// inViewLocked reports whether the view with the given number is the one that a peer has learned, according
// to its last heartbeat.
func (m *Member) inViewLocked(id string, number uint64) bool {
	peer := m.peers.byID[id]
	return peer != nil && peer.lastHeartbeat.View == number
}

// sendSnapshot pushes this member's value directly to another member. That member's heartbeats show whether
// the value arrived.
func (m *Member) sendSnapshot(ctx context.Context, to view.Member, replica chain.Replica) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout+transferTime(len(replica.Record.Value.Body)))
	defer cancel()
	push := chain.Push{View: replica.View, Value: replica.Record.Value, Direct: true}
	_, _ = call[pushRequest, pushResponse](ctx, m, to.Addr, callPush, &pushRequest{To: to.ID, Push: push})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendingSnapshot = false
}
