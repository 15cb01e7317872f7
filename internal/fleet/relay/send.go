package relay

import (
	"context"
	"time"
)

// coalesceInterval is the least time between two updates that a change causes on one session. While
// many changes come one after the other, as after a start of all processes, one update has those of
// this time; a change after a calm is sent at once. Each change costs an update to every agent, so
// that a relay would otherwise do little else.
const coalesceInterval = 25 * time.Millisecond

// status is what a message reports of its sender, beside the deltas.
type status struct {
	isCore, hasQuorum, complete bool
	received                    uint64 // version of the peer's source that this node has
	quorumVersion               uint64 // version of the peer's source that a majority of the core has
}

func statusOf(m *message) status {
	return status{isCore: m.IsCore, hasQuorum: m.HasQuorum, complete: m.Complete, received: m.ReceivedVersion, quorumVersion: m.QuorumVersion}
}

// message returns a message that reports the same.
func (s status) message() *message {
	return &message{IsCore: s.isCore, HasQuorum: s.hasQuorum, Complete: s.complete, ReceivedVersion: s.received, QuorumVersion: s.quorumVersion}
}

// sender sends on one session what its peer lacks.
type sender struct {
	node    *Node
	stream  *stream
	session *session
	// lastStatus is what the peer was last sent. It reports this node as complete only in or after
	// the message with all that the node had when it was.
	lastStatus   status
	heartbeatDue bool
	lastUpdate   time.Time // when the latest update was sent
	// answered tells that a question on freshness was answered: the first answer is sent at once, the
	// others with the next heartbeat.
	answered bool
}

// sendLoop sends what the peer lacks as it changes, and heartbeats between, until ctx ends or sending
// fails. The first message has all there is; on the answering side the hello goes before it.
func (n *Node) sendLoop(ctx context.Context, st *stream, s *session) error {
	if !s.outbound {
		if err := n.sendHello(st); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	out := &sender{node: n, stream: st, session: s, heartbeatDue: true}
	for {
		changed, err := out.sendUpdate()
		if err != nil {
			return err
		}
		if err := out.wait(ctx, changed, ticker.C); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// sendHello answers a hello. It goes ahead of the deltas, which may take long.
func (n *Node) sendHello(st *stream) error {
	m := &message{IsCore: n.options.Core.IsMember(), HasQuorum: n.options.Core.HasQuorum()}
	n.mu.Lock()
	m.Hello = n.newHelloLocked(true)
	n.mu.Unlock()
	return st.Send(m)
}

// sendUpdate sends what the peer lacks, if anything, and returns a channel that is closed at the next
// change.
func (out *sender) sendUpdate() (changed <-chan struct{}, err error) {
	update, encodedConfig, changed := out.nextUpdate()
	if len(encodedConfig) > 0 {
		if err := out.stream.SendEncoded(encodedConfig); err != nil {
			return nil, err
		}
	}
	next := statusOf(update)
	firstAnswer := update.FreshnessAnswer > 0 && !out.answered
	if !out.heartbeatDue && !update.hasContent() && next == out.lastStatus && !firstAnswer {
		return changed, nil
	}
	if out.session.acceptsZstd {
		out.node.codec.compress(update)
	}
	if err := out.stream.Send(update); err != nil {
		return nil, err
	}
	out.lastStatus, out.heartbeatDue, out.lastUpdate = next, false, time.Now()
	out.answered = out.answered || firstAnswer
	return changed, nil
}

// nextUpdate returns the message with all that the peer lacks. A long configuration is not in it, but
// in an encoded message that goes before it.
func (out *sender) nextUpdate() (update *message, encodedConfig []byte, changed <-chan struct{}) {
	n, s := out.node, out.session
	update = &message{IsCore: n.options.Core.IsMember(), HasQuorum: n.options.Core.HasQuorum()}
	members := n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	update.Deltas = n.items.DeltasSince(s.sent)
	for _, delta := range update.Deltas {
		s.sent[delta.Source] = delta.To
	}
	if s.acceptsConfigDiffs {
		update.ConfigDiff, update.Deltas = n.configHistory.extract(update.Deltas)
	}
	form := configForm{isCore: update.IsCore, hasQuorum: update.HasQuorum, complete: out.lastStatus.complete, compressed: s.acceptsZstd}
	encodedConfig, update.Deltas = n.configCache.extract(n.now(), &n.codec, form, update.Deltas)
	update.ReceivedVersion = n.items.LastVersion(s.source)
	update.Complete = n.readiness.complete()
	update.Acknowledged = n.takeAcknowledgementsLocked(s)
	if update.IsCore && !s.peerIsCore {
		update.QuorumVersion = n.quorumVersionLocked(s.source, members)
	}
	n.addFreshnessLocked(s, update)
	n.addLeasePollLocked(s, update)
	return update, encodedConfig, n.changed
}

// wait returns when an update may be due or ctx ends. It sends pending notices meanwhile.
func (out *sender) wait(ctx context.Context, changed <-chan struct{}, heartbeat <-chan time.Time) error {
	var coalesced <-chan time.Time // set once there was a change
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			remaining := coalesceInterval - time.Since(out.lastUpdate)
			if remaining <= 0 {
				return nil
			}
			coalesced, changed = time.After(remaining), nil
		case <-coalesced:
			return nil
		case <-out.session.wake:
			return nil
		case <-heartbeat:
			out.heartbeatDue = true
			return nil
		case <-out.session.noticeTimer.C:
			if err := out.sendNotices(); err != nil {
				return err
			}
		}
	}
}

// sendNotices sends the pending notices.
func (out *sender) sendNotices() error {
	m := out.lastStatus.message()
	out.node.mu.Lock()
	m.Notices = out.session.dequeueNotices(out.node.now())
	out.node.mu.Unlock()
	return out.stream.Send(m)
}
