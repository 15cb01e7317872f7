package relay

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

const (
	// shareFrom is from how many bytes on a configuration is encoded once for all sessions.
	shareFrom = 64 << 10
	// sharedFor is how long the encoded message is kept after its last use.
	sharedFor = time.Second
)

// sharedMessage is the last configuration that was sent, encoded with what this process said of itself.
type sharedMessage struct {
	from, upto         uint64
	core, linked, full bool
	message            []byte
	used               time.Duration
}

// shareConfig takes a long configuration out of deltas and returns it as an encoded message that says
// of this process what flags does. The hub's lock is held.
func (h *Hub) shareConfig(flags *message, deltas []deltasync.Delta) (encoded []byte, rest []deltasync.Delta) {
	i := slices.IndexFunc(deltas, func(d deltasync.Delta) bool { return d.Source == configSource })
	if i < 0 || len(deltas[i].Items) == 0 || len(deltas[i].Items[0].Data) < shareFrom {
		return nil, deltas
	}
	config := deltas[i]
	next := sharedMessage{from: config.From, upto: config.Upto, core: flags.Core, linked: flags.Linked, full: flags.Full,
		message: h.shared.message, used: h.now()}
	if !h.shared.isFor(&next) {
		next.message = encode(&message{Core: flags.Core, Linked: flags.Linked, Full: flags.Full, Deltas: []deltasync.Delta{config}})
	}
	h.shared = next
	return next.message, slices.Delete(deltas, i, i+1)
}

// isFor tells whether the message is the one that another needs.
func (s *sharedMessage) isFor(other *sharedMessage) bool {
	return len(s.message) > 0 && s.from == other.from && s.upto == other.upto &&
		s.core == other.core && s.linked == other.linked && s.full == other.full
}

// dropShared forgets the encoded message when nobody has needed it for a while. The hub's lock is held.
func (h *Hub) dropShared(now time.Duration) {
	if now-h.shared.used > sharedFor {
		h.shared = sharedMessage{}
	}
}
