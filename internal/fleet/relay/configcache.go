package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// minSharedBytes is the size from which on a configuration is encoded once for all sessions.
	minSharedBytes = 64 << 10
	// configCacheTTL is how long the encoded message is retained after its last use.
	configCacheTTL = time.Second
)

// configFlags is what the message with a configuration reports of its sender.
type configFlags struct {
	isCore, hasQuorum, complete bool
}

// configCache is the last long configuration, encoded as a message. All sessions that lack it are
// sent the same bytes.
type configCache struct {
	from, to uint64 // versions of the delta
	flags    configFlags
	encoded  []byte // not to be changed; empty: nothing is cached
	lastUsed time.Duration
}

// extract takes a long configuration out of deltas, and returns it as an encoded message and the
// rest. Without one it returns no message and all deltas.
func (c *configCache) extract(now time.Duration, flags configFlags, deltas []deltasync.Delta) (encoded []byte, rest []deltasync.Delta) {
	i := slices.IndexFunc(deltas, func(delta deltasync.Delta) bool { return delta.Source == configSource })
	if i < 0 || len(deltas[i].Items) == 0 || len(deltas[i].Items[0].Data) < minSharedBytes {
		return nil, deltas
	}
	delta := deltas[i]
	if !c.has(&delta, flags) {
		c.from, c.to, c.flags = delta.From, delta.To, flags
		c.encoded = encode(&message{IsCore: flags.isCore, HasQuorum: flags.hasQuorum, Complete: flags.complete, Deltas: []deltasync.Delta{delta}})
	}
	c.lastUsed = now
	return c.encoded, slices.Delete(deltas, i, i+1)
}

// has reports whether the cached message is the one for a delta and flags.
func (c *configCache) has(delta *deltasync.Delta, flags configFlags) bool {
	return len(c.encoded) > 0 && c.from == delta.From && c.to == delta.To && c.flags == flags
}

// expire drops the cached message when no session has needed it for a while.
func (c *configCache) expire(now time.Duration) {
	if now-c.lastUsed > configCacheTTL {
		*c = configCache{}
	}
}
