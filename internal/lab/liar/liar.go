// Package liar is a stand-in for an agent that votes falsely: it speaks through the same
// library and the same letters, grants the ejection of servers that are well and denies that
// those are bad which others suspect. It lies for itself alone.
package liar

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/ballot"
	"chalkdoor.example/chalkdoor/internal/evidence"
	"chalkdoor.example/chalkdoor/internal/layer"
	"chalkdoor.example/chalkdoor/internal/peers"
	"chalkdoor.example/chalkdoor/internal/task"
)

const (
	// speakEvery is how often it speaks to each member, leftFor how long it says that its word
	// holds, most how many hosts it names.
	speakEvery, leftFor, most = 200 * time.Millisecond, 5 * time.Second, 12
)

// Config is how a liar is made.
type Config struct {
	Peers   peers.Config
	Roll    ballot.Roll
	Against []evidence.Host // servers that it wants out, whatever they do
}

// Liar runs until its Close.
type Liar struct {
	cfg   Config
	sup   *task.Supervisor
	peers *peers.Peers
	start time.Time

	mu    sync.Mutex
	heard map[string]heard
	deny  map[evidence.Host]bool // what others suspect
}

type heard struct {
	boot     uint64
	sent, at time.Duration
}

// Start starts it.
func Start(ctx context.Context, cfg Config) *Liar {
	l := &Liar{cfg: cfg, start: time.Now(), heard: map[string]heard{}, deny: map[evidence.Host]bool{}}
	l.peers = peers.New(cfg.Peers, l)
	l.sup = task.NewSupervisor(ctx, nil)
	l.sup.Go("peers", l.peers.Run)
	l.sup.Go("speak", l.speak)
	return l
}

// Close ends it.
func (l *Liar) Close() { l.sup.Close() }

// Got is of peers.Sink.
func (l *Liar) Got(kind peers.Kind, body []byte) {
	var m ballot.Letter
	if kind != layer.KindLetter || peers.Decode(body, &m) != nil || m.Check() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[m.From] = heard{m.Boot, m.Sent, time.Since(l.start)}
	for _, e := range m.Entries {
		if e.Answer >= ballot.Suspect && !slices.Contains(l.cfg.Against, e.Host) && len(l.deny) < most {
			l.deny[e.Host] = true
		}
	}
}

// Members, State and Merge are of peers.Sink.
func (l *Liar) Members([]peers.Peer) {}
func (l *Liar) State() []byte        { return nil }
func (l *Liar) Merge([]byte)         {}

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
	var entries []ballot.Entry
	for _, h := range l.cfg.Against[:min(len(l.cfg.Against), most)] {
		entries = append(entries, ballot.Entry{Host: h, Answer: ballot.Grant, Attempts: 9, Bad: 9, Left: leftFor})
	}
	for h := range l.deny {
		entries = append(entries, ballot.Entry{Host: h, Answer: ballot.Deny, Why: ballot.BySuccess, Attempts: 9, Left: leftFor})
	}
	slices.SortFunc(entries, func(a, b ballot.Entry) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	now := time.Since(l.start)
	for _, name := range l.cfg.Roll.Members {
		if name == l.cfg.Peers.Name {
			continue
		}
		m := ballot.Letter{Version: ballot.Version, From: l.cfg.Peers.Name, Boot: l.cfg.Peers.Boot, Roll: l.cfg.Roll.Number, Sent: now, Entries: entries}
		if h, ok := l.heard[name]; ok {
			m.EchoBoot, m.Echo, m.Kept = h.boot, h.sent, now-h.at
		}
		body, err := peers.Encode(&m)
		if err != nil {
			return err
		}
		l.peers.Mailbox().Put(peers.Send{To: name, Kind: layer.KindLetter, Body: body})
	}
	return nil
}
