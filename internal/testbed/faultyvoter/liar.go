// Package faultyvoter is a stand-in for an agent that votes falsely: it speaks through the same
// library and the same letters, grants the ejection of servers that are well and denies that
// those are bad which others suspect. It lies for itself alone.
package faultyvoter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/coordination"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

const (
	// speakEvery is how often it speaks to each member, leftFor how long it says that its word
	// holds, most how many hosts it names.
	speakEvery, leftFor, most = 200 * time.Millisecond, 5 * time.Second, 12
)

// Config is how a liar is made.
type Config struct {
	Peers   membership.Config
	Roll    ejection.Electorate
	Against []outlier.Host // servers that it wants out, whatever they do
}

// Liar runs until its Close.
type Liar struct {
	cfg   Config
	sup   *supervisor.Supervisor
	peers *membership.Gossip
	start time.Time

	mu    sync.Mutex
	heard map[string]heard
	deny  map[outlier.Host]bool // what others suspect
}

type heard struct {
	boot     uint64
	sent, at time.Duration
}

// Start starts it.
func Start(ctx context.Context, cfg Config) *Liar {
	l := &Liar{cfg: cfg, start: time.Now(), heard: map[string]heard{}, deny: map[outlier.Host]bool{}}
	l.peers = membership.New(cfg.Peers, l)
	l.sup = supervisor.NewSupervisor(ctx, nil)
	l.sup.Go("peers", l.peers.Run)
	l.sup.Go("speak", l.speak)
	return l
}

// Close ends it.
func (l *Liar) Close() { l.sup.Close() }

// HandleMessage is of peers.Sink.
func (l *Liar) HandleMessage(kind membership.Kind, body []byte) {
	var m ejection.VoteMessage
	if kind != coordination.KindVote || membership.Decode(body, &m) != nil || m.Validate() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[m.From] = heard{m.Incarnation, m.Sent, time.Since(l.start)}
	for _, e := range m.Entries {
		if e.Vote >= ejection.Suspect && !slices.Contains(l.cfg.Against, e.Host) && len(l.deny) < most {
			l.deny[e.Host] = true
		}
	}
}

// MembersChanged implements membership.Sink; a faulty voter does not care who is there.
func (l *Liar) MembersChanged([]membership.Peer) {}

// LocalState implements membership.Sink; a faulty voter shares nothing.
func (l *Liar) LocalState() []byte { return nil }

// MergeState implements membership.Sink; a faulty voter takes nothing in.
func (l *Liar) MergeState([]byte) {}

func (l *Liar) speak(ctx context.Context) error {
	tick := time.NewTicker(speakEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := l.lie(); err != nil {
			return err
		}
	}
}

// lie writes to all members.
func (l *Liar) lie() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []ejection.Entry
	for _, h := range l.cfg.Against[:min(len(l.cfg.Against), most)] {
		entries = append(entries, ejection.Entry{Host: h, Vote: ejection.Grant, Attempts: 9, Failures: 9, ValidFor: leftFor})
	}
	for h := range l.deny {
		entries = append(entries, ejection.Entry{Host: h, Vote: ejection.Deny, Reason: ejection.ReasonSuccess, Attempts: 9, ValidFor: leftFor})
	}
	slices.SortFunc(entries, func(a, b ejection.Entry) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	now := time.Since(l.start)
	for _, name := range l.cfg.Roll.Members {
		if name == l.cfg.Peers.Name {
			continue
		}
		m := ejection.VoteMessage{Version: ejection.Version, From: l.cfg.Peers.Name, Incarnation: l.cfg.Peers.Incarnation, Electorate: l.cfg.Roll.Number, Sent: now, Entries: entries}
		if h, ok := l.heard[name]; ok {
			m.EchoIncarnation, m.Echo, m.EchoAge = h.boot, h.sent, now-h.at
		}
		body, err := membership.Encode(&m)
		if err != nil {
			return err
		}
		l.peers.Mailbox().Put(membership.Send{To: name, Kind: coordination.KindVote, Body: body})
	}
	return nil
}
