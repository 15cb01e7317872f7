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
	// helloWithin is how long the first message of a session may take.
	helloWithin = time.Second
	// redial is the pause between two tries to get a session.
	redial = 150 * time.Millisecond
	// maxVector bounds the vector of a hello, maxName its names.
	maxVector, maxName = 8192, 512
	// messageWithin is how long one message may take, however steadily its bytes come: the longest
	// that rpc takes, 16 MB, needs 26 s at 640 KB/s.
	messageWithin = 30 * time.Second
	// unlinkedFor is how long a hub may be cut off from the core before its agents try others.
	unlinkedFor = 400 * time.Millisecond
)

// hello begins a session.
type hello struct {
	Source string           `msgpack:"s"`
	Addr   string           `msgpack:"a"`
	Core   bool             `msgpack:"c"`
	Vector deltasync.Vector `msgpack:"v"`
}

// message is what both sides of a session send.
type message struct {
	Hello    *hello            `msgpack:"h,omitempty"`
	Redirect []Peer            `msgpack:"r,omitempty"` // the answerer is no hub: these are
	Deltas   []deltasync.Delta `msgpack:"d,omitempty"`
	Got      uint64            `msgpack:"g,omitempty"` // version of the receiver's own source that the sender has
	Core     bool              `msgpack:"o,omitempty"` // the sender is a machine of the core
	Linked   bool              `msgpack:"l,omitempty"`
	Full     bool              `msgpack:"f,omitempty"` // the sender has had all that a hub knows
	Notices  []notice          `msgpack:"n,omitempty"`
	// Held acknowledges deltas between machines of the core: the versions that the sender holds.
	Held deltasync.Vector `msgpack:"v,omitempty"`
	// Replicated is the version of the receiver's own source that a majority of the core holds.
	Replicated uint64 `msgpack:"p,omitempty"`
}

type stream = rpc.Stream[message, message]

// session is a session with one peer. Its fields belong to the hub's lock.
type session struct {
	peer   string
	source string
	core   bool
	dialed bool
	has    deltasync.Vector // what the peer has
	got    uint64           // of the own source
	// held is what the peer has itself said to have: unlike has, not what was only sent to it.
	held deltasync.Vector
	// unacked are the sources of which it sent deltas that are not acknowledged yet.
	unacked map[string]bool
	// replicated is the version of the own source that a majority of the core holds, as it tells.
	replicated uint64
	// replicatedChanged wakes the sender when that of the peer's source has risen.
	replicatedChanged chan struct{}
	linked            bool
	full              bool          // the peer has had all that a hub knows
	reportedFull      bool          // it has told whether it has had all
	heard             time.Duration // when the last whole message came
	since             time.Duration // unlinked since
	begun             time.Duration
	// received counts the bytes that the peer has sent; bytes is what it was at the last tick,
	// progress when it had risen.
	received       func() uint64
	bytes          uint64
	progress       time.Duration
	cancel         context.CancelFunc
	pendingNotices []notice
	noticeTimer    *time.Timer // when the pending notices are to be sent
}

// answer serves a session that a peer began.
func (h *Hub) answer(st *stream) error {
	late := time.AfterFunc(helloWithin, func() { _ = st.Close() })
	first, err := st.Recv()
	late.Stop()
	if err != nil {
		return errors.Wrap(err, "wait for hello")
	}
	if err := first.Hello.check(); err != nil {
		return err
	}
	if !h.o.Core.IsCore() {
		return st.Send(&message{Redirect: h.hubs()})
	}
	return h.session(st.Context(), st, first.Hello, first.Hello.Addr, nil, nil)
}

// check tells what is wrong with a hello.
func (m *hello) check() error {
	switch {
	case m == nil || !isAgent(m.Source) || m.Addr == "":
		return errors.New("a session begins with hello, by name and address")
	case max(len(m.Source), len(m.Addr)) > maxName || len(m.Vector) > maxVector:
		return errors.New("hello is out of bounds")
	}
	return nil
}

// session runs until the stream or ctx ends. theirs is the peer's hello; where this agent began the
// session, mine is its own and first what came with theirs.
func (h *Hub) session(ctx context.Context, st *stream, theirs *hello, peer string, mine *hello, first *message) error {
	ctx, cancel := context.WithCancel(ctx)
	hubs := h.o.Core.Hubs()
	h.mu.Lock()
	var refusal error
	switch {
	case theirs.Source == h.set.OwnSource():
		refusal = errors.New("a session with itself")
	case mine != nil && mine.Source != h.set.OwnSource():
		refusal = errors.New("the session was begun by an earlier life")
	case len(h.sessions) >= maxSessions:
		refusal = errors.New("too many sessions at this hub: use another")
	}
	if refusal != nil {
		h.mu.Unlock()
		cancel()
		return refusal
	}
	if h.set.Ended(theirs.Source) {
		h.announceEnd(theirs.Source) // it was away when that was told
	}
	s := &session{peer: peer, source: theirs.Source, core: theirs.Core, dialed: first != nil, has: maps.Clone(theirs.Vector),
		heard: h.now(), since: h.now(), begun: h.now(), received: st.Received, cancel: cancel, noticeTimer: time.NewTimer(time.Hour),
		held: deltasync.Vector{}, unacked: map[string]bool{}, replicatedChanged: make(chan struct{}, 1)}
	defer s.noticeTimer.Stop()
	if s.has == nil {
		s.has = deltasync.Vector{}
	}
	for source, version := range theirs.Vector {
		h.recordHeld(s, source, version, hubs)
	}
	h.sessions[s] = true
	h.mu.Unlock()
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		h.mu.Lock()
		delete(h.sessions, s)
		h.wake()
		h.mu.Unlock()
	}()
	wg.Go(func() {
		<-ctx.Done()
		_ = st.Close()
	})
	wg.Go(func() {
		defer cancel()
		if err := h.send(ctx, st, s); err != nil && ctx.Err() == nil {
			logevent.SessionSending.Log("peer", peer, "err", err)
		}
	})
	for m := first; ; {
		if m != nil {
			h.receive(s, m)
		}
		var err error
		if m, err = st.Recv(); err != nil {
			return err
		}
	}
}

func (h *Hub) receive(s *session, m *message) {
	core, linked, hubs := h.o.Core.IsCore(), h.o.Core.Linked(), h.o.Core.Hubs()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sessions[s] {
		return // it was of another life
	}
	now := h.now()
	s.heard = now
	if m.Linked {
		s.since = now
	}
	s.core, s.linked = m.Core, m.Linked
	if m.Hello == nil { // a hello comes before the deltas, and can't tell
		s.full, s.reportedFull = m.Full, true
	}
	h.apply(m.Deltas)
	for i := range m.Deltas {
		if d := &m.Deltas[i]; h.set.Version(d.Source) >= d.Upto {
			s.has[d.Source] = max(s.has[d.Source], d.Upto)
		}
	}
	if core && s.core {
		h.replicate(s, m, hubs)
	}
	h.receiveNotices(s, m.Notices)
	if m.Got > s.got && m.Got <= h.set.OwnVersion() {
		s.got = m.Got
		h.wake()
	}
	if m.Replicated > s.replicated && m.Replicated <= h.set.OwnVersion() {
		s.replicated = m.Replicated
		h.wake()
	}
	if !s.core || !m.Linked || !m.Full || core && !linked {
		return
	}
	h.behind = false // a message says Full only after all that its sender has: see send
	if !h.synced {
		h.synced = true
		logevent.Synced.Log("peer", s.peer, "config", h.seq)
		h.publish()
	}
}

// expired tells whether a peer is to be given up: it has sent nothing for too long, or has taken
// too long over one message. The hub's lock is held.
func (s *session) expired(now time.Duration) bool {
	if received := s.received(); received != s.bytes {
		s.bytes, s.progress = received, now
	}
	return now-max(s.heard, s.progress) > silence || now-s.heard > messageWithin
}

// greet answers a hello. It goes ahead of the deltas, which may take long.
func (h *Hub) greet(st *stream) error {
	m := &message{Core: h.o.Core.IsCore(), Linked: h.o.Core.Linked()}
	h.mu.Lock()
	m.Hello = &hello{Source: h.set.OwnSource(), Addr: h.o.Self.Addr, Core: true, Vector: h.set.Vector()}
	h.mu.Unlock()
	return st.Send(m)
}

// send sends what the peer lacks as it comes, and says something now and then. The first message
// has all there is; on the answering side the hello goes before it.
func (h *Hub) send(ctx context.Context, st *stream, s *session) error {
	if !s.dialed {
		if err := h.greet(st); err != nil {
			return err
		}
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	due, got, full, core, link, replicated := true, uint64(0), false, false, false, uint64(0)
	for {
		m := &message{Core: h.o.Core.IsCore(), Linked: h.o.Core.Linked()}
		hubs := h.o.Core.Hubs()
		h.mu.Lock()
		changed := h.changed
		m.Deltas = h.set.DeltasSince(s.has)
		for _, d := range m.Deltas {
			s.has[d.Source] = d.Upto
		}
		var shared []byte // goes ahead, so it says of Full what was said last
		shared, m.Deltas = h.shareConfig(&message{Core: m.Core, Linked: m.Linked, Full: full}, m.Deltas)
		m.Got, m.Full, m.Held = h.set.LastVersion(s.source), h.hasAll(), h.acknowledge(s)
		if m.Core && !s.core {
			m.Replicated = h.replicatedVersion(s.source, hubs)
		}
		h.mu.Unlock()
		if len(shared) > 0 {
			if err := st.SendEncoded(shared); err != nil {
				return err
			}
		}
		if due || len(m.Deltas) > 0 || len(m.Held) > 0 || m.Got != got || m.Replicated != replicated || m.Full != full ||
			m.Core != core || m.Linked != link {
			if err := st.Send(m); err != nil {
				return err
			}
			due, got, full, core, link, replicated = false, m.Got, m.Full, m.Core, m.Linked, m.Replicated
		}
	wait:
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				break wait
			case <-s.replicatedChanged:
				break wait
			case <-beat.C:
				due = true
				break wait
			case <-s.noticeTimer.C:
				h.mu.Lock()
				m := &message{Core: core, Linked: link, Full: full, Got: got, Replicated: replicated, Notices: h.takeNotices(s)}
				h.mu.Unlock()
				if err := st.Send(m); err != nil {
					return err
				}
			}
		}
	}
}
