package controlplane

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// peerState is what a member knows of another one.
type peerState struct {
	lastHeartbeat heartbeat // the last one received, without a view
	knownSince    time.Time
	// lastContact is when the peer was last known to receive from this process and to be received.
	lastContact time.Time
	// contactSince is since when that has gone on without a break.
	contactSince time.Time
	lastSent     time.Time // of the last heartbeat that was sent to it
	inFlight     bool      // a heartbeat to it has no answer yet
	// confirmationCalls is how many calls for confirmation to it are under way.
	confirmationCalls int
	// pushFailingSince is since when pushes to it have failed, zero: they don't. lastPushFailure is
	// when the last of them did.
	pushFailingSince time.Time
	lastPushFailure  time.Time
	// refusingSince is since when its port refuses connections; zero: it does not.
	refusingSince time.Time
	// removedInView is the number of the view in which it ceased to be a voter; 0: it was none.
	removedInView uint64
}

// sinceContact is for how long the peer has not been in contact, counted from when this process resumed at
// the earliest.
func (p *peerState) sinceContact(resumedAt, now time.Time) time.Duration {
	last := p.lastContact
	if last.Before(p.knownSince) {
		last = p.knownSince
	}
	if last.Before(resumedAt) {
		last = resumedAt
	}
	return max(0, now.Sub(last))
}

// processEnded reports whether the peer's machine refuses connections for so long that its process
// must have ended.
func (p *peerState) processEnded(now time.Time) bool {
	return !p.refusingSince.IsZero() && now.Sub(p.refusingSince) >= refusalConfirmation
}

// pushUnreachable reports whether pushes to the peer fail for so long, and so lately, that it can be no
// successor in the chain.
func (p *peerState) pushUnreachable(now time.Time) bool {
	return !p.pushFailingSince.IsZero() && now.Sub(p.pushFailingSince) >= contactTimeout &&
		now.Sub(p.lastPushFailure) < voterReplacementDelay
}

func (p *peerState) inContact(now time.Time) bool {
	return !p.lastContact.IsZero() && now.Sub(p.lastContact) < contactTimeout
}

// contacted notes a contact that is newer than the last one.
func (p *peerState) contacted(at, resumedAt, now time.Time) {
	interrupted := p.lastContact.IsZero() || at.Sub(p.lastContact) > peerTimeout || p.contactSince.Before(resumedAt)
	if interrupted {
		p.contactSince = now
	}
	if interrupted || !p.refusingSince.IsZero() {
		// The pushes failed because the peer was away: they tell nothing of the way to it now.
		p.pushFailingSince = time.Time{}
	}
	p.lastContact, p.refusingSince = at, time.Time{}
}

// pushed notes whether a push that was begun at a time reached the peer.
func (p *peerState) pushed(begun, now time.Time, reached bool) {
	if reached {
		p.pushFailingSince = time.Time{}
		return
	}
	if p.pushFailingSince.IsZero() {
		p.pushFailingSince = begun
	}
	p.lastPushFailure = now
}

// refused notes that the peer's port refuses connections, if it accepted them before.
func (p *peerState) refused(now time.Time) {
	if !p.lastContact.IsZero() && p.refusingSince.IsZero() {
		p.refusingSince = now
	}
}

// peerTable is what a member knows of the others. It has an entry for each voter of the learned view
// and for other processes that sent heartbeats, at most maxPeers.
type peerTable struct {
	selfID string
	byID   map[string]*peerState
}

func newPeerTable(selfID string) peerTable {
	return peerTable{selfID: selfID, byID: map[string]*peerState{}}
}

// entry is the entry of a peer, which is made if there is none; nil for this process itself, and
// where the table is full.
func (t *peerTable) entry(peer view.Peer, current *view.View, resumedAt, now time.Time) *peerState {
	if peer.ID == t.selfID {
		return nil
	}
	if known := t.byID[peer.ID]; known != nil {
		return known
	}
	if len(t.byID) >= maxPeers {
		t.evict(current, resumedAt, now)
	}
	if len(t.byID) >= maxPeers {
		return nil
	}
	added := &peerState{knownSince: now, lastHeartbeat: heartbeat{Peer: peer}}
	t.byID[peer.ID] = added
	return added
}

// evict removes peers that are no voters and timed out.
func (t *peerTable) evict(current *view.View, resumedAt, now time.Time) {
	for id, peer := range t.byID {
		if _, voter := current.Voter(id); !voter && peer.sinceContact(resumedAt, now) > peerTimeout {
			delete(t.byID, id)
		}
	}
}

// votersChanged notes which peers ceased to be voters between two views, and makes entries for the new
// voters.
func (t *peerTable) votersChanged(former, current *view.View, resumedAt, now time.Time) {
	for _, voter := range former.Voters {
		peer := t.byID[voter.ID]
		if _, remains := current.Voter(voter.ID); peer != nil && !remains {
			peer.removedInView = current.Number
		}
	}
	t.addVoters(current, resumedAt, now)
}

// addVoters makes entries for the voters of a view.
func (t *peerTable) addVoters(current *view.View, resumedAt, now time.Time) {
	for _, voter := range current.Voters {
		t.entry(voter, current, resumedAt, now)
	}
}

// inContact reports whether a peer is in contact, as this process itself always is.
func (t *peerTable) inContact(id string, now time.Time) bool {
	if id == t.selfID {
		return true
	}
	peer := t.byID[id]
	return peer != nil && peer.inContact(now)
}

// hasQuorum reports whether this process is a voter of a view and in contact with a majority of its
// voters, itself included.
func (t *peerTable) hasQuorum(current *view.View, now time.Time) bool {
	inContact := 0
	for _, voter := range current.Voters {
		if t.inContact(voter.ID, now) {
			inContact++
		}
	}
	_, voter := current.Voter(t.selfID)
	return voter && inContact >= current.Quorum()
}

// reachable are the other voters of a view that are in contact and can be pushed to.
func (t *peerTable) reachable(current *view.View, now time.Time) []string {
	var ids []string
	for _, voter := range current.Voters {
		if peer := t.byID[voter.ID]; peer != nil && peer.inContact(now) && !peer.pushUnreachable(now) {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}

// countChecksums counts the voters in contact whose committed value of a sequence number has one
// checksum, and those where it has the other.
func (t *peerTable) countChecksums(current *view.View, seq, first, second uint64, now time.Time) (withFirst, withSecond int) {
	for _, voter := range current.Voters {
		peer := t.byID[voter.ID]
		if peer == nil || !peer.inContact(now) || peer.lastHeartbeat.CommittedSeq != seq {
			continue
		}
		switch peer.lastHeartbeat.CommittedChecksum {
		case first:
			withFirst++
		case second:
			withSecond++
		}
	}
	return withFirst, withSecond
}

// health is the health of a peer as this process sees it, for the planning of a view.
func (p *peerState) health(current *view.View, resumedAt, now time.Time) view.Health {
	received := &p.lastHeartbeat
	health := view.Health{
		Peer:          received.Peer,
		SinceContact:  p.sinceContact(resumedAt, now),
		DiskUnhealthy: received.DiskUnhealthy,
		Leaving:       received.Leaving,
		ConnectedTo:   received.ConnectedTo,
		Uptime:        time.Duration(received.UptimeMs) * time.Millisecond,
		Undecided:     received.Abandoned && received.Accepted == current.Number+1,
		MissedRemoval: received.View < p.removedInView,
		Complete:      holdsAll(current, received),
	}
	if p.processEnded(now) {
		health.SinceContact = max(health.SinceContact, peerTimeout)
	}
	if health.SinceContact < peerTimeout && !p.lastContact.IsZero() && !p.contactSince.Before(resumedAt) {
		health.StableFor = max(1, now.Sub(p.contactSince))
	}
	return health
}

// holdsAll reports whether a peer holds all that was acknowledged, by its last heartbeat. A member
// that did holds it for as long as it stays in the chain, also where it has not learned the later
// views: nothing was acknowledged in these without it.
func holdsAll(current *view.View, received *heartbeat) bool {
	position := current.Position(received.Peer.ID)
	if position < 0 {
		return false
	}
	since := current.Chain[position].JoinedIn
	return since == 1 || received.Complete && received.View >= since && received.View <= current.Number
}
