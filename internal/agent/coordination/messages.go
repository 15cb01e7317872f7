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

// The messages to the vote task; serverList and membersChanged also go to the site task.
type (
	observation struct{ outlier.Observation }
	serverList  struct {
		hosts   []outlier.ListedHost
		entries []stalerouting.Entry
	}
	voteMessage    struct{ *ejection.VoteMessage }
	membersChanged struct{ list []membership.Peer }
)

// Overflow implements supervisor.Message. The new observation is dropped, because many similar ones are queued.
func (observation) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// Overflow implements supervisor.Message. A server list, a vote message and a change of the members displace the
// oldest queued message, unless MergeInto lets them replace an older one of their kind.
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

// messageHandler implements membership.Handler. It dispatches messages from peers to the tasks.
type messageHandler struct{ coordinator *Coordinator }

// HandleMessage implements membership.Handler. It logs and drops a message that is invalid.
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

// MembersChanged implements membership.Handler.
func (s messageHandler) MembersChanged(list []membership.Peer) {
	s.coordinator.voteMailbox.Put(membersChanged{list})
	s.coordinator.siteMailbox.Put(membersChanged{list})
}

// LocalState implements membership.Handler. It returns the server set with current ages.
func (s messageHandler) LocalState() []byte {
	current := s.coordinator.Snapshot()
	body, err := membership.Encode(siteState{stalerouting.Version, s.coordinator.config.Membership.Name,
		s.coordinator.config.Membership.Zone, current.Entries})
	if err != nil {
		slog.Error("site: server set not sent", "err", err)
		return nil
	}
	return body
}

// MergeState implements membership.Handler. It passes the server set of a peer to the site task.
func (s messageHandler) MergeState(body []byte) {
	var m siteState
	err := membership.Decode(body, &m)
	if err == nil && m.Version != stalerouting.Version {
		err = fmt.Errorf("site: server set: version %d, want %d", m.Version, stalerouting.Version)
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

// decode decodes a message and calls validate.
func decode(body []byte, m any, validate func() error) error {
	if err := membership.Decode(body, m); err != nil {
		return err
	}
	return validate()
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

// The other messages to the site task.
type (
	discoveryReport struct {
		list     []stalerouting.Entry
		complete bool // list is the complete list of discovery, not only its changes
	}
	signalReceived struct{ signal stalerouting.Signal }
	heartbeat      struct{ stalerouting.Heartbeat }
	receivedState  struct{ siteState }
	localDecision  struct{ consensus.Decision }    // decision of the consensus group, from the voter in this process
	peerDecision   struct{ stalerouting.Decision } // decision of the consensus group, from a peer
	ping           struct {
		From string
		Pong bool // whether this is the answer to a ping
	}
)

// Overflow implements supervisor.Message. A change of the list must not be lost, so it displaces the oldest
// queued message.
func (discoveryReport) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Overflow implements supervisor.Message. A signal may be dropped, because the next one comes soon.
func (signalReceived) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

func (m signalReceived) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(signalReceived)
	return m, ok && o == m
}

// Overflow implements supervisor.Message. The new heartbeat displaces the oldest queued message.
func (heartbeat) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// MergeInto implements supervisor.Merger. The newest heartbeat of a member replaces older ones.
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

// MergeInto implements supervisor.Merger. The newest state of a peer replaces older ones.
func (m receivedState) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(receivedState)
	return m, ok && o.From == m.From
}

// Overflow implements supervisor.Message. Only the newest decision matters, so it displaces the oldest queued
// message.
func (localDecision) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Overflow implements supervisor.Message. A decision from a peer may be dropped, because it is sent repeatedly.
func (peerDecision) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

// Overflow implements supervisor.Message. A ping may be dropped, because the next one comes soon.
func (ping) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }

func (m ping) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(ping)
	return m, ok && o == m
}

// validate returns an error if a ping from another process is invalid.
func (m *ping) validate() error {
	if m.From == "" || len(m.From) > 128 {
		return fmt.Errorf("ping: from: must be 1 to 128 bytes, is %d", len(m.From))
	}
	return nil
}

// siteState is the state that two peers exchange over a stream. It is encoded as an array, so the order of
// the fields is part of the protocol.
type siteState struct {
	Version int
	From    string
	Zone    string
	Entries []stalerouting.Entry
}
