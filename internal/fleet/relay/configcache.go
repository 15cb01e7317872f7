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

// configForm is the form of the message with a configuration: what it reports of its sender, and whether it
// is compressed.
type configForm struct {
	isCore, hasQuorum, complete bool
	compressed                  bool
}

// configCache is the last long configuration, encoded as a message. All sessions that lack it are
// sent the same bytes.
type configCache struct {
	from, to uint64 // versions of the delta
	form     configForm
	encoded  []byte // not to be changed; empty: nothing is cached
	lastUsed time.Duration
}

// extract takes a long configuration out of deltas, and returns it as an encoded message and the
// rest. Without one it returns no message and all deltas.
func (c *configCache) extract(now time.Duration, codec *deltaCodec, form configForm, deltas []deltasync.Delta) (encoded []byte, rest []deltasync.Delta) {
	i := slices.IndexFunc(deltas, func(delta deltasync.Delta) bool { return delta.Source == configSource })
	if i < 0 || len(deltas[i].Items) == 0 || len(deltas[i].Items[0].Data) < minSharedBytes {
		return nil, deltas
	}
	delta := deltas[i]
	if !c.has(&delta, form) {
		c.from, c.to, c.form = delta.From, delta.To, form
		c.encoded = form.encode(codec, delta)
	}
	c.lastUsed = now
	return c.encoded, slices.Delete(deltas, i, i+1)
}

// encode returns the encoded message with a delta.
func (form configForm) encode(codec *deltaCodec, delta deltasync.Delta) []byte {
	m := &message{IsCore: form.isCore, HasQuorum: form.hasQuorum, Complete: form.complete, Deltas: []deltasync.Delta{delta}}
	if form.compressed {
		codec.compress(m)
	}
	return encode(m)
}

// has reports whether the cached message is the one for a delta in a form.
func (c *configCache) has(delta *deltasync.Delta, form configForm) bool {
	return len(c.encoded) > 0 && c.from == delta.From && c.to == delta.To && c.form == form
}

// expire drops the cached message when no session has needed it for a while.
func (c *configCache) expire(now time.Duration) {
	if now-c.lastUsed > configCacheTTL {
		*c = configCache{}
	}
}
