package relay

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// initialUpdateTTL is how long an encoded initial update is used for further sessions. Changes since then follow
// in the update after it.
const initialUpdateTTL = 250 * time.Millisecond

// initialUpdate holds the items of all agents, encoded as one message. After a restart of the whole fleet a relay
// sends the same items to every agent; compressing them for each one would take most of its processor time.
type initialUpdate struct {
	form    configForm
	vector  deltasync.Vector // the versions that the items are of; empty if nothing is cached
	encoded []byte           // must not be changed
	builtAt time.Duration
}

// initialUpdateLocked returns an encoded message with the items of all agents for a session whose peer lacks
// most of them, and records that the peer was sent them. It returns nil for any other session, and if the items are
// few. Members of the core get none, as they judge by the first message whether its sender is complete.
func (n *Node) initialUpdateLocked(s *session, form configForm) []byte {
	if s.peerIsCore || s.initialUpdateChecked || !form.isCore || !form.compressed {
		return nil
	}
	s.initialUpdateChecked = true
	if !n.lacksMostSourcesLocked(s) {
		return nil
	}
	cache := &n.initialUpdate
	if cache.form != form || len(cache.vector) == 0 || n.now()-cache.builtAt > initialUpdateTTL {
		n.buildInitialUpdateLocked(form)
	}
	for source, version := range cache.vector {
		s.sentVersions[source] = max(s.sentVersions[source], version)
	}
	return cache.encoded
}

// lacksMostSourcesLocked reports whether the peer of a session lacks the larger part of the sources completely.
func (n *Node) lacksMostSourcesLocked(s *session) bool {
	present := 0
	for source, version := range s.sentVersions {
		if version > 0 && n.items.Version(source) > 0 {
			present++
		}
	}
	return 2*present < n.items.SourceCount()
}

// buildInitialUpdateLocked encodes the items of all agents. If they are few, it caches an empty update.
func (n *Node) buildInitialUpdateLocked(form configForm) {
	var deltas []deltasync.Delta
	vector := deltasync.Vector{}
	for _, delta := range n.items.DeltasSince(nil) {
		if delta.Source != configSource {
			deltas = append(deltas, delta)
			vector[delta.Source] = delta.To
		}
	}
	n.initialUpdate = initialUpdate{form: form, builtAt: n.now()}
	if dataSize(deltas) < minCompressedBytes {
		return
	}
	m := form.message(deltas)
	n.codec.compress(m)
	n.initialUpdate.vector, n.initialUpdate.encoded = vector, encode(m)
}

// expire drops an encoded update that is no longer used.
func (u *initialUpdate) expire(now time.Duration) {
	if now-u.builtAt > initialUpdateTTL {
		*u = initialUpdate{}
	}
}
