package relay

import (
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// maxVectorEntries bounds the version vector of a hello.
	maxVectorEntries = 8192
	// maxNameBytes bounds names and addresses that a peer sends.
	maxNameBytes = 512
)

var (
	errInvalidHello  = errors.New("session must begin with a hello that has a source and an address")
	errHelloTooLarge = errors.New("hello is too large")
)

// hello is the first message that each side of a session sends.
type hello struct {
	Source string           `msgpack:"s"`
	Addr   string           `msgpack:"a"`
	IsCore bool             `msgpack:"c"` // the sender is a member of the core
	Vector deltasync.Vector `msgpack:"v"` // the versions that the sender has
	// AcceptsZstd reports whether the sender can read CompressedDeltas. Program versions that cannot omit it.
	AcceptsZstd bool `msgpack:"z,omitempty"`
	// AcceptsConfigDiffs reports whether the sender accepts ConfigDiff. After a diff that it could not apply,
	// it accepts none until it has received a configuration.
	AcceptsConfigDiffs bool `msgpack:"d,omitempty"`
}

// validate returns an error for a hello that no correct peer sends. A nil hello is invalid.
func (h *hello) validate() error {
	switch {
	case h == nil || !isAgentSource(h.Source) || h.Addr == "":
		return errInvalidHello
	case max(len(h.Source), len(h.Addr)) > maxNameBytes || len(h.Vector) > maxVectorEntries:
		return errHelloTooLarge
	}
	return nil
}

// newHelloLocked returns this node's hello.
func (n *Node) newHelloLocked(isCore bool) *hello {
	return &hello{
		Source:             n.items.OwnSource(),
		Addr:               n.options.Self.Addr,
		IsCore:             isCore,
		Vector:             n.items.Vector(),
		AcceptsZstd:        true,
		AcceptsConfigDiffs: !n.needsWholeConfig,
	}
}

// message is the type of all messages on a session, in both directions.
type message struct {
	Hello    *hello            `msgpack:"h,omitempty"`
	Redirect []Peer            `msgpack:"r,omitempty"` // relays to dial; sent by an agent that is not a relay itself
	Deltas   []deltasync.Delta `msgpack:"d,omitempty"`
	// CompressedDeltas replaces Deltas: it holds them encoded and compressed with zstd, see deltaCodec.
	CompressedDeltas []byte `msgpack:"z,omitempty"`
	// ConfigDiff replaces the delta of the configuration by a diff, see configHistory.
	ConfigDiff      *configDiff `msgpack:"x,omitempty"`
	ReceivedVersion uint64      `msgpack:"g,omitempty"` // version of the receiver's own source that the sender has
	IsCore          bool        `msgpack:"o,omitempty"` // the sender is a member of the core
	HasQuorum       bool        `msgpack:"l,omitempty"` // the sender is a member of the core and has a quorum
	Complete        bool        `msgpack:"f,omitempty"` // the sender is complete: see readiness
	Notices         []notice    `msgpack:"n,omitempty"`
	// Acknowledged holds versions that the sender has applied; only members of the core send it to each other.
	Acknowledged deltasync.Vector `msgpack:"v,omitempty"`
	// QuorumVersion is the version of the receiver's own source that a majority of the core has.
	QuorumVersion uint64 `msgpack:"p,omitempty"`
	// FreshnessQuestion is when an agent sent this message, in milliseconds of the agent's clock. A relay
	// returns as FreshnessAnswer the newest question that it had received before it began to confirm the
	// configuration with the core. The answer holds only if the receiver has the configuration with the
	// sequence number FreshnessSeq or a newer one. See freshness.
	FreshnessQuestion uint64 `msgpack:"q,omitempty"`
	FreshnessAnswer   uint64 `msgpack:"t,omitempty"`
	FreshnessSeq      uint64 `msgpack:"u,omitempty"`
	// LeaseQuestion and LeaseAnswer are sent between members of the core, see leasePoll.
	LeaseQuestion *leaseQuestion `msgpack:"w,omitempty"`
	LeaseAnswer   *leaseAnswer   `msgpack:"y,omitempty"`
	// NoticeAllowance is the rate of notices that a relay grants to the receiver, in bytes per second. A message
	// without it leaves the last grant in force.
	NoticeAllowance uint32 `msgpack:"b,omitempty"`
	// RetryAfterMs is sent in place of a hello by a relay that admits no further session now: the caller should
	// not dial it again earlier.
	RetryAfterMs uint32 `msgpack:"k,omitempty"`
}

// stream carries the messages of a session.
type stream = rpc.Stream[message, message]

// hasContent reports whether a message carries anything that must not wait for the next heartbeat.
func (m *message) hasContent() bool {
	return len(m.Deltas) > 0 || m.ConfigDiff != nil || len(m.Acknowledged) > 0 || m.LeaseQuestion != nil || m.LeaseAnswer != nil
}
