package relay

import (
	"context"
	"time"
)

// The coalescing interval is the minimum time between two updates that changes cause on one session. While
// changes follow each other closely, as after a start of all processes, one update carries all changes
// of such an interval. A change after a quiet period is sent at once. Without this bound each change
// would cost an update to every agent, and a relay would do little else.
const (
	// minCoalesceInterval is the interval between members of the core, and at an agent.
	minCoalesceInterval = 25 * time.Millisecond
	// coalesceIntervalPerSession times the number of a relay's sessions is its interval to agents, but at most
	// maxCoalesceInterval, so that a relay sends no more updates a second in all however many agents it has.
	coalesceIntervalPerSession = time.Millisecond
	maxCoalesceInterval        = 250 * time.Millisecond
)

// status is what a message reports about its sender, apart from the deltas.
type status struct {
	isCore, hasQuorum, complete bool
	receivedVersion             uint64 // version of the peer's source that this node has
	quorumVersion               uint64 // version of the peer's source that a majority of the core has
}

func statusOf(m *message) status {
	return status{isCore: m.IsCore, hasQuorum: m.HasQuorum, complete: m.Complete, receivedVersion: m.ReceivedVersion, quorumVersion: m.QuorumVersion}
}

// message returns a message that reports this status and has no other content.
func (s status) message() *message {
	return &message{IsCore: s.isCore, HasQuorum: s.hasQuorum, Complete: s.complete, ReceivedVersion: s.receivedVersion, QuorumVersion: s.quorumVersion}
}

// sender sends to the peer of one session what that peer lacks.
type sender struct {
	node    *Node
	stream  *stream
	session *session
	// lastStatus is the last status sent to the peer. It reports this node as complete only in or after
	// the message with all items that the node had when it became complete.
	lastStatus   status
	heartbeatDue bool
	lastUpdate   time.Time // when the latest update was sent
	// coalesceInterval is the minimum time from the latest update to one that a change causes.
	coalesceInterval time.Duration
	// answered is set once a freshness question was answered. The first answer is sent at once, later
	// ones with the next heartbeat.
	answered bool
}

// sendLoop sends what the peer lacks whenever something changes, and heartbeats in between, until ctx ends
// or sending fails. The first message has everything that the peer lacks; synced is called once it was sent. The
// side that accepted the session sends its hello before it.
func (n *Node) sendLoop(ctx context.Context, st *stream, s *session, synced func()) error {
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
		synced()
		if err := out.wait(ctx, changed, ticker.C); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// sendHello answers the peer's hello. The answer is sent before the deltas, as those may take long.
func (n *Node) sendHello(st *stream) error {
	m := &message{IsCore: n.options.Core.IsMember(), HasQuorum: n.options.Core.HasQuorum()}
	n.mu.Lock()
	m.Hello = n.newHelloLocked(true)
	n.mu.Unlock()
	return st.Send(m)
}

// sendUpdate sends what the peer lacks, or a due heartbeat, and returns a channel that is closed at the
// next change.
func (out *sender) sendUpdate() (changed <-chan struct{}, err error) {
	update, encoded, changed := out.nextUpdate()
	for _, m := range encoded {
		if err := out.stream.SendEncoded(m); err != nil {
			return nil, err
		}
	}
	nextStatus := statusOf(update)
	firstAnswer := update.FreshnessAnswer > 0 && !out.answered
	if !out.heartbeatDue && !update.hasContent() && nextStatus == out.lastStatus && !firstAnswer {
		return changed, nil
	}
	if out.session.acceptsZstd {
		out.node.codec.compress(update)
	}
	if err := out.stream.Send(update); err != nil {
		return nil, err
	}
	out.lastStatus, out.heartbeatDue, out.lastUpdate = nextStatus, false, time.Now()
	out.answered = out.answered || firstAnswer
	return changed, nil
}

// nextUpdate returns the message with everything that the peer lacks. A large configuration and an initial update
// are not part of that message: they are returned as encoded messages, which must be sent first.
func (out *sender) nextUpdate() (update *message, encoded [][]byte, changed <-chan struct{}) {
	n, s := out.node, out.session
	update = &message{IsCore: n.options.Core.IsMember(), HasQuorum: n.options.Core.HasQuorum()}
	members := n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	out.coalesceInterval = n.sessions.coalesceInterval(s)
	form := configForm{isCore: update.IsCore, hasQuorum: update.HasQuorum, complete: out.lastStatus.complete, compressed: s.acceptsZstd}
	if initial := n.initialUpdateLocked(s, form); len(initial) > 0 {
		encoded = append(encoded, initial)
	}
	update.Deltas = n.items.DeltasSince(s.sentVersions)
	for _, delta := range update.Deltas {
		s.sentVersions[delta.Source] = delta.To
	}
	if s.acceptsConfigDiffs {
		update.ConfigDiff, update.Deltas = n.configHistory.extract(update.Deltas)
	}
	var encodedConfig []byte
	if encodedConfig, update.Deltas = n.configCache.extract(n.now(), &n.codec, form, update.Deltas); len(encodedConfig) > 0 {
		encoded = append(encoded, encodedConfig)
	}
	update.ReceivedVersion = n.items.LastVersion(s.source)
	update.Complete = n.readiness.complete()
	update.Acknowledged = n.takeAcknowledgementsLocked(s)
	if update.IsCore && !s.peerIsCore {
		update.QuorumVersion = n.quorumVersionLocked(s.source, members)
		update.NoticeAllowance = n.grantedNoticeAllowanceLocked()
	}
	n.addFreshnessLocked(s, update)
	n.addLeasePollLocked(s, update)
	return update, encoded, n.changed
}

// wait returns when an update may be due or ctx ends. Until then it sends pending notices.
func (out *sender) wait(ctx context.Context, changed <-chan struct{}, heartbeat <-chan time.Time) error {
	var coalesceTimer <-chan time.Time // nil before the first change
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			remaining := out.coalesceInterval - time.Since(out.lastUpdate)
			if remaining <= 0 {
				return nil
			}
			coalesceTimer, changed = time.After(remaining), nil
		case <-coalesceTimer:
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

// sendNotices sends the pending notices that are still useful.
func (out *sender) sendNotices() error {
	m := out.lastStatus.message()
	out.node.mu.Lock()
	m.Notices = out.session.dequeueNotices(out.node.now())
	out.node.mu.Unlock()
	if len(m.Notices) == 0 {
		return nil
	}
	return out.stream.Send(m)
}

// coalesceInterval returns the minimum time between two updates that changes cause on a session.
func (set sessionSet) coalesceInterval(s *session) time.Duration {
	if s.peerIsCore {
		return minCoalesceInterval
	}
	return min(max(time.Duration(len(set))*coalesceIntervalPerSession, minCoalesceInterval), maxCoalesceInterval)
}
