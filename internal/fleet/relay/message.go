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

// hello is the first message of either side of a session.
type hello struct {
	Source string           `msgpack:"s"`
	Addr   string           `msgpack:"a"`
	IsCore bool             `msgpack:"c"` // the sender is a member of the core
	Vector deltasync.Vector `msgpack:"v"` // what the sender has
	// AcceptsZstd: the sender understands CompressedDeltas. Programs without them leave it out.
	AcceptsZstd bool `msgpack:"z,omitempty"`
	// AcceptsConfigDiffs: the sender understands ConfigDiff. It leaves it out after one that it could not apply.
	AcceptsConfigDiffs bool `msgpack:"d,omitempty"`
}

// validate returns an error for a hello that no sound peer sends; a nil one is invalid, too.
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

// message is what both sides of a session send.
type message struct {
	Hello    *hello            `msgpack:"h,omitempty"`
	Redirect []Peer            `msgpack:"r,omitempty"` // the answering side is no relay: these are
	Deltas   []deltasync.Delta `msgpack:"d,omitempty"`
	// CompressedDeltas is the deltas in place of Deltas, encoded and compressed by zstd: see deltaCodec.
	CompressedDeltas []byte `msgpack:"z,omitempty"`
	// ConfigDiff is the configuration, where it is not among the deltas: see configHistory.
	ConfigDiff      *configDiff `msgpack:"x,omitempty"`
	ReceivedVersion uint64      `msgpack:"g,omitempty"` // version of the receiver's own source that the sender has
	IsCore          bool        `msgpack:"o,omitempty"` // the sender is a member of the core
	HasQuorum       bool        `msgpack:"l,omitempty"` // the sender is one and has a quorum
	Complete        bool        `msgpack:"f,omitempty"` // the sender is complete: see readiness
	Notices         []notice    `msgpack:"n,omitempty"`
	// Acknowledged is, between members of the core, the versions that the sender has.
	Acknowledged deltasync.Vector `msgpack:"v,omitempty"`
	// QuorumVersion is the version of the receiver's own source that a majority of the core has.
	QuorumVersion uint64 `msgpack:"p,omitempty"`
	// FreshnessQuestion is when this message was sent, by the sender's clock in ms. A relay answers the
	// newest one that came before it confirmed the configuration with the core, and FreshnessSeq is the
	// configuration that the receiver must have for the answer to hold. See freshness.
	FreshnessQuestion uint64 `msgpack:"q,omitempty"`
	FreshnessAnswer   uint64 `msgpack:"t,omitempty"`
	FreshnessSeq      uint64 `msgpack:"u,omitempty"`
	// LeaseQuestion and LeaseAnswer are between members of the core: see leasePoll.
	LeaseQuestion *leaseQuestion `msgpack:"w,omitempty"`
	LeaseAnswer   *leaseAnswer   `msgpack:"y,omitempty"`
}

// stream carries the messages of a session.
type stream = rpc.Stream[message, message]

// hasContent reports whether a message has something that must not wait for the next heartbeat.
func (m *message) hasContent() bool {
	return len(m.Deltas) > 0 || m.ConfigDiff != nil || len(m.Acknowledged) > 0 || m.LeaseQuestion != nil || m.LeaseAnswer != nil
}
