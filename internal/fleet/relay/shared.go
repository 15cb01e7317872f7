package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// minSharedBytes is from how many bytes on a configuration is encoded once for all sessions.
	minSharedBytes = 64 << 10
	// configCacheTTL is how long the encoded message is kept after its last use.
	configCacheTTL = time.Second
)

// configCache is the last configuration that was sent, encoded with what this process said of itself.
type configCache struct {
	from, to           uint64
	core, linked, full bool
	encoded            []byte
	lastUsed           time.Duration
}

// extractConfigLocked takes a long configuration out of deltas and returns it as an encoded message that says
// of this process what flags does. The hub's lock is held.
func (h *Node) extractConfigLocked(flags *message, deltas []deltasync.Delta) (encoded []byte, rest []deltasync.Delta) {
	i := slices.IndexFunc(deltas, func(d deltasync.Delta) bool { return d.Source == configSource })
	if i < 0 || len(deltas[i].Items) == 0 || len(deltas[i].Items[0].Data) < minSharedBytes {
		return nil, deltas
	}
	config := deltas[i]
	next := configCache{from: config.From, to: config.To, core: flags.IsCore, linked: flags.HasQuorum, full: flags.Complete,
		encoded: h.configCache.encoded, lastUsed: h.now()}
	if !h.configCache.matches(&next) {
		next.encoded = encode(&message{IsCore: flags.IsCore, HasQuorum: flags.HasQuorum, Complete: flags.Complete, Deltas: []deltasync.Delta{config}})
	}
	h.configCache = next
	return next.encoded, slices.Delete(deltas, i, i+1)
}

// matches tells whether the message is the one that another needs.
func (s *configCache) matches(other *configCache) bool {
	return len(s.encoded) > 0 && s.from == other.from && s.to == other.to &&
		s.core == other.core && s.linked == other.linked && s.full == other.full
}

// expireEncodedConfigLocked forgets the encoded message when nobody has needed it for a while. The hub's lock is held.
func (h *Node) expireEncodedConfigLocked(now time.Duration) {
	if now-h.configCache.lastUsed > configCacheTTL {
		h.configCache = configCache{}
	}
}
