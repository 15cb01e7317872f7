package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// minSharedBytes is the minimum size of a configuration that is encoded once for all sessions.
	minSharedBytes = 64 << 10
	// configCacheTTL is how long the encoded message is retained after its last use.
	configCacheTTL = time.Second
)

// configForm is what may differ between two messages with the same configuration: the status of the sender,
// and whether the message is compressed.
type configForm struct {
	isCore, hasQuorum, complete bool
	compressed                  bool
}

// configCache holds the most recent large configuration, encoded as a message, so that the same bytes are
// sent on all sessions that lack it.
type configCache struct {
	from, to uint64 // versions of the delta
	form     configForm
	encoded  []byte // must not be changed; empty if nothing is cached
	lastUsed time.Duration
}

// extract removes a large configuration from deltas. It returns the configuration as an encoded message,
// and the remaining deltas. If there is no large configuration, it returns no message and all deltas.
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
	m := form.message([]deltasync.Delta{delta})
	if form.compressed {
		codec.compress(m)
	}
	return encode(m)
}

// message returns a message with deltas whose sender has the form's status.
func (form configForm) message(deltas []deltasync.Delta) *message {
	return &message{IsCore: form.isCore, HasQuorum: form.hasQuorum, Complete: form.complete, Deltas: deltas}
}

// has reports whether the cached message carries the given delta in the given form.
func (c *configCache) has(delta *deltasync.Delta, form configForm) bool {
	return len(c.encoded) > 0 && c.from == delta.From && c.to == delta.To && c.form == form
}

// expire drops the cached message if it has not been used for configCacheTTL.
func (c *configCache) expire(now time.Duration) {
	if now-c.lastUsed > configCacheTTL {
		*c = configCache{}
	}
}
