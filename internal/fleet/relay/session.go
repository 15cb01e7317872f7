package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// helloTimeout is how long the first message of a session may take.
	helloTimeout = time.Second
	// redialInterval is the pause between two tries to get a session.
	redialInterval = 150 * time.Millisecond
	// maxVectorEntries bounds the vector of a hello, maxNameBytes its names.
	maxVectorEntries, maxNameBytes = 8192, 512
	// messageTimeout is how long one message may take, however steadily its bytes come: the longest
	// that rpc takes, 16 MB, needs 26 s at 640 KB/s.
	messageTimeout = 30 * time.Second
	// quorumLossTolerance is how long a hub may be cut off from the core before its agents try others.
	quorumLossTolerance = 400 * time.Millisecond
)

// hello begins a session.
type hello struct {
	Source string           `msgpack:"s"`
	Addr   string           `msgpack:"a"`
	IsCore bool             `msgpack:"c"`
	Vector deltasync.Vector `msgpack:"v"`
}

// message is what both sides of a session send.
type message struct {
	Hello           *hello            `msgpack:"h,omitempty"`
	Redirect        []Peer            `msgpack:"r,omitempty"` // the answerer is no hub: these are
	Deltas          []deltasync.Delta `msgpack:"d,omitempty"`
	ReceivedVersion uint64            `msgpack:"g,omitempty"` // version of the receiver's own source that the sender has
	IsCore          bool              `msgpack:"o,omitempty"` // the sender is a machine of the core
	HasQuorum       bool              `msgpack:"l,omitempty"`
	Complete        bool              `msgpack:"f,omitempty"` // the sender has had all that a hub knows
	Notices         []notice          `msgpack:"n,omitempty"`
	// Acknowledged acknowledges deltas between machines of the core: the versions that the sender holds.
	Acknowledged deltasync.Vector `msgpack:"v,omitempty"`
	// QuorumVersion is the version of the receiver's own source that a majority of the core holds.
	QuorumVersion uint64 `msgpack:"p,omitempty"`
}

type stream = rpc.Stream[message, message]

// session is a session with one peer. Its fields belong to the hub's lock.
type session struct {
	peerAddr    string
	source      string
	peerIsCore  bool
	outbound    bool
	sent        deltasync.Vector // what the peer has
	ownReceived uint64           // of the own source
	// acknowledged is what the peer has itself said to have: unlike has, not what was only sent to it.
	acknowledged deltasync.Vector
	// pendingAcks are the sources of which it sent deltas that are not acknowledged yet.
	pendingAcks map[string]bool
	// ownQuorumVersion is the version of the own source that a majority of the core holds, as it tells.
	ownQuorumVersion uint64
	// quorumAdvanced wakes the sender when that of the peer's source has risen.
	quorumAdvanced    chan struct{}
	peerHasQuorum     bool
	peerComplete      bool          // the peer has had all that a hub knows
	completenessKnown bool          // it has told whether it has had all
	lastMessage       time.Duration // when the last whole message came
	lastQuorum        time.Duration // unlinked since
	started           time.Duration
	// bytesReceived counts the bytes that the peer has sent; bytes is what it was at the last tick,
	// progress when it had risen.
	bytesReceived  func() uint64
	observedBytes  uint64
	lastProgress   time.Duration
	cancel         context.CancelFunc
	pendingNotices []notice
	noticeTimer    *time.Timer // when the pending notices are to be sent
}

// serveSession serves a session that a peer began.
func (h *Node) serveSession(st *stream) error {
	late := time.AfterFunc(helloTimeout, func() { _ = st.Close() })
	first, err := st.Recv()
	late.Stop()
	if err != nil {
		return errors.Wrap(err, "wait for hello")
	}
	if err := first.Hello.validate(); err != nil {
		return err
	}
	if !h.options.Core.IsMember() {
		return st.Send(&message{Redirect: h.knownCoreMembers()})
	}
	return h.runSession(st.Context(), st, first.Hello, first.Hello.Addr, nil, nil)
}

// validate tells what is wrong with a hello.
func (m *hello) validate() error {
	switch {
	case m == nil || !isAgentSource(m.Source) || m.Addr == "":
		return errors.New("a session begins with hello, by name and address")
	case max(len(m.Source), len(m.Addr)) > maxNameBytes || len(m.Vector) > maxVectorEntries:
		return errors.New("hello is out of bounds")
	}
	return nil
}

// runSession runs until the stream or ctx ends. theirs is the peer's hello; where this agent began the
// session, mine is its own and first what came with theirs.
func (h *Node) runSession(ctx context.Context, st *stream, theirs *hello, peer string, mine *hello, first *message) error {
	ctx, cancel := context.WithCancel(ctx)
	hubs := h.options.Core.Members()
	h.mu.Lock()
	var refusal error
	switch {
	case theirs.Source == h.items.OwnSource():
		refusal = errors.New("a session with itself")
	case mine != nil && mine.Source != h.items.OwnSource():
		refusal = errors.New("the session was begun by an earlier life")
	case len(h.sessions) >= maxSessions:
		refusal = errors.New("too many sessions at this hub: use another")
	}
	if refusal != nil {
		h.mu.Unlock()
		cancel()
		return refusal
	}
	if h.items.Ended(theirs.Source) {
		h.publishEndLocked(theirs.Source) // it was away when that was told
	}
	s := &session{peerAddr: peer, source: theirs.Source, peerIsCore: theirs.IsCore, outbound: first != nil, sent: maps.Clone(theirs.Vector),
		lastMessage: h.now(), lastQuorum: h.now(), started: h.now(), bytesReceived: st.Received, cancel: cancel, noticeTimer: time.NewTimer(time.Hour),
		acknowledged: deltasync.Vector{}, pendingAcks: map[string]bool{}, quorumAdvanced: make(chan struct{}, 1)}
	defer s.noticeTimer.Stop()
	if s.sent == nil {
		s.sent = deltasync.Vector{}
	}
	for source, version := range theirs.Vector {
		h.recordAcknowledgedLocked(s, source, version, hubs)
	}
	h.sessions[s] = true
	h.mu.Unlock()
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		h.mu.Lock()
		delete(h.sessions, s)
		h.notifyWaitersLocked()
		h.mu.Unlock()
	}()
	wg.Go(func() {
		<-ctx.Done()
		_ = st.Close()
	})
	wg.Go(func() {
		defer cancel()
		if err := h.sendLoop(ctx, st, s); err != nil && ctx.Err() == nil {
			logevent.SessionSendFailed.Log("peer", peer, "err", err)
		}
	})
	for m := first; ; {
		if m != nil {
			h.handleMessage(s, m)
		}
		var err error
		if m, err = st.Recv(); err != nil {
			return err
		}
	}
}

func (h *Node) handleMessage(s *session, m *message) {
	core, linked, hubs := h.options.Core.IsMember(), h.options.Core.HasQuorum(), h.options.Core.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sessions[s] {
		return // it was of another life
	}
	now := h.now()
	s.lastMessage = now
	if m.HasQuorum {
		s.lastQuorum = now
	}
	s.peerIsCore, s.peerHasQuorum = m.IsCore, m.HasQuorum
	if m.Hello == nil { // a hello comes before the deltas, and can't tell
		s.peerComplete, s.completenessKnown = m.Complete, true
	}
	h.applyDeltasLocked(m.Deltas)
	for i := range m.Deltas {
		if d := &m.Deltas[i]; h.items.Version(d.Source) >= d.To {
			s.sent[d.Source] = max(s.sent[d.Source], d.To)
		}
	}
	if core && s.peerIsCore {
		h.recordReplicationLocked(s, m, hubs)
	}
	h.receiveNoticesLocked(s, m.Notices)
	if m.ReceivedVersion > s.ownReceived && m.ReceivedVersion <= h.items.OwnVersion() {
		s.ownReceived = m.ReceivedVersion
		h.notifyWaitersLocked()
	}
	if m.QuorumVersion > s.ownQuorumVersion && m.QuorumVersion <= h.items.OwnVersion() {
		s.ownQuorumVersion = m.QuorumVersion
		h.notifyWaitersLocked()
	}
	if !s.peerIsCore || !m.HasQuorum || !m.Complete || core && !linked {
		return
	}
	h.stale = false // a message says Full only after all that its sender has: see send
	if !h.synced {
		h.synced = true
		logevent.Synced.Log("peer", s.peerAddr, "config", h.configSeq)
		h.publishSnapshotLocked()
	}
}

// timedOut tells whether a peer is to be given up: it has sent nothing for too long, or has taken
// too long over one message. The hub's lock is held.
func (s *session) timedOut(now time.Duration) bool {
	if received := s.bytesReceived(); received != s.observedBytes {
		s.observedBytes, s.lastProgress = received, now
	}
	return now-max(s.lastMessage, s.lastProgress) > sessionTimeout || now-s.lastMessage > messageTimeout
}

// sendHello answers a hello. It goes ahead of the deltas, which may take long.
func (h *Node) sendHello(st *stream) error {
	m := &message{IsCore: h.options.Core.IsMember(), HasQuorum: h.options.Core.HasQuorum()}
	h.mu.Lock()
	m.Hello = &hello{Source: h.items.OwnSource(), Addr: h.options.Self.Addr, IsCore: true, Vector: h.items.Vector()}
	h.mu.Unlock()
	return st.Send(m)
}

// sendLoop sends what the peer lacks as it comes, and says something now and then. The first message
// has all there is; on the answering side the hello goes before it.
func (h *Node) sendLoop(ctx context.Context, st *stream, s *session) error {
	if !s.outbound {
		if err := h.sendHello(st); err != nil {
			return err
		}
	}
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	due, got, full, core, link, replicated := true, uint64(0), false, false, false, uint64(0)
	for {
		m := &message{IsCore: h.options.Core.IsMember(), HasQuorum: h.options.Core.HasQuorum()}
		hubs := h.options.Core.Members()
		h.mu.Lock()
		changed := h.changed
		m.Deltas = h.items.DeltasSince(s.sent)
		for _, d := range m.Deltas {
			s.sent[d.Source] = d.To
		}
		var shared []byte // goes ahead, so it says of Full what was said last
		shared, m.Deltas = h.extractConfigLocked(&message{IsCore: m.IsCore, HasQuorum: m.HasQuorum, Complete: full}, m.Deltas)
		m.ReceivedVersion, m.Complete, m.Acknowledged = h.items.LastVersion(s.source), h.isCompleteLocked(), h.takeAcknowledgementsLocked(s)
		if m.IsCore && !s.peerIsCore {
			m.QuorumVersion = h.quorumVersionLocked(s.source, hubs)
		}
		h.mu.Unlock()
		if len(shared) > 0 {
			if err := st.SendEncoded(shared); err != nil {
				return err
			}
		}
		if due || len(m.Deltas) > 0 || len(m.Acknowledged) > 0 || m.ReceivedVersion != got || m.QuorumVersion != replicated || m.Complete != full ||
			m.IsCore != core || m.HasQuorum != link {
			if err := st.Send(m); err != nil {
				return err
			}
			due, got, full, core, link, replicated = false, m.ReceivedVersion, m.Complete, m.IsCore, m.HasQuorum, m.QuorumVersion
		}
	wait:
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				break wait
			case <-s.quorumAdvanced:
				break wait
			case <-beat.C:
				due = true
				break wait
			case <-s.noticeTimer.C:
				h.mu.Lock()
				m := &message{IsCore: core, HasQuorum: link, Complete: full, ReceivedVersion: got, QuorumVersion: replicated, Notices: h.dequeueNoticesLocked(s)}
				h.mu.Unlock()
				if err := st.Send(m); err != nil {
					return err
				}
			}
		}
	}
}
