package relay

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

const (
	// endRetention is how long a node keeps announcing that a source has ended.
	endRetention = 60 * time.Second
	// incarnationBytes is the number of random bytes that distinguish the incarnations of one agent.
	incarnationBytes = 6
)

// endAnnouncements maps each source that this node announces as ended to the time of the announcement.
type endAnnouncements map[string]time.Duration

// takeOld removes and returns the sources that have been announced for longer than endRetention.
func (e endAnnouncements) takeOld(now time.Duration) (sources []string) {
	for source, since := range e {
		if now-since > endRetention {
			delete(e, source)
			sources = append(sources, source)
		}
	}
	return sources
}

// newSourceName returns the source name for a new incarnation of this agent.
func (n *Node) newSourceName() string {
	var randomBytes [incarnationBytes]byte
	_, _ = rand.Read(randomBytes[:]) // never fails
	return n.options.Self.Name + "/" + hex.EncodeToString(randomBytes[:])
}

// startIncarnationLocked replaces the own source by a new one with the same servers, leases and member entry.
// It is called when other agents have ended the old source, or when that has too many tombstones. It closes all
// sessions, as they were started under the old name and track its versions.
func (n *Node) startIncarnationLocked() {
	now, oldSource := n.now(), n.items.OwnSource()
	logevent.OwnLeaseExpired.Log("old", oldSource)
	n.items.StartIncarnation(n.newSourceName())
	n.initialUpdate = initialUpdate{} // it holds items of the old source
	newSource := n.items.OwnSource()
	n.leases.Remove(now, oldSource)
	delete(n.members, oldSource)
	n.servers.RenameOwnSource(now, newSource)
	for source := range n.leases.granted {
		n.leases.Grant(now, source, newSource)
	}
	for s := range n.sessions {
		s.cancel()
		delete(n.sessions, s)
	}
	n.publishMemberLocked()
}

// endSourceLocked ends a source on this node. If it is the own source, the other agents consider this agent
// dead, and this node starts a new incarnation unless it is departing.
func (n *Node) endSourceLocked(source string) {
	if source == n.items.OwnSource() {
		if !n.departing {
			n.startIncarnationLocked()
		}
		return
	}
	if n.items.Ended(source) {
		return
	}
	now := n.now()
	n.items.EndSource(source)
	n.leases.Remove(now, source)
	delete(n.members, source)
	n.servers.SourceEnded(now, source)
	n.sessions.forgetSource(source)
	n.initialUpdate = initialUpdate{} // it may hold items of the source
}

// publishEndLocked announces that a source has ended. Only members of the core announce ends.
func (n *Node) publishEndLocked(source string) {
	if _, announced := n.ends[source]; announced || !n.options.Self.IsCore {
		return
	}
	n.ends[source] = n.now()
	n.publishItemLocked(endPrefix+source, presentData)
}

// withdrawOldEndsLocked stops announcing ends that have been announced for longer than endRetention.
func (n *Node) withdrawOldEndsLocked(now time.Duration) {
	for _, source := range n.ends.takeOld(now) {
		n.publishItemLocked(endPrefix+source, nil)
	}
}
