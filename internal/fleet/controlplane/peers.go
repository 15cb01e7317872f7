package controlplane

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// peerState is what a member knows about a peer.
type peerState struct {
	lastHeartbeat heartbeat // the last heartbeat received from the peer, without NewerView
	knownSince    time.Time // when the entry was created
	// lastContact is the time of the last exchange in which messages passed in both directions; zero if
	// there was none.
	lastContact time.Time
	// contactSince is the time since which the contact has had no interruption; zero if there was no contact.
	contactSince time.Time
	lastSent     time.Time // when the last heartbeat was sent to the peer
	inFlight     bool      // a heartbeat to the peer awaits its response
	// confirmationCalls is the number of confirmation calls to the peer that are under way.
	confirmationCalls int
	// pushFailingSince is the start of the first of the consecutive failed pushes to the peer; zero if pushes
	// don't fail.
	pushFailingSince time.Time
	// lastPushFailure is the time of the last failed push to the peer; zero if none failed.
	lastPushFailure time.Time
	// refusingSince is the time since which the peer's port has refused connections; zero if it does not.
	refusingSince time.Time
	// removedInView is the number of the view in which the peer ceased to be a voter; 0 if there is none.
	removedInView uint64
}

// sinceContact returns the time since the last contact with the peer, or since it became known or this
// process resumed if that was later.
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

// processEnded reports whether the peer's port has refused connections for so long that its process must
// have ended.
func (p *peerState) processEnded(now time.Time) bool {
	return !p.refusingSince.IsZero() && now.Sub(p.refusingSince) >= refusalConfirmation
}

// pushUnreachable reports whether pushes to the peer have failed for so long, and so recently, that it can't
// be a successor in the chain.
func (p *peerState) pushUnreachable(now time.Time) bool {
	return !p.pushFailingSince.IsZero() && now.Sub(p.pushFailingSince) >= contactTimeout &&
		now.Sub(p.lastPushFailure) < voterReplacementDelay
}

func (p *peerState) inContact(now time.Time) bool {
	return !p.lastContact.IsZero() && now.Sub(p.lastContact) < contactTimeout
}

// contacted records a contact that is newer than the last one.
func (p *peerState) contacted(at, resumedAt, now time.Time) {
	interrupted := p.lastContact.IsZero() || at.Sub(p.lastContact) > peerTimeout || p.contactSince.Before(resumedAt)
	if interrupted {
		p.contactSince = now
	}
	if interrupted || !p.refusingSince.IsZero() {
		// The pushes failed because the peer was away, which says nothing about whether they reach it now.
		p.pushFailingSince = time.Time{}
	}
	p.lastContact, p.refusingSince = at, time.Time{}
}

// pushed records whether a push that started at startedAt reached the peer.
func (p *peerState) pushed(startedAt, now time.Time, reached bool) {
	if reached {
		p.pushFailingSince = time.Time{}
		return
	}
	if p.pushFailingSince.IsZero() {
		p.pushFailingSince = startedAt
	}
	p.lastPushFailure = now
}

// refused records that the peer's port refuses connections, if the peer was in contact before.
func (p *peerState) refused(now time.Time) {
	if !p.lastContact.IsZero() && p.refusingSince.IsZero() {
		p.refusingSince = now
	}
}

// peerTable holds what a member knows about its peers. It has an entry for each other voter of the learned
// view and for other processes that sent heartbeats, at most maxPeers in all.
type peerTable struct {
	selfID string
	byID   map[string]*peerState
}

func newPeerTable(selfID string) peerTable {
	return peerTable{selfID: selfID, byID: map[string]*peerState{}}
}

// entry returns the entry of a peer, and adds it if there is none. It returns nil for this process itself,
// and if the table is full.
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

// evict removes peers that are not voters and have timed out.
func (t *peerTable) evict(current *view.View, resumedAt, now time.Time) {
	for id, peer := range t.byID {
		if _, voter := current.Voter(id); !voter && peer.sinceContact(resumedAt, now) > peerTimeout {
			delete(t.byID, id)
		}
	}
}

// votersChanged records which peers ceased to be voters between two views, and adds entries for the new
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

// addVoters adds entries for the voters of a view.
func (t *peerTable) addVoters(current *view.View, resumedAt, now time.Time) {
	for _, voter := range current.Voters {
		t.entry(voter, current, resumedAt, now)
	}
}

// inContact reports whether a peer is in contact. This process itself always is.
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

// reachable returns the IDs of the other voters of a view that are in contact and can be pushed to.
func (t *peerTable) reachable(current *view.View, now time.Time) []string {
	var ids []string
	for _, voter := range current.Voters {
		if peer := t.byID[voter.ID]; peer != nil && peer.inContact(now) && !peer.pushUnreachable(now) {
			ids = append(ids, voter.ID)
		}
	}
	return ids
}

// countChecksums counts the voters in contact whose committed value has the sequence number seq, by its
// checksum: those with the first and those with the second one.
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

// health returns the health of a peer as this process sees it, for planning the next view.
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

// holdsAll reports whether a peer holds every acknowledged update, according to its last heartbeat. A member
// that once held every one continues to do so while it stays in the chain, even if it has not learned the
// later views: nothing was acknowledged in them without this member.
func holdsAll(current *view.View, received *heartbeat) bool {
	position := current.Position(received.Peer.ID)
	if position < 0 {
		return false
	}
	since := current.Chain[position].JoinedIn
	return since == 1 || received.Complete && received.View >= since && received.View <= current.Number
}
