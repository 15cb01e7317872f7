package coordination

import (
	"fmt"
	"log/slog"

	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

type (
	observation struct{ outlier.Observation }
	serverList  struct {
		hosts   []outlier.ListedHost
		entries []stalerouting.Entry
	}
	voteMessage    struct{ *ejection.VoteMessage }
	membersChanged struct{ list []membership.Peer }
)

// Of observations the new one is dropped: many like it are queued.
func (observation) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// A list, a set of members and a vote message replace the older one, and displace other messages.
func (serverList) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m serverList) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(serverList)
	return m, ok
}

func (voteMessage) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m voteMessage) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(voteMessage)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Sent > m.Sent {
		return o, true
	}
	return m, true
}

func (membersChanged) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m membersChanged) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	_, ok := q.(membersChanged)
	return m, ok
}

// messageHandler dispatches the messages of peers to the tasks.
type messageHandler struct{ coordinator *Coordinator }

func (s messageHandler) HandleMessage(kind membership.Kind, body []byte) {
	var err error
	switch kind {
	case KindVote:
		var m ejection.VoteMessage
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.voteMailbox.Put(voteMessage{&m})
		}
	case KindHeartbeat:
		var m stalerouting.Heartbeat
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.siteMailbox.Put(heartbeat{m})
		}
	case KindPing:
		var m ping
		if err = decode(body, &m, m.validate); err == nil {
			s.coordinator.siteMailbox.Put(m)
		}
	case KindZoneReport:
		var m zonefailover.Report
		if err = decode(body, &m, m.Validate); err == nil && s.coordinator.consensus != nil {
			s.coordinator.consensus.Mailbox().Put(consensus.Report{Report: m})
		}
	case KindDecision:
		var m stalerouting.Decision
		if err = decode(body, &m, m.Validate); err == nil {
			s.coordinator.siteMailbox.Put(peerDecision{m})
		}
	default:
		err = fmt.Errorf("coordination: message: unknown kind %q", kind)
	}
	if err != nil {
		slog.Debug("message rejected", "err", err)
	}
}

func (s messageHandler) MembersChanged(list []membership.Peer) {
	s.coordinator.voteMailbox.Put(membersChanged{list})
	s.coordinator.siteMailbox.Put(membersChanged{list})
}

// LocalState implements membership.Handler: it returns the server set with ages as of now.
func (s messageHandler) LocalState() []byte {
	k := s.coordinator.Snapshot()
	body, err := membership.Encode(siteState{stalerouting.Version, s.coordinator.config.Membership.Name, s.coordinator.config.Membership.Zone, k.Entries})
	if err != nil {
		slog.Error("site: server set not sent", "err", err)
		return nil
	}
	return body
}

// MergeState implements membership.Handler: it passes the server set of a peer to the site's task.
func (s messageHandler) MergeState(body []byte) {
	var m siteState
	err := membership.Decode(body, &m)
	if err == nil && m.Version != stalerouting.Version {
		err = fmt.Errorf("site: set: version: %d, this one is %d", m.Version, stalerouting.Version)
	}
	if err != nil {
		slog.Warn("site: server set rejected", "from", m.From, "err", err)
		return
	}
	s.coordinator.siteMailbox.Put(receivedState{m})
}

// The kinds of messages between coordinators.
const (
	KindVote       membership.Kind = 'l'
	KindHeartbeat  membership.Kind = 'w'
	KindPing       membership.Kind = 'p'
	KindZoneReport membership.Kind = 'r'
	KindDecision   membership.Kind = 'd'
)

// decode decodes a message and validates it.
func decode(body []byte, m any, check func() error) error {
	if err := membership.Decode(body, m); err != nil {
		return err
	}
	return check()
}

// send sends a message to a peer.
func (c *Coordinator) send(to string, kind membership.Kind, m any) {
	body, err := membership.Encode(m)
	if err != nil {
		slog.Error("message not sent", "to", to, "err", err)
		return
	}
	c.gossip.Mailbox().Put(membership.Send{To: to, Kind: kind, Body: body})
}

type (
	discoveryReport struct {
		list     []stalerouting.Entry
		complete bool
	}
	signalReceived struct{ signal stalerouting.Signal }
	heartbeat      struct{ stalerouting.Heartbeat }
	receivedState  struct{ siteState }
	localDecision  struct{ consensus.Decision }    // of the consensus group, from the voter in this process
	peerDecision   struct{ stalerouting.Decision } // of the consensus group, from a peer
	ping           struct {
		From string
		Pong bool // it answers a ping
	}
)

// A change of the list must not be lost: it displaces queued messages.
func (discoveryReport) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// The next ping or signal comes soon.
func (signalReceived) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

func (m signalReceived) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(signalReceived)
	return m, ok && o == m
}

// The newest heartbeat of a member and the newest set of a peer replace older ones.
func (heartbeat) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m heartbeat) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(heartbeat)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Seq > m.Seq {
		return o, true
	}
	return m, true
}

func (receivedState) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (m receivedState) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(receivedState)
	return m, ok && o.From == m.From
}

// Only the newest decision matters, and each is repeated.
func (localDecision) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

func (peerDecision) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

func (ping) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

func (m ping) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(ping)
	return m, ok && o == m
}

// validate returns an error for an invalid ping of another process.
func (m *ping) validate() error {
	if m.From == "" || len(m.From) > 128 {
		return fmt.Errorf("ping: from: a name of %d bytes", len(m.From))
	}
	return nil
}

// siteState is what two peers exchange over a stream. It is encoded as an array, so the order of the
// fields is part of the protocol.
type siteState struct {
	Version int
	From    string
	Zone    string
	Entries []stalerouting.Entry
}
